/// Predicts when a waiting request may start.
///
/// A request starts once those before it in the queue have started. The rate at which the engines
/// take work from the queue is learned from the requests that wait and then start. It includes all
/// that delays a start: prefill in progress, memory, and the gap limits of streams.
///
/// All VMs of a cell have the same queue and see the same starts, so their predictions are nearly
/// equal without further messages.
#pragma once

#include "policy/dispatch_queue.h"
#include "policy/return_schedule.h"

namespace stackquay {

/// The work before a request in the queue, and the servers that take it: engines for prefill, slots
/// for strict streams. Work is time of one server.
struct TurnLoad {
    double m_aheadMs = 0; ///< Of the requests that start first.
    /// Least time until requests may start at all, because the work in progress is above the limit.
    Duration m_blockedFor{};
    double m_servers = 1; ///< That serve the queue now.
    /// That will serve it after m_changeTime, as far as the load of the other requests shows.
    double m_expectedServers = 1;
    Duration m_changeTime{};
};

/// Learns how much of the servers' time the requests of a queue get while some wait.
class StartRate
{
public:
    /// Records the start of a request that had waited.
    void recordStart(double workMs, TimePoint now);
    /// Records the present servers, and whether requests wait.
    void recordLoad(double servers, bool waiting, TimePoint now);
    /// Work taken in a period, as a fraction of the servers' time; at least MinRateShare.
    double share() const;

private:
    void advance(TimePoint now);

    bool m_waiting = false;
    double m_servers = 0;
    TimePoint m_advancedTo{};
    // Sums with exponential decay, over the time in which requests waited.
    double m_started = 0;
    double m_possible = 0;
};

/// Share that is assumed until requests have waited: engines spend about half of their time on
/// decoding.
constexpr double InitialRateShare = 0.5;
constexpr double MinRateShare = 0.05;
/// Time constant of the learned rate. It is shorter than a phase of load, and long enough for
/// several completions.
constexpr Millis RateMemory{ 3'000 };

/// Time until the turn of a request with @p load before it; @p rateShare as of StartRate.
Duration predictTurn(const TurnLoad &load, double rateShare);

/// The same with @p places: those that are due before the turn are work ahead of it, too.
Duration forecastTurn(const TurnLoad &load, const ReturnSchedule &places, double rateShare,
                      TimePoint now);

/// Learns how many times as late as predicted turns come: tracks a quantile of the ratio.
class TurnError
{
public:
    /// Records a request that was predicted to start after @p predicted and started after @p
    /// actual.
    void record(Duration predicted, Duration actual);
    /// A turn that is predicted to come after @p turn comes by then for LatestQuantile of the
    /// requests.
    Duration latest(Duration turn) const;
    double factor() const { return m_factor; }

private:
    double m_factor = 1;
};

/// Of the requests that wait, at most one in twenty may be refused later, so this part of them has
/// to start in time.
constexpr double LatestQuantile = 0.95;

} // namespace stackquay
