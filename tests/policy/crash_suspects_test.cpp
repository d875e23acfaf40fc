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
    SuspectCare care(const Fingerprint &fingerprint, Duration after = {})
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
    EXPECT_EQ(care(Culprit), SuspectCare::None);
    EXPECT_EQ(recordCrash(m_table, Culprit, 1, Start), SuspectChange::Known);
    EXPECT_EQ(care(Culprit), SuspectCare::Apart);
    EXPECT_EQ(recordCrash(m_table, Culprit, 2, Start), SuspectChange::Known);
    EXPECT_EQ(care(Culprit), SuspectCare::LowLoad);
    EXPECT_EQ(recordCrash(m_table, Culprit, 3, Start), SuspectChange::Condemned);
    EXPECT_EQ(care(Culprit), SuspectCare::Condemned);
    EXPECT_EQ(recordCrash(m_table, Culprit, 4, Start), SuspectChange::None);
}

TEST_F(CrashSuspectsTest, RepeatedReportsOfOneCrashCountOnce)
{
    EXPECT_EQ(recordCrash(m_table, Culprit, 1, Start), SuspectChange::Known);
    EXPECT_EQ(recordCrash(m_table, Culprit, 1, Start), SuspectChange::None);
    EXPECT_EQ(joinNews(m_table, { Culprit, { 1 }, 0, 50 }, Start), SuspectChange::None);
    EXPECT_EQ(care(Culprit), SuspectCare::Apart);
}

TEST_F(CrashSuspectsTest, CrashesAndAttemptsInFlightStayWithinTheThreshold)
{
    crash(Culprit, 1);
    beginTry(m_table, Culprit, { 1, 1 }, Start + Seconds(5), Start);
    EXPECT_EQ(care(Culprit), SuspectCare::Apart);
    beginTry(m_table, Culprit, { 2, 1 }, Start + Seconds(5), Start);
    EXPECT_EQ(care(Culprit), SuspectCare::Busy);
    EXPECT_TRUE(decideAttempt(m_table, Culprit, { 2, 1 }, Start).mayTry())
        << "its own attempt does not count";
    endTry(m_table, { 1, 1 });
    EXPECT_EQ(care(Culprit), SuspectCare::Apart);
    crash(Culprit, 2);
    EXPECT_EQ(care(Culprit), SuspectCare::Busy);
    EXPECT_EQ(care(Culprit, Seconds(6)), SuspectCare::LowLoad)
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
    EXPECT_EQ(care(Bystander), SuspectCare::None);
    EXPECT_EQ(care(Culprit), SuspectCare::Condemned);
    EXPECT_FALSE(removeSuspect(m_table, Bystander));
    EXPECT_TRUE(m_table.mayKnow(Culprit.m_outline)) << "another suspect has this outline";
    EXPECT_FALSE(m_table.mayKnow(Culprit.m_outline + 1));
    removeSuspect(m_table, Culprit);
    EXPECT_FALSE(m_table.mayKnow(Culprit.m_outline));
}

