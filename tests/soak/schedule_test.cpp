#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "tests/soak/schedule.h"
#include "tests/soak/traffic.h"

namespace stackquay::soak {
namespace {

constexpr Seconds Length{ 60 };

TEST(ScheduleTest, SameSeedGivesTheSameSchedule)
{
    const std::string text = toString(drawSchedule(7, Length, 4));
    EXPECT_EQ(toString(drawSchedule(7, Length, 4)), text);
    EXPECT_NE(toString(drawSchedule(8, Length, 4)), text);
}

TEST(ScheduleTest, EveryKindIsDrawnAndAllEndBeforeTheCalm)
{
    std::set<FaultKind> kinds;
    size_t overlapping = 0;
    size_t plannedOnly = 0;
    for (uint64_t seed = 0; seed < 50; ++seed) {
        const Schedule schedule = drawSchedule(seed, Length, 3);
        plannedOnly += schedule.m_plannedOnly ? 1 : 0;
        Millis busyUntil{ 0 };
        size_t stops = 0;
        for (const Fault &fault : schedule.m_faults) {
            kinds.insert(fault.m_kind);
            EXPECT_LE(fault.end(), schedule.m_calmFrom);
            EXPECT_TRUE(isPlanned(fault.m_kind) || !schedule.m_plannedOnly
                        || fault.m_kind == FaultKind::EndpointsPause);
            overlapping += fault.m_at < busyUntil ? 1 : 0;
            busyUntil = std::max(busyUntil, fault.end());
            stops += fault.m_kind == FaultKind::Terminate ? 1 : 0;
        }
        EXPECT_GE(stops, 1u);
    }
    EXPECT_EQ(kinds.size(), static_cast<size_t>(FaultKind::EndpointsPause) + 1);
    EXPECT_GT(overlapping, 0u);
    EXPECT_GT(plannedOnly, 0u);
}

TEST(ScheduleTest, AttemptFaultsComeBesideTheUsualOnes)
{
    std::set<FaultKind> kinds;
    std::set<bool> linksOfAllWorkers;
    for (uint64_t seed = 0; seed < 50; ++seed) {
        const Schedule schedule = drawSchedule(seed, Length, 3, Profile::Attempts);
        EXPECT_FALSE(schedule.m_plannedOnly);
        EXPECT_GT(schedule.m_hurried, 0u);
        for (const Fault &fault : schedule.m_faults) {
            kinds.insert(fault.m_kind);
            EXPECT_LE(fault.end(), schedule.m_calmFrom);
            if (fault.m_kind == FaultKind::VmLink)
                linksOfAllWorkers.insert(!fault.m_worker);
            if (fault.m_kind == FaultKind::KillTogether) {
                EXPECT_TRUE(fault.m_worker);
                EXPECT_GE(fault.m_count, 1u);
                EXPECT_LE(fault.m_count, schedule.m_vms);
            }
        }
    }
    EXPECT_EQ(kinds.size(), static_cast<size_t>(FaultKind::Last) + 1);
    EXPECT_EQ(linksOfAllWorkers.size(), 2u);
}

/// The faults of seed 5 before pauses were added.
constexpr const char *SeedFive[] = {
    "  1500 ms store's watches deaf   1 for 700 ms",
    "  2090 ms client link            2 for 1177 ms, pause",
    "  2319 ms SIGHUP, bad file       1 for 1752 ms",
    "  3757 ms SIGTERM                2 for 10500 ms",
    "  4687 ms worker link            9 for 1012 ms, reset",
    "  5525 ms key replaced           2 for 0 ms",
    "  7038 ms SIGTERM in turn        1 for 11800 ms",
    "  7933 ms SIGTERM                1 for 10500 ms",
    "  8091 ms worker leaves unsaid   5 for 5973 ms",
    "  8737 ms client link            0 for 1546 ms, half_open from the target",
    " 10241 ms route moves            0 for 0 ms",
    " 12537 ms SIGTERM                2 for 10500 ms",
    " 12704 ms worker link            10 for 1967 ms, delay 25 ms",
    " 15214 ms client link            1 for 1357 ms, delay 151 ms",
    " 15421 ms store down             2 for 610 ms",
    " 17695 ms worker crashes         7 for 3556 ms",
    " 17727 ms worker crashes         1 for 3225 ms",
    " 18755 ms store link             1 for 2484 ms, half_open to the target",
    " 22326 ms route moves            0 for 0 ms",
    " 23810 ms store silent           1 for 1055 ms",
};

/// A seed that is kept must go on showing its fault.
TEST(ScheduleTest, PausesLeaveTheOtherFaultsOfASeedAsTheyWere)
{
    const Schedule schedule = drawSchedule(5, Seconds(40), 3);
    size_t kept = 0;
    size_t pauses = 0;
    for (const Fault &fault : schedule.m_faults) {
        pauses += fault.m_kind == FaultKind::EndpointsPause ? 1 : 0;
        if (kept < std::size(SeedFive) && toString(fault) == SeedFive[kept])
            ++kept;
    }
    EXPECT_EQ(kept, std::size(SeedFive));
    EXPECT_EQ(schedule.m_faults.size(), kept + 2 * pauses);
}

bool changesConfiguration(FaultKind kind)
{
    return kind == FaultKind::Route || kind == FaultKind::Key || kind == FaultKind::Settings;
}

TEST(ScheduleTest, EveryRunPausesWorkersAcrossAChangeOfConfiguration)
{
    std::set<std::string> services;
    std::set<unsigned> shares;
    std::set<size_t> counts;
    for (uint64_t seed = 0; seed < 50; ++seed) {
        size_t pauses = 0;
        const Schedule schedule = drawSchedule(seed, ShortestRun, 3);
        for (const Fault &pause : schedule.m_faults) {
            if (pause.m_kind != FaultKind::EndpointsPause)
                continue;
            ++pauses;
            services.insert(pause.m_service);
            shares.insert(pause.m_percent);
            EXPECT_GE(pause.m_length, Millis(700));
            EXPECT_LE(pause.m_length, Millis(1'400));
            EXPECT_LE(pause.end(), schedule.m_calmFrom);
            EXPECT_TRUE(std::any_of(
                schedule.m_faults.begin(), schedule.m_faults.end(), [&](const Fault &fault) {
                    return changesConfiguration(fault.m_kind)
                           && fault.m_at >= pause.m_at - Millis(300) && fault.m_at <= pause.end();
                }));
        }
        counts.insert(pauses);
    }
    EXPECT_EQ(services, (std::set<std::string>{ "model", "plain" }));
    EXPECT_EQ(shares, (std::set<unsigned>{ 60, 100 }));
    EXPECT_EQ(counts, (std::set<size_t>{ 1, 2, 3 }));
}

TEST(ScheduleTest, ShortestRunHasRoomForAStop)
{
    EXPECT_FALSE(drawSchedule(1, ShortestRun, 2).m_faults.empty());
    EXPECT_LE(drawSchedule(1, ShortestRun, 2).m_faults.back().end(),
              drawSchedule(1, ShortestRun, 2).m_calmFrom);
}

TEST(SoakTrafficTest, PathsCarryTheWork)
{
    const PathWork work = workOf(workPath("stream", { Millis(5), 40, Millis(90) }));
    EXPECT_EQ(work.m_delay, Millis(5));
    EXPECT_EQ(work.m_events, 40u);
    EXPECT_EQ(work.m_gap, Millis(90));
    EXPECT_EQ(workOf("/report").m_events, 0u);
}

} // namespace
} // namespace stackquay::soak
