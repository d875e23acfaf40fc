/// What scripts/measure/sizes.sh reads out of decision lines.
#include <filesystem>
#include <fstream>
#include <iterator>

#include <gtest/gtest.h>

namespace stackquay {
namespace {

/// Twenty prompts of one route: the two largest are refused for others, the four below them late.
std::string logOfTwenty()
{
    std::string log;
    for (int i = 1; i <= 20; ++i) {
        const std::string name = "request-" + std::to_string(i);
        const bool refused = i > 18;
        if (!refused)
            log += R"({"event":"placed","request":")" + name + "\"}\n";
        log += R"({"event":"request ended","request":")" + name + R"(","outcome":")"
               + (refused ? "refused" : "complete") + R"(","why":")"
               + (refused ? "too late: others came first" : "") + R"(","route":"notes","tokens":)"
               + std::to_string(i * 1'000) + R"(,"first_ms":)" + (i > 14 ? "3500" : "900")
               + R"(,"longest_gap_ms":100,"aim_ms":3000,"gap_aim_ms":1000})" + "\n";
    }
    return log;
}

std::string outputOf(const std::string &log)
{
    std::string name = (std::filesystem::temp_directory_path() / "sizes-XXXXXX").string();
    if (!::mkdtemp(name.data()))
        return {};
    const std::filesystem::path directory = name;
    std::ofstream(directory / "log") << log;
    const std::string out = (directory / "out").string();
    const std::string command = std::string(STACKQUAY_SOURCE_DIR) + "/scripts/measure/sizes.sh "
                                + (directory / "log").string() + " >" + out + " 2>&1";
    const int status = std::system(command.c_str());
    std::ifstream file(out);
    std::string text(std::istreambuf_iterator<char>(file), {});
    std::filesystem::remove_all(directory);
    EXPECT_EQ(status, 0) << text;
    return text;
}

TEST(SizesTest, TellsTheFatesOfEachSize)
{
    EXPECT_EQ(outputOf(logOfTwenty()),
              "route          size           tries   order streams  memory reading   other   "
              "begun in_time    late  broken\n"
              "notes          all               20       2       0       0       0       0      "
              "18      14       4       0\n"
              "notes          largest_tenth      2       2       0       0       0       0       "
              "0       0       0       0\n"
              "notes          next_fifth         4       0       0       0       0       0       "
              "4       0       4       0\n"
              "notes          rest              14       0       0       0       0       0      "
              "14      14       0       0\n");
}

} // namespace
} // namespace stackquay
