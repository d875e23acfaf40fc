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

// Whether crashes are one event or several follows from their moments, so a restart must keep them.
TEST(QuarantineRecordTest, MomentsOfCrashesAreStored)
{
    SuspectReport report = First;
    report.m_ages = { { 900, 850 }, { 800, 700 }, { 600, 500 } };
    report.m_answeredBefore = true;
    const auto read = decodeQuarantined(encodeQuarantined({ report }, Now), Now + Seconds(1));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->front().m_ages, (std::vector<SuspectCrashAges>{
                                        { 1'900, 1'850 }, { 1'800, 1'700 }, { 1'600, 1'500 } }));
    EXPECT_TRUE(read->front().m_answeredBefore);
    EXPECT_FALSE(decodeQuarantined(
        R"({"condemned":[{"print":"000000000000000100000000000000020000000000000003","ends":[1],)"
        R"("trials":1,"at_ms":5,"times":[[1,"2"]]}]})",
        Now));
}

// A cleared request is removed, so that a restart does not quarantine it again.
TEST(QuarantineRecordTest, ClearedRequestIsRemoved)
{
    const auto format = quarantineFormat({});
    SuspectReport other = First;
    other.m_fingerprint = { 4, 5, 6 };
    const auto kept = format.m_subtract({ First, other }, { First });
    ASSERT_EQ(kept.size(), 1u);
    EXPECT_EQ(kept.front().m_fingerprint, other.m_fingerprint);
    SuspectReport later = First;
    later.m_failedProbes = 1;
    EXPECT_EQ(format.m_subtract({ later }, { First }).size(), 1u) << "a later crash is known";
}

TEST(QuarantineRecordTest, MergeKeepsTheHigherCounts)
{
    SuspectReport later = First;
    later.m_failedProbes = 1;
    EXPECT_EQ(mergeQuarantined({ First }, { later }).front().m_failedProbes, 1u);
    EXPECT_EQ(mergeQuarantined({ later }, { First }).front().m_failedProbes, 1u);
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
