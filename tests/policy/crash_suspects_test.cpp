#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

constexpr TimePoint Start{ Seconds(1'000) };
constexpr Millis RunTime{ 20 }; ///< From the begin of an attempt to the crash.
constexpr Millis CrashInterval{ 100 };
const Fingerprint Culprit{ 1, 1, 2 };
const Fingerprint Bystander{ 1, 3, 4 };

class CrashSuspectsTest : public testing::Test
{
protected:
    SuspectHandling care(const Fingerprint &fingerprint, Duration after = {})
    {
        return decide(fingerprint, after).m_handling;
    }

    SuspectDecision decide(const Fingerprint &fingerprint, Duration after = {},
                           const LoadKey &own = {}, bool mayProbe = true)
    {
        return decideAttempt(m_table, fingerprint, own, mayProbe, Start + after);
    }

    /// A crash of an attempt that began shortly before.
    static SuspectCrash crashAt(uint64_t process, Duration after)
    {
        return { process, Start + after - RunTime, Start + after };
    }

    SuspectChange crash(const Fingerprint &fingerprint, uint64_t process, Duration after = {},
                        bool confirmed = true)
    {
        SuspectCrash one = crashAt(process, after);
        one.m_confirmed = confirmed;
        return recordCrash(m_table, fingerprint, one, Start + after);
    }

    /// Three crashes, each of an attempt that began after the one before. Returns the last moment.
    Duration quarantine(const Fingerprint &fingerprint)
    {
        for (uint64_t process = 1; process <= 3; ++process)
            crash(fingerprint, process, CrashInterval * process);
        return CrashInterval * 3;
    }

    /// Crashes of three processes with an attempt each that began before the first one.
    void failTogether(const Fingerprint &fingerprint)
    {
        for (uint64_t process = 1; process <= 3; ++process)
            crash(fingerprint, process, Millis(process));
    }

    SuspectTable m_table;
};

TEST_F(CrashSuspectsTest, EachCrashRestrictsAttemptsAndTheThirdQuarantines)
{
    EXPECT_EQ(care(Culprit), SuspectHandling::None);
    EXPECT_EQ(crash(Culprit, 1, CrashInterval), SuspectChange::Known);
    EXPECT_EQ(care(Culprit, CrashInterval), SuspectHandling::Separate);
    EXPECT_EQ(crash(Culprit, 2, CrashInterval * 2), SuspectChange::Known);
    EXPECT_EQ(care(Culprit, CrashInterval * 2), SuspectHandling::LowLoad);
    EXPECT_EQ(crash(Culprit, 3, CrashInterval * 3), SuspectChange::Quarantined);
    EXPECT_EQ(care(Culprit, CrashInterval * 3), SuspectHandling::Quarantined);
    EXPECT_EQ(recordCrash(m_table, Culprit, { 4, Start + CrashInterval, Start + CrashInterval * 4 },
                          Start + CrashInterval * 4),
              SuspectChange::None)
        << "its attempt was in flight before";
}

TEST_F(CrashSuspectsTest, RepeatedReportsOfOneCrashCountOnce)
{
    EXPECT_EQ(crash(Culprit, 1), SuspectChange::Known);
    EXPECT_EQ(crash(Culprit, 1), SuspectChange::None);
    EXPECT_EQ(mergeSuspectReport(m_table, { Culprit, { 1 }, 0, 50 }, Start), SuspectChange::None);
    EXPECT_EQ(care(Culprit), SuspectHandling::Separate);
}

// The failure: the processes of a rack that end in one moment counted as three crashes, and the
// request that everybody asks for was in progress at each of them.
TEST_F(CrashSuspectsTest, ProcessesThatEndTogetherQuarantineNoRequest)
{
    failTogether(Bystander);
    const SuspectDecision decision = decide(Bystander, Millis(3));
    EXPECT_EQ(decision.m_handling, SuspectHandling::Busy);
    EXPECT_LE(decision.m_nextTryAfter, Seconds(1));
    EXPECT_EQ(care(Bystander, Millis(60)), SuspectHandling::LowLoad) << "a probe";
    EXPECT_EQ(decide(Bystander, Millis(60), {}, false).m_handling, SuspectHandling::Busy)
        << "another VM sends it";
    EXPECT_TRUE(markCleared(m_table, Bystander, {}, Start + Millis(120)));
    EXPECT_EQ(care(Bystander, Millis(120)), SuspectHandling::None);
}

// The processes of a rack may also end one after the other, and a request that was answered before
// is sent to each of them.
TEST_F(CrashSuspectsTest, AnsweredRequestIsNotQuarantinedByARollingFailure)
{
    recordAnswer(m_table.m_answered, Bystander.m_low, Start);
    for (uint64_t process = 1; process <= 3; ++process)
        crash(Bystander, process, Millis(300) * process);
    EXPECT_EQ(care(Bystander, Millis(900)), SuspectHandling::Busy);
    EXPECT_EQ(care(Bystander, Millis(1'900)), SuspectHandling::LowLoad);
    // One that was not answered gets no such time.
    for (uint64_t process = 1; process <= 3; ++process)
        crash(Culprit, process, Millis(300) * process);
    EXPECT_EQ(care(Culprit, Millis(900)), SuspectHandling::Quarantined);
}

TEST_F(CrashSuspectsTest, ProbeThatCrashesAfterOneEventQuarantines)
{
    failTogether(Culprit);
    EXPECT_EQ(crash(Culprit, 4, Millis(200)), SuspectChange::Quarantined);
    const SuspectDecision decision = decide(Culprit, Millis(200));
    EXPECT_EQ(decision.m_handling, SuspectHandling::Quarantined);
    EXPECT_EQ(decision.m_nextTryAfter, m_table.m_settings.m_probeDelay);
}

TEST_F(CrashSuspectsTest, CrashesThatMayBeFailuresOfThePathProveNothing)
{
    for (uint64_t process = 1; process <= 3; ++process)
        crash(Bystander, process, CrashInterval * process, false);
    EXPECT_FALSE(isQuarantined(m_table, Bystander));
    EXPECT_TRUE(suspectReports(m_table, 10, Start + Seconds(1)).empty());
    EXPECT_EQ(care(Bystander, Seconds(1)), SuspectHandling::LowLoad) << "a probe at a time";
    // A later crash that is certain makes them likely.
    EXPECT_EQ(crash(Bystander, 4, Seconds(2)), SuspectChange::Quarantined);
}

TEST_F(CrashSuspectsTest, CrashesAndAttemptsInFlightStayWithinTheThreshold)
{
    crash(Culprit, 1);
    beginSuspectAttempt(m_table, Culprit, { 1, 1 }, Start + Seconds(5), Start);
    EXPECT_EQ(care(Culprit), SuspectHandling::Separate);
    beginSuspectAttempt(m_table, Culprit, { 2, 1 }, Start + Seconds(5), Start);
    EXPECT_EQ(care(Culprit), SuspectHandling::Busy);
    EXPECT_TRUE(decide(Culprit, {}, { 2, 1 }).isAllowed()) << "its own attempt does not count";
    endSuspectAttempt(m_table, { 1, 1 });
    EXPECT_EQ(care(Culprit), SuspectHandling::Separate);
    crash(Culprit, 2, CrashInterval);
    EXPECT_EQ(care(Culprit, CrashInterval), SuspectHandling::Busy);
    EXPECT_EQ(care(Culprit, Seconds(6)), SuspectHandling::LowLoad)
        << "an attempt whose end is not reported expires";
}

TEST_F(CrashSuspectsTest, ClearingRemovesOnlyThatSuspect)
{
    const Duration last = quarantine(Culprit);
    crash(Bystander, 1, CrashInterval);
    crash(Bystander, 2, CrashInterval * 2);
    EXPECT_TRUE(removeSuspect(m_table, Bystander));
    EXPECT_EQ(care(Bystander, last), SuspectHandling::None);
    EXPECT_EQ(care(Culprit, last), SuspectHandling::Quarantined);
    EXPECT_FALSE(removeSuspect(m_table, Bystander));
    EXPECT_TRUE(m_table.mayContain(Culprit.m_outline)) << "another suspect has this outline";
    EXPECT_FALSE(m_table.mayContain(Culprit.m_outline + 1));
    removeSuspect(m_table, Culprit);
    EXPECT_FALSE(m_table.mayContain(Culprit.m_outline));
}

TEST_F(CrashSuspectsTest, ProbesOfAQuarantinedRequestAreFewAndDelayed)
{
    const SuspectSettings &settings = m_table.m_settings;
    Duration at = quarantine(Culprit);
    EXPECT_EQ(decide(Culprit, at).m_nextTryAfter, settings.m_probeDelay);
    for (uint32_t probe = 0; probe < settings.m_maxProbes; ++probe) {
        const Duration wait = settings.m_probeDelay * (1 << probe);
        EXPECT_EQ(care(Culprit, at + wait - Millis(1)), SuspectHandling::Quarantined);
        at += wait;
        EXPECT_EQ(care(Culprit, at), SuspectHandling::LowLoad);
        EXPECT_FALSE(decide(Culprit, at, {}, false).isAllowed()) << "another VM sends it";
        const LoadKey key{ 1, probe + 1 };
        beginSuspectAttempt(m_table, Culprit, key, Start + at + Seconds(5), Start + at);
        EXPECT_FALSE(decide(Culprit, at).isAllowed()) << "one probe at a time";
        EXPECT_EQ(decide(Culprit, at, key).m_handling, SuspectHandling::LowLoad);
        endSuspectAttempt(m_table, key);
        at += RunTime;
        EXPECT_EQ(crash(Culprit, 10 + probe, at), SuspectChange::Quarantined);
    }
    EXPECT_EQ(care(Culprit, at + Seconds(20'000)), SuspectHandling::Quarantined)
        << "no probe is left";
    EXPECT_EQ(care(Culprit, at + settings.m_retention + Seconds(1)), SuspectHandling::None);
}

// The failure: probes counted as they began, at several VMs at once, so that the request was
// refused for a day although no probe had crashed.
TEST_F(CrashSuspectsTest, ProbesWithoutAnOutcomeCountForNothing)
{
    const SuspectSettings &settings = m_table.m_settings;
    Duration at = quarantine(Bystander) + settings.m_probeDelay;
    for (uint32_t probe = 0; probe < 2 * settings.m_maxProbes; ++probe) {
        EXPECT_EQ(care(Bystander, at), SuspectHandling::LowLoad) << probe;
        const LoadKey key{ 1, probe + 1 };
        beginSuspectAttempt(m_table, Bystander, key, Start + at + Seconds(5), Start + at);
        endSuspectAttempt(m_table, key);
        EXPECT_EQ(decide(Bystander, at).m_nextTryAfter, settings.m_probeTurn);
        at += settings.m_probeTurn;
    }
}

TEST_F(CrashSuspectsTest, OneOfSeveralProbesThatBeginTogetherIsSent)
{
    failTogether(Culprit);
    const Millis at(100);
    for (const LoadKey &key : { LoadKey{ 7, 2 }, LoadKey{ 7, 1 }, LoadKey{ 9, 1 } })
        beginSuspectAttempt(m_table, Culprit, key, Start + Seconds(5), Start + at);
    EXPECT_TRUE(decide(Culprit, at, { 7, 1 }).isAllowed());
    EXPECT_FALSE(decide(Culprit, at, { 7, 2 }).isAllowed());
    EXPECT_FALSE(decide(Culprit, at, { 9, 1 }).isAllowed());
}

TEST_F(CrashSuspectsTest, FewVmsMayProbeAtATime)
{
    constexpr size_t Vms = 75;
    std::vector<VmId> vms;
    for (size_t i = 0; i < Vms; ++i)
        vms.push_back(VmId("vm-" + std::to_string(i)));
    const auto mayProbe = [&](Duration after) {
        return std::count_if(vms.begin(), vms.end(), [&](const VmId &self) {
            std::vector<VmId> peers = vms;
            std::erase(peers, self);
            return mayProbeSuspect(m_table, Culprit, self, peers, {}, Start + after);
        });
    };
    EXPECT_EQ(mayProbe(Seconds(1)), 0) << "not isolated";
    failTogether(Culprit);
    EXPECT_EQ(mayProbe(Millis(10)), 0) << "not due";
    EXPECT_EQ(mayProbe(Millis(100)), 5);
    EXPECT_EQ(mayProbe(Seconds(15)), 10);
    EXPECT_EQ(mayProbe(Seconds(60)), Vms);
    crash(Culprit, 4, Seconds(1));
    EXPECT_EQ(mayProbe(Seconds(60)), 0);
    EXPECT_EQ(mayProbe(Seconds(700)), 1);
}

TEST_F(CrashSuspectsTest, ReportsMergeInAnyOrder)
{
    SuspectTable other;
    const TimePoint now = Start + CrashInterval * 3;
    recordCrash(other, Culprit, crashAt(1, CrashInterval), now);
    recordCrash(other, Culprit, crashAt(2, CrashInterval * 2), now);
    crash(Culprit, 3, CrashInterval * 3);
    const auto news = suspectReports(other, 10, now + Millis(40));
    ASSERT_EQ(news.size(), 1u);
    EXPECT_EQ(news.front().m_ageMs, 40u);
    EXPECT_EQ(news.front().m_ages.front(), (SuspectCrashAges{ 260, 240 }));
    EXPECT_EQ(mergeSuspectReport(m_table, news.front(), now + Millis(40)),
              SuspectChange::Quarantined);
    EXPECT_EQ(mergeSuspectReport(m_table, news.front(), now + Millis(40)), SuspectChange::None);
    // VMs of an earlier version send no moments: the crashes count as one event.
    EXPECT_EQ(mergeSuspectReport(m_table, { { 5, 6, 7 }, { 1, 2, 3 }, 0, 40 }, Start),
              SuspectChange::Known);
    EXPECT_EQ(mergeSuspectReport(m_table, { Bystander, {}, 0, 0 }, Start), SuspectChange::None);
    EXPECT_EQ(care(Bystander), SuspectHandling::None);
    EXPECT_EQ(mergeSuspectReport(m_table, { Bystander, { 9 }, 0, UINT64_MAX }, Start),
              SuspectChange::None);
}

TEST_F(CrashSuspectsTest, FullTableKeepsSuspectsWithMostCrashes)
{
    m_table.m_settings.m_maxSuspects = 8;
    quarantine(Culprit);
    for (uint64_t i = 0; i < 100; ++i)
        crash({ 7, 7, i }, 10 + i, Millis(i + 1));
    EXPECT_EQ(m_table.m_suspects.size(), 8u);
    EXPECT_EQ(care(Culprit, CrashInterval * 3), SuspectHandling::Quarantined);
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
    EXPECT_EQ(crash(Culprit, 1), SuspectChange::None);
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
