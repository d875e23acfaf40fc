#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start{ Seconds(1'000) };
constexpr uint64_t Shared = 1;
constexpr uint64_t Crashing = 2;
constexpr uint64_t Neighbour = 3;
constexpr uint64_t One = 100; ///< A customer.
constexpr uint64_t Other = 200;

class CrashingPartsTest : public testing::Test
{
protected:
    /// An exit under a request of its own that lists @p parts.
    void crash(const std::vector<uint64_t> &parts, uint64_t customer = One)
    {
        m_now += Millis(100);
        ++m_process;
        for (const uint64_t part : parts)
            recordPartCrash(m_table, { part, customer }, { m_process, m_process, m_now }, m_now);
    }

    bool refuses(const std::vector<uint64_t> &parts, uint64_t customer = One)
    {
        return !decidePrompt(m_table, { parts, customer }, false, m_now).m_allowed;
    }

    void answer(const std::vector<uint64_t> &parts, uint64_t customer = One)
    {
        for (const PartKey &key : suspectKeysOf(m_table, { parts, customer }))
            clearPart(m_table, key, {}, m_now);
    }

    PartTable m_table;
    TimePoint m_now = Start;
    uint64_t m_process = 10;
};

TEST_F(CrashingPartsTest, PartAtThreeCrashesIsRefused)
{
    crash({ Shared, Crashing });
    answer({ Shared });
    crash({ Shared, Crashing });
    answer({ Shared });
    EXPECT_FALSE(refuses({ Shared, Crashing }));
    crash({ Shared, Crashing });
    EXPECT_TRUE(refuses({ Shared, Crashing }));
    EXPECT_TRUE(refuses({ Crashing }));
    answer({ Shared });
    EXPECT_FALSE(refuses({ Shared }));
    EXPECT_TRUE(refuses({ Shared, Crashing }));
}

TEST_F(CrashingPartsTest, PartsAtTheSameCrashesAreRefusedOnlyTogether)
{
    for (int i = 0; i < 3; ++i)
        crash({ Shared, Crashing });
    EXPECT_TRUE(refuses({ Shared, Crashing }));
    EXPECT_TRUE(refuses({ Neighbour, Crashing, Shared }));
    EXPECT_FALSE(refuses({ Shared, Neighbour }));
    EXPECT_FALSE(refuses({ Crashing }));
}

TEST_F(CrashingPartsTest, RequestThatIsRepeatedCountsOnce)
{
    for (uint64_t process = 1; process <= 5; ++process) {
        m_now += Seconds(1);
        recordPartCrash(m_table, { Shared, One }, { process, 7, m_now }, m_now);
    }
    EXPECT_FALSE(refuses({ Shared }));
}

TEST_F(CrashingPartsTest, ProcessesThatExitTogetherCountOnce)
{
    for (uint64_t process = 1; process <= 12; ++process)
        recordPartCrash(m_table, { Shared, One }, { process, process, m_now }, m_now);
    EXPECT_FALSE(refuses({ Shared }));
}

// The failure: the processes of a rack that loses power end within a second, and the part that
// every request lists was refused for ten minutes.
TEST_F(CrashingPartsTest, EnginesThatEndWithinASecondQuarantineNoAnsweredPart)
{
    recordAnswer(m_table.m_answered, Shared, m_now);
    for (int i = 0; i < 9; ++i)
        crash({ Shared });
    EXPECT_FALSE(refuses({ Shared }));
    // One that crashes engines again and again is found out all the same.
    for (int i = 0; i < 30; ++i)
        crash({ Shared });
    EXPECT_TRUE(refuses({ Shared }));
}

TEST_F(CrashingPartsTest, OtherVmsLearnThatAPartWasAnsweredBefore)
{
    recordAnswer(m_table.m_answered, Shared, m_now);
    for (int i = 0; i < 4; ++i)
        crash({ Shared });
    PartTable other;
    for (const PartReport &report : partReports(m_table, suspectPartKeys(m_table), m_now))
        EXPECT_EQ(mergePartReport(other, report, m_now), PartChange::Known);
    EXPECT_TRUE(other.m_quarantines.empty());
}

TEST_F(CrashingPartsTest, ManyCrashesAtOnceLeaveRoomForLaterOnes)
{
    for (uint64_t process = 1; process <= 40; ++process)
        recordPartCrash(m_table, { Crashing, One }, { process, process, m_now }, m_now);
    EXPECT_FALSE(refuses({ Crashing }));
    m_process = 100;
    crash({ Crashing });
    crash({ Crashing });
    EXPECT_TRUE(refuses({ Crashing }));
}

TEST_F(CrashingPartsTest, BystandersAreNotRefused)
{
    for (int i = 0; i < 6; ++i)
        crash(i % 2 == 0 ? std::vector{ Crashing, Neighbour } : std::vector{ Crashing });
    EXPECT_TRUE(refuses({ Crashing }));
    EXPECT_FALSE(refuses({ Neighbour }));
}

TEST_F(CrashingPartsTest, TwoCrashingPartsAreBothRefused)
{
    for (int i = 0; i < 3; ++i) {
        crash({ Crashing });
        crash({ Neighbour });
    }
    EXPECT_TRUE(refuses({ Crashing }));
    EXPECT_TRUE(refuses({ Neighbour }));
}

