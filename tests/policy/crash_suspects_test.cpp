#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

constexpr TimePoint Start{ Seconds(1'000) };
const Fingerprint Culprit{ 1, 1, 2 };
const Fingerprint Bystander{ 1, 3, 4 };

class CrashSuspectsTest : public testing::Test
{
protected:
    SuspectHandling care(const Fingerprint &fingerprint, Duration after = {})
    {
        return decideAttempt(m_table, fingerprint, {}, Start + after).m_handling;
    }

    void crash(const Fingerprint &fingerprint, uint64_t process, Duration after = {})
    {
        recordCrash(m_table, fingerprint, process, Start + after);
    }

    SuspectTable m_table;
};

TEST_F(CrashSuspectsTest, EachCrashRestrictsAttemptsAndTheThirdQuarantines)
{
    EXPECT_EQ(care(Culprit), SuspectHandling::None);
    EXPECT_EQ(recordCrash(m_table, Culprit, 1, Start), SuspectChange::Known);
    EXPECT_EQ(care(Culprit), SuspectHandling::Separate);
    EXPECT_EQ(recordCrash(m_table, Culprit, 2, Start), SuspectChange::Known);
    EXPECT_EQ(care(Culprit), SuspectHandling::LowLoad);
    EXPECT_EQ(recordCrash(m_table, Culprit, 3, Start), SuspectChange::Quarantined);
    EXPECT_EQ(care(Culprit), SuspectHandling::Quarantined);
    EXPECT_EQ(recordCrash(m_table, Culprit, 4, Start), SuspectChange::None);
}

TEST_F(CrashSuspectsTest, RepeatedReportsOfOneCrashCountOnce)
{
    EXPECT_EQ(recordCrash(m_table, Culprit, 1, Start), SuspectChange::Known);
    EXPECT_EQ(recordCrash(m_table, Culprit, 1, Start), SuspectChange::None);
    EXPECT_EQ(mergeSuspectReport(m_table, { Culprit, { 1 }, 0, 50 }, Start), SuspectChange::None);
    EXPECT_EQ(care(Culprit), SuspectHandling::Separate);
}

TEST_F(CrashSuspectsTest, CrashesAndAttemptsInFlightStayWithinTheThreshold)
{
    crash(Culprit, 1);
    beginSuspectAttempt(m_table, Culprit, { 1, 1 }, Start + Seconds(5), Start);
    EXPECT_EQ(care(Culprit), SuspectHandling::Separate);
    beginSuspectAttempt(m_table, Culprit, { 2, 1 }, Start + Seconds(5), Start);
    EXPECT_EQ(care(Culprit), SuspectHandling::Busy);
    EXPECT_TRUE(decideAttempt(m_table, Culprit, { 2, 1 }, Start).isAllowed())
        << "its own attempt does not count";
    endSuspectAttempt(m_table, { 1, 1 });
    EXPECT_EQ(care(Culprit), SuspectHandling::Separate);
    crash(Culprit, 2);
    EXPECT_EQ(care(Culprit), SuspectHandling::Busy);
    EXPECT_EQ(care(Culprit, Seconds(6)), SuspectHandling::LowLoad)
        << "an attempt whose end is not reported expires";
}

TEST_F(CrashSuspectsTest, ClearingRemovesOnlyThatSuspect)
{
    for (uint64_t process = 1; process <= 3; ++process) {
        crash(Culprit, process);
        if (process < 3)
            crash(Bystander, process);
    }
    EXPECT_TRUE(removeSuspect(m_table, Bystander));
    EXPECT_EQ(care(Bystander), SuspectHandling::None);
    EXPECT_EQ(care(Culprit), SuspectHandling::Quarantined);
    EXPECT_FALSE(removeSuspect(m_table, Bystander));
    EXPECT_TRUE(m_table.mayContain(Culprit.m_outline)) << "another suspect has this outline";
    EXPECT_FALSE(m_table.mayContain(Culprit.m_outline + 1));
    removeSuspect(m_table, Culprit);
    EXPECT_FALSE(m_table.mayContain(Culprit.m_outline));
}

TEST_F(CrashSuspectsTest, ProbesOfAQuarantinedRequestAreFewAndDelayed)
{
    const SuspectSettings &settings = m_table.m_settings;
    for (uint64_t process = 1; process <= 3; ++process)
        crash(Culprit, process);
    const auto verdict = decideAttempt(m_table, Culprit, {}, Start);
    EXPECT_EQ(verdict.m_nextTryAfter, settings.m_probeDelay);
    Duration at{};
    for (uint32_t probe = 0; probe < settings.m_maxProbes; ++probe) {
        const Duration wait = settings.m_probeDelay * (1 << probe);
        EXPECT_EQ(care(Culprit, at + wait - Millis(1)), SuspectHandling::Quarantined);
        at += wait;
        EXPECT_EQ(care(Culprit, at), SuspectHandling::LowLoad);
        const LoadKey key{ 1, probe + 1 };
        beginSuspectAttempt(m_table, Culprit, key, Start + at + Seconds(5), Start + at);
        EXPECT_FALSE(decideAttempt(m_table, Culprit, {}, Start + at).isAllowed())
            << "one probe at a time";
        EXPECT_EQ(decideAttempt(m_table, Culprit, key, Start + at).m_handling,
                  SuspectHandling::LowLoad);
        endSuspectAttempt(m_table, key);
    }
    EXPECT_EQ(care(Culprit, at + Seconds(20'000)), SuspectHandling::Quarantined)
        << "no probe is left";
    EXPECT_EQ(care(Culprit, at + settings.m_retention + Seconds(1)), SuspectHandling::None);
}

TEST_F(CrashSuspectsTest, ReportsMergeInAnyOrder)
{
    SuspectTable other;
    recordCrash(other, Culprit, 1, Start);
    recordCrash(other, Culprit, 2, Start);
    crash(Culprit, 3);
    const auto news = suspectReports(other, 10, Start + Millis(40));
    ASSERT_EQ(news.size(), 1u);
    EXPECT_EQ(news.front().m_ageMs, 40u);
    EXPECT_EQ(mergeSuspectReport(m_table, news.front(), Start), SuspectChange::Quarantined);
    EXPECT_EQ(mergeSuspectReport(m_table, news.front(), Start), SuspectChange::None);
    EXPECT_EQ(mergeSuspectReport(m_table, { Bystander, {}, 0, 0 }, Start), SuspectChange::None);
    EXPECT_EQ(care(Bystander), SuspectHandling::None);
    EXPECT_EQ(mergeSuspectReport(m_table, { Bystander, { 9 }, 0, UINT64_MAX }, Start),
              SuspectChange::None);
}

TEST_F(CrashSuspectsTest, FullTableKeepsSuspectsWithMostCrashes)
{
    m_table.m_settings.m_maxSuspects = 8;
    for (uint64_t process = 1; process <= 3; ++process)
        crash(Culprit, process);
    for (uint64_t i = 0; i < 100; ++i)
        crash({ 7, 7, i }, 10 + i, Millis(i + 1));
    EXPECT_EQ(m_table.m_suspects.size(), 8u);
    EXPECT_EQ(care(Culprit), SuspectHandling::Quarantined);
    EXPECT_EQ(suspectReports(m_table, 2, Start + Seconds(1)).front().m_fingerprint, Culprit);
    EXPECT_EQ(care({ 7, 7, 99 }), SuspectHandling::Separate) << "the latest are kept";
}

// Reports of a crash may arrive after the request has completed. They must not make it a suspect
// again.
TEST_F(CrashSuspectsTest, CrashesBeforeACompletionAreIgnored)
{
    crash(Culprit, 1);
    EXPECT_TRUE(markCleared(m_table, Culprit, {}, Start));
    EXPECT_FALSE(markCleared(m_table, Culprit, { 1 }, Start));
    EXPECT_EQ(mergeSuspectReport(m_table, { Culprit, { 1 }, 0, 50 }, Start), SuspectChange::None);
    EXPECT_EQ(recordCrash(m_table, Culprit, 1, Start), SuspectChange::None);
    EXPECT_TRUE(m_table.empty());
    // A new crash counts; the cleared one does not.
    EXPECT_EQ(mergeSuspectReport(m_table, { Culprit, { 1, 2 }, 0, 50 }, Start),
              SuspectChange::Known);
    EXPECT_EQ(care(Culprit), SuspectHandling::Separate);
}

TEST_F(CrashSuspectsTest, ClearingMayArriveBeforeTheReportOfTheCrash)
{
    EXPECT_TRUE(markCleared(m_table, Culprit, { 1 }, Start));
    EXPECT_EQ(mergeSuspectReport(m_table, { Culprit, { 1 }, 0, 50 }, Start), SuspectChange::None);
    EXPECT_TRUE(m_table.empty());
}

TEST_F(CrashSuspectsTest, ClearedCrashesAreBounded)
{
    const size_t most = m_table.m_settings.m_maxSuspects;
    for (uint64_t i = 0; i < 2 * most; ++i)
        markCleared(m_table, { i, i, i }, { i }, Start + Millis(i));
    EXPECT_LE(m_table.m_cleared.size(), most);
    EXPECT_FALSE(markCleared(m_table, { 2 * most - 1, 2 * most - 1, 2 * most - 1 },
                             { 2 * most - 1 }, Start + Seconds(60)));
    for (uint64_t process = 0; process < 2 * most; ++process)
        markCleared(m_table, Culprit, { process }, Start + Seconds(61));
    EXPECT_LE(m_table.m_cleared.at(Culprit).m_crashes.size(),
              m_table.m_settings.m_maxClearedCrashes);
    EXPECT_EQ(mergeSuspectReport(m_table, { Culprit, { 2 * most - 1 }, 0, 0 }, Start + Seconds(61)),
              SuspectChange::None)
        << "the latest are kept";
}

} // namespace
} // namespace stackquay
