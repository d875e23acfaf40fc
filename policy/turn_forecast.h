/// Predicts when a waiting request may start.
///
/// A queue of waiting requests advances as work in progress is completed: prefill time for long
/// prompts, streams for strict ones. The time until the turn of a request follows from the work
/// that has to be completed before it, and from the rate at which the engines complete work. The
/// rate is learned while requests wait, because engines that are not kept busy show less than they
/// can do.
///
/// All VMs of a cell have the same queue and see the same completions, so their predictions are
/// nearly equal without further messages.
#pragma once

#include "policy/dispatch_queue.h"
#include "policy/return_schedule.h"

namespace stackquay {

/// What has to be completed before a request may start, and the engines that do it. Work is prefill
/// time of one engine.
struct TurnLoad {
    double m_inProgressMs = 0; ///< Started and not yet completed.
    double m_aheadMs = 0; ///< Of the requests that start first.
    /// Further requests start while less than this is in progress per engine.
    double m_limitMsPerEngine = 0;
    double m_engines = 1; ///< That serve the queue now.
    /// That will serve it after m_changeTime, as far as the load of the other requests shows.
    double m_expectedEngines = 1;
    Duration m_changeTime{};
};

/// Learns the fraction of the engines' time in which they do the work of a queue while the limit is
/// reached or requests wait.
///
/// Requests also wait below the limit, while no engine has the memory for the next one. Without
/// that time, the rate was overestimated late in phases of long prompts.
class CompletionRate
{
public:
    /// Records work that was completed at @p now.
    void recordCompleted(double work, TimePoint now);
    /// Records the present load, with the work of all requests that still wait as work ahead. To be
    /// called after the requests have polled, so that those that start at once do not count as
    /// waiting.
    void recordLoad(const TurnLoad &load, TimePoint now);
    /// Fraction of the engines' time, between MinRateShare and 1.
    double share() const;

private:
    void advance(TimePoint now);

    bool m_saturated = false;
    double m_engines = 0;
    TimePoint m_advancedTo{};
    // Sums with exponential decay, over the time in which requests waited.
    double m_completed = 0;
    double m_possible = 0;
};

/// Share that is assumed until requests have waited: engines spend about half of their time on
/// decoding.
constexpr double InitialRateShare = 0.5;
constexpr double MinRateShare = 0.05;
/// Time constant of the learned rate. It is shorter than a phase of load, and long enough for
/// several completions.
constexpr Millis RateMemory{ 3'000 };

/// Time until the turn of a request with @p load before it; @p rateShare as of CompletionRate.
Duration predictTurn(const TurnLoad &load, double rateShare);

/// The same with @p places: those that are due before the turn are work ahead of it, too.
Duration forecastTurn(const TurnLoad &load, const ReturnSchedule &places, double rateShare,
                      TimePoint now);

/// Learns by how much turns come later than predicted: tracks a quantile of the error.
class TurnError
{
public:
    /// Records a request that was predicted to start after @p predicted and started after @p
    /// actual.
    void record(Duration predicted, Duration actual);
    /// Added to a prediction, the turn comes by then for MarginQuantile of the requests.
    Duration margin() const { return m_margin; }

private:
    Duration m_margin{};
};

/// Of the requests that wait, at most one in twenty may be refused later, so this part of them has
/// to start in time.
constexpr double MarginQuantile = 0.95;

} // namespace stackquay
