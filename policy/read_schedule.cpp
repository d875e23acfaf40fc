#include "policy/read_schedule.h"

#include <algorithm>

namespace stackquay {

namespace {

/// Parts of the bound, in percent. A store watcher's read may take as long as the difference
/// between its latest age and that of the first turn without causing another VM's read.
constexpr int WatcherAgePercent = 43;
constexpr int WatcherJitterPercent = 6;
constexpr int FirstTurnPercent = 67;
constexpr int TurnStepPercent = 8;
constexpr int OthersAgePercent = 100;
constexpr int OthersJitterPercent = 45;

} // namespace

ReadSchedule readSchedule(Duration bound)
{
    const Duration limited = std::clamp<Duration>(bound, MinReadBound, MaxReadBound);
    const auto part = [limited](int percent) { return limited * percent / 100; };
    return { part(WatcherAgePercent), part(WatcherJitterPercent), part(FirstTurnPercent),
             part(TurnStepPercent),   part(OthersAgePercent),     part(OthersJitterPercent) };
}

Duration turnAge(const ReadSchedule &schedule, unsigned turn)
{
    return schedule.m_firstTurnAge + schedule.m_turnStep * turn;
}

Duration knownAfterWatcherLoss(const ReadSchedule &schedule, unsigned turn)
{
    return turnAge(schedule, turn) + ReadTime + SpreadTime;
}

Duration knownAfterSilentWatch(const ReadSchedule &schedule)
{
    return schedule.m_watcherAge + schedule.m_watcherJitter + WatchDelay + ReadTime + SpreadTime;
}

} // namespace stackquay
