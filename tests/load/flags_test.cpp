#include <gtest/gtest.h>

#include "load/load.h"

namespace stackquay {
namespace {

Result<LoadCommand> parse(std::vector<std::string> flags)
{
    flags.insert(flags.begin(), "stackquay-load");
    std::vector<char *> argv;
    for (std::string &flag : flags)
        argv.push_back(flag.data());
    argv.push_back(nullptr);
    return parseLoadFlags(static_cast<int>(flags.size()), argv.data());
}

TEST(LoadFlagsTest, TakesValuesAndNamesAllBadOnes)
{
    const auto good =
        parse({ "--targets=127.0.0.1:80", "--rate=5.5", "--duration=0.5", "--direct", "--csv=-" });
    ASSERT_TRUE(good) << good.error().m_message;
    EXPECT_DOUBLE_EQ(good->m_options.m_phases[0].m_rate, 5.5);
    EXPECT_EQ(good->m_options.m_phases[0].m_length, Millis(500));
    EXPECT_TRUE(good->m_options.m_direct);
    const auto bad = parse({ "--rate=fast", "--service-share=2" });
    ASSERT_FALSE(bad);
    EXPECT_NE(bad.error().m_message.find("--rate"), std::string::npos);
    EXPECT_NE(bad.error().m_message.find("--service-share"), std::string::npos);
    EXPECT_FALSE(parse({}));
    EXPECT_TRUE(parse({ "--help" }));
}

} // namespace
} // namespace stackquay