TEST_F(CrashingPartsTest, RequestsOfOneCustomerBlockNoOther)
{
    for (int i = 0; i < 10; ++i)
        crash({ Crashing });
    EXPECT_TRUE(refuses({ Crashing }));
    EXPECT_FALSE(refuses({ Crashing }, Other));
}

TEST_F(CrashingPartsTest, CrashesOfSeveralCustomersBlockAll)
{
    crash({ Crashing }, One);
    crash({ Crashing }, Other);
    crash({ Crashing }, Other);
    crash({ Crashing }, 300);
    EXPECT_TRUE(refuses({ Crashing }, 400));
}

TEST_F(CrashingPartsTest, OldReportsOfAClearedPartAreIgnored)
{
    crash({ Shared });
    crash({ Shared });
    const auto reports = partReports(m_table, { { Shared, One } }, m_now);
    answer({ Shared });
    EXPECT_TRUE(m_table.empty());
    EXPECT_EQ(mergePartReport(m_table, reports.front(), m_now), PartChange::None);
    EXPECT_TRUE(m_table.empty());
    crash({ Shared });
    EXPECT_FALSE(m_table.empty());
}

TEST_F(CrashingPartsTest, ReportsInAnyOrderQuarantineTheSameParts)
{
    crash({ Crashing, Neighbour });
    crash({ Crashing });
    crash({ Crashing });
    const auto reports = partReports(m_table, suspectPartKeys(m_table), m_now);
    ASSERT_EQ(reports.size(), 2u);
    PartTable other;
    EXPECT_NE(mergePartReport(other, reports[1], m_now), PartChange::None);
    EXPECT_EQ(mergePartReport(other, reports[0], m_now), PartChange::Quarantined);
    EXPECT_EQ(mergePartReport(other, reports[0], m_now), PartChange::None);
    ASSERT_EQ(other.m_quarantines.size(), 1u);
    EXPECT_EQ(other.m_quarantines.front().m_parts, m_table.m_quarantines.front().m_parts);
    EXPECT_EQ(other.m_explained, m_table.m_explained);
}

TEST_F(CrashingPartsTest, FewProbesAreSentMuchLater)
{
    for (int i = 0; i < 3; ++i)
        crash({ Crashing });
    const PromptParts prompt{ { Crashing }, One };
    uint32_t probes = 0;
    for (const TimePoint until = m_now + std::chrono::hours(20); m_now < until;
         m_now += Seconds(30)) {
        const PartDecision decision = decidePrompt(m_table, prompt, true, m_now);
        if (!decision.m_allowed) {
            EXPECT_GT(decision.m_nextTryAfter, Duration::zero());
            continue;
        }
        EXPECT_TRUE(decision.m_isProbe);
        EXPECT_GE(m_now, Start + m_table.m_settings.m_probeDelay);
        recordPartProbe(m_table, prompt, m_now);
        ++probes;
    }
    EXPECT_EQ(probes, m_table.m_settings.m_maxProbes);
}

TEST_F(CrashingPartsTest, AnswerToAProbeLiftsTheQuarantine)
{
    for (int i = 0; i < 3; ++i)
        crash({ Crashing });
    answer({ Crashing });
    EXPECT_FALSE(refuses({ Crashing }));
    crash({ Crashing });
    EXPECT_FALSE(refuses({ Crashing }));
}

TEST_F(CrashingPartsTest, OneVmOfAFleetMayProbeAtATime)
{
    for (int i = 0; i < 3; ++i)
        crash({ Crashing });
    const PromptParts prompt{ { Crashing }, One };
    for (const uint32_t size : { 9u, 72u, 985u, 1'970u }) {
        const uint32_t cells = cellCount(size);
        std::vector<std::vector<VmId>> members(cells);
        for (uint32_t i = 0; i < size; ++i) {
            const VmId vm("vm-" + std::to_string(i));
            members[cellOf(vm, cells)].push_back(vm);
        }
        const TimePoint due = m_now + m_table.m_settings.m_probeDelay + Seconds(90);
        size_t probing = 0;
        for (uint32_t cell = 0; cell < cells; ++cell) {
            for (const VmId &vm : members[cell]) {
                std::vector<VmId> peers = members[cell];
                std::erase(peers, vm);
                probing += mayProbeParts(m_table, prompt, vm, peers, { cell, cells }, due) ? 1 : 0;
                EXPECT_FALSE(mayProbeParts(m_table, prompt, vm, peers, { cell, cells }, m_now));
            }
        }
        EXPECT_EQ(probing, 1u) << size << " VMs";
    }
}

TEST_F(CrashingPartsTest, TableIsBounded)
{
    for (uint64_t part = 1; part <= 3 * m_table.m_settings.m_maxParts; ++part) {
        crash({ part });
        crash({ part });
        if (part % 2 == 0)
            answer({ part });
    }
    for (int i = 0; i < 100; ++i)
        crash({ Crashing });
    EXPECT_LE(m_table.m_suspects.size(), m_table.m_settings.m_maxParts);
    EXPECT_LE(m_table.m_cleared.size(), m_table.m_settings.m_maxParts);
    EXPECT_LE(m_table.m_suspects.at({ Crashing, One }).m_crashes.size(),
              m_table.m_settings.m_maxCrashes);
    EXPECT_TRUE(refuses({ Crashing }));
    m_now += m_table.m_settings.m_retention + Seconds(1);
    dropExpiredParts(m_table, m_now);
    EXPECT_TRUE(m_table.empty());
}

} // namespace
} // namespace stackquay