TEST_F(CrashSuspectsTest, ProbesOfAQuarantinedRequestAreFewAndDelayed)
{
    const SuspectSettings &settings = m_table.m_settings;
    for (uint64_t process = 1; process <= 3; ++process)
        crash(Culprit, process);
    const auto verdict = decideAttempt(m_table, Culprit, {}, Start);
    EXPECT_EQ(verdict.m_comeBack, settings.m_probeDelay);
    Duration at{};
    for (uint32_t probe = 0; probe < settings.m_maxProbes; ++probe) {
        const Duration wait = settings.m_probeDelay * (1 << probe);
        EXPECT_EQ(care(Culprit, at + wait - Millis(1)), SuspectCare::Condemned);
        at += wait;
        EXPECT_EQ(care(Culprit, at), SuspectCare::LowLoad);
        const LoadKey key{ 1, probe + 1 };
        beginTry(m_table, Culprit, key, Start + at + Seconds(5), Start + at);
        EXPECT_FALSE(decideAttempt(m_table, Culprit, {}, Start + at).mayTry())
            << "one probe at a time";
        EXPECT_EQ(decideAttempt(m_table, Culprit, key, Start + at).m_handling,
                  SuspectCare::LowLoad);
        endTry(m_table, key);
    }
    EXPECT_EQ(care(Culprit, at + Seconds(20'000)), SuspectCare::Condemned) << "no probe is left";
    EXPECT_EQ(care(Culprit, at + settings.m_retention + Seconds(1)), SuspectCare::None);
}

TEST_F(CrashSuspectsTest, ReportsMergeInAnyOrder)
{
    SuspectTable other;
    recordCrash(other, Culprit, 1, Start);
    recordCrash(other, Culprit, 2, Start);
    crash(Culprit, 3);
    const auto news = newsOf(other, 10, Start + Millis(40));
    ASSERT_EQ(news.size(), 1u);
    EXPECT_EQ(news.front().m_ageMs, 40u);
    EXPECT_EQ(joinNews(m_table, news.front(), Start), SuspectChange::Condemned);
    EXPECT_EQ(joinNews(m_table, news.front(), Start), SuspectChange::None);
    EXPECT_EQ(joinNews(m_table, { Bystander, {}, 0, 0 }, Start), SuspectChange::None);
    EXPECT_EQ(care(Bystander), SuspectCare::None);
    EXPECT_EQ(joinNews(m_table, { Bystander, { 9 }, 0, UINT64_MAX }, Start), SuspectChange::None);
}

TEST_F(CrashSuspectsTest, FullTableKeepsSuspectsWithMostCrashes)
{
    m_table.m_settings.m_maxSuspects = 8;
    for (uint64_t process = 1; process <= 3; ++process)
        crash(Culprit, process);
    for (uint64_t i = 0; i < 100; ++i)
        crash({ 7, 7, i }, 10 + i, Millis(i + 1));
    EXPECT_EQ(m_table.m_suspects.size(), 8u);
    EXPECT_EQ(care(Culprit), SuspectCare::Condemned);
    EXPECT_EQ(newsOf(m_table, 2, Start + Seconds(1)).front().m_print, Culprit);
    EXPECT_EQ(care({ 7, 7, 99 }), SuspectCare::Apart) << "the latest are kept";
}

// Reports of a crash may arrive after the request has completed. They must not make it a suspect
// again.
TEST_F(CrashSuspectsTest, CrashesBeforeACompletionAreIgnored)
{
    crash(Culprit, 1);
    EXPECT_TRUE(noteCleared(m_table, Culprit, {}, Start));
    EXPECT_FALSE(noteCleared(m_table, Culprit, { 1 }, Start));
    EXPECT_EQ(joinNews(m_table, { Culprit, { 1 }, 0, 50 }, Start), SuspectChange::None);
    EXPECT_EQ(recordCrash(m_table, Culprit, 1, Start), SuspectChange::None);
    EXPECT_TRUE(m_table.empty());
    // A new crash counts; the cleared one does not.
    EXPECT_EQ(joinNews(m_table, { Culprit, { 1, 2 }, 0, 50 }, Start), SuspectChange::Known);
    EXPECT_EQ(care(Culprit), SuspectCare::Apart);
}

TEST_F(CrashSuspectsTest, ClearingMayArriveBeforeTheReportOfTheCrash)
{
    EXPECT_TRUE(noteCleared(m_table, Culprit, { 1 }, Start));
    EXPECT_EQ(joinNews(m_table, { Culprit, { 1 }, 0, 50 }, Start), SuspectChange::None);
    EXPECT_TRUE(m_table.empty());
}

TEST_F(CrashSuspectsTest, ClearedCrashesAreBounded)
{
    const size_t most = m_table.m_settings.m_maxSuspects;
    for (uint64_t i = 0; i < 2 * most; ++i)
        noteCleared(m_table, { i, i, i }, { i }, Start + Millis(i));
    EXPECT_LE(m_table.m_cleared.size(), most);
    EXPECT_FALSE(noteCleared(m_table, { 2 * most - 1, 2 * most - 1, 2 * most - 1 },
                             { 2 * most - 1 }, Start + Seconds(60)));
    for (uint64_t process = 0; process < 2 * most; ++process)
        noteCleared(m_table, Culprit, { process }, Start + Seconds(61));
    EXPECT_LE(m_table.m_cleared.at(Culprit).m_crashes.size(),
              m_table.m_settings.m_maxClearedCrashes);
    EXPECT_EQ(joinNews(m_table, { Culprit, { 2 * most - 1 }, 0, 0 }, Start + Seconds(61)),
              SuspectChange::None)
        << "the latest are kept";
}

} // namespace
} // namespace stackquay
