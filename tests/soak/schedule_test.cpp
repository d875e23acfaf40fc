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
            EXPECT_TRUE(isPlanned(fault.m_kind) || !schedule.m_plannedOnly);
            overlapping += fault.m_at < busyUntil ? 1 : 0;
            busyUntil = std::max(busyUntil, fault.end());
            stops += fault.m_kind == FaultKind::Terminate ? 1 : 0;
        }
        EXPECT_GE(stops, 1u);
    }
    EXPECT_EQ(kinds.size(), static_cast<size_t>(FaultKind::Last) + 1);
    EXPECT_GT(overlapping, 0u);
    EXPECT_GT(plannedOnly, 0u);
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
