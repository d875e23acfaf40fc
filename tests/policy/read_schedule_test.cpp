#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

// As the users' deployments set them for configurations and leaving endpoints.
constexpr Millis Bounds[] = { Millis(2'000), Millis(3'000), Millis(4'000), Millis(5'000) };
/// For the delays of a busy VM with a fraction of a core.
constexpr Millis Reserve{ 100 };

// The failure: the intervals of the VMs that read the store one after the other added up to more
// than the bound, so that VMs whose store watcher was lost used removed endpoints and old routes.
TEST(ReadScheduleTest, AllVmsKnowAChangeInTimeAfterTheLossOfTheWatcher)
{
    for (const Millis bound : Bounds) {
        const ReadSchedule schedule = readSchedule(bound);
        for (unsigned turn = 0; turn < ReadTurns; ++turn)
            EXPECT_LE(knownAfterWatcherLoss(schedule, turn) + Reserve, bound) << turn;
        EXPECT_LE(knownAfterSilentWatch(schedule) + Reserve, bound);
    }
}

// A watcher in good health must not be overtaken: the other VMs list everything in a handover, and
// each read costs calls to the store.
TEST(ReadScheduleTest, WatcherReadsBeforeAnyOtherVm)
{
    constexpr Millis SlowRead{ 300 }; // A quiet store that is slow is no loss.
    constexpr Millis AssumedTransit{ 50 };
    for (const Millis bound : Bounds) {
        const ReadSchedule schedule = readSchedule(bound);
        EXPECT_LT(schedule.m_watcherAge + schedule.m_watcherJitter + SlowRead + AssumedTransit,
                  turnAge(schedule, 0));
        EXPECT_LT(turnAge(schedule, ReadTurns - 1), schedule.m_othersAge);
    }
}

// A read takes less than a turn, so mostly only the first VM calls the store.
TEST(ReadScheduleTest, TurnsLeaveTimeForARead)
{
    for (const Millis bound : Bounds)
        EXPECT_GE(readSchedule(bound).m_turnStep, ReadTime);
}

// A bound of a minute must not let the proofs become so old that a gap between them looks like an
// outage of the store; a bound of some milliseconds must not use up the rate of the store.
TEST(ReadScheduleTest, ExtremeBoundsAreLimited)
{
    EXPECT_EQ(turnAge(readSchedule(Seconds(60)), 0), turnAge(readSchedule(MaxReadBound), 0));
    EXPECT_EQ(turnAge(readSchedule(Millis(1)), 0), turnAge(readSchedule(MinReadBound), 0));
    EXPECT_LT(turnAge(readSchedule(Seconds(60)), ReadTurns - 1) + ReadTime, MaxReadBound);
}

} // namespace
} // namespace stackquay
