#include <gtest/gtest.h>

#include "relay/relay.h"

namespace stackquay {
namespace {

const WallTime Now{ Seconds(1'700'000'000) };
const SuspectReport First{ { 1, 2, 3 }, { 10, 11, 12 }, 0, 500 };

TEST(QuarantineRecordTest, DecodesWhatWasEncodedWithItsAge)
{
    const auto read = decodeQuarantined(encodeQuarantined({ First }, Now), Now + Seconds(7));
    ASSERT_TRUE(read);
    ASSERT_EQ(read->size(), 1u);
    EXPECT_EQ(read->front().m_fingerprint, First.m_fingerprint);
    EXPECT_EQ(read->front().m_crashes, First.m_crashes);
    EXPECT_EQ(read->front().m_ageMs, 7'500u);
}

TEST(QuarantineRecordTest, AgeIsNotNegativeIfTheClockIsBehind)
{
    const auto read = decodeQuarantined(encodeQuarantined({ First }, Now), Now - Seconds(7));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->front().m_ageMs, 0u);
}

TEST(QuarantineRecordTest, InvalidContentIsAnError)
{
    const std::string entry =
        R"({"print":"000000000000000100000000000000020000000000000003","ends":[1],)";
    for (const std::string &spec : std::vector<std::string>{
             "", "[]", "{}", R"({"condemned":3})", R"({"condemned":[3]})", R"({"condemned":[{}]})",
             R"({"condemned":[)" + entry + R"("trials":-1,"at_ms":5}]})",
             R"({"condemned":[)" + entry + R"("trials":1,"at_ms":"5"}]})" }) {
        const auto read = decodeQuarantined(spec, Now);
        ASSERT_FALSE(read) << spec;
        EXPECT_FALSE(read.error().m_message.empty());
    }
    EXPECT_TRUE(decodeQuarantined(R"({"condemned":[)" + entry + R"("trials":1,"at_ms":5}]})", Now));
}

TEST(QuarantineRecordTest, MergeKeepsTheHigherCounts)
{
    SuspectReport later = First;
    later.m_probesMade = 1;
    EXPECT_EQ(mergeQuarantined({ First }, { later }).front().m_probesMade, 1u);
    EXPECT_EQ(mergeQuarantined({ later }, { First }).front().m_probesMade, 1u);
    EXPECT_EQ(mergeQuarantined({ First }, { later }).size(), 1u);
}

TEST(QuarantineRecordTest, MergeKeepsTheNewestEntries)
{
    std::vector<SuspectReport> many;
    for (uint64_t i = 0; i < 200; ++i)
        many.push_back({ { 0, 9, i }, { 1, 2, 3 }, 0, i });
    const auto merged = mergeQuarantined({ First }, many);
    EXPECT_EQ(merged.size(), 64u);
    EXPECT_EQ(merged.front().m_ageMs, 0u);
    EXPECT_LT(encodeQuarantined(merged, Now).size(), 16'384u);
}

} // namespace
} // namespace stackquay
