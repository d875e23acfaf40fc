/// Overflow between data centres: which requests are forwarded to another data centre, and to
/// which.
///
/// Data centres gossip the wait of a new request for each model as one byte. A request is forwarded
/// only if its predicted time in the other data centre, including the round trip, meets its
/// deadline and is clearly shorter than in its own. The nearest data centre of the own region is
/// preferred. The forwarded fraction grows and shrinks in small steps between two thresholds, so
/// that data centres with outdated reports, or after a partition has healed, do not send load back
/// and forth. A request is forwarded at most once.
#pragma once

#include <optional>
#include <vector>

#include "core/core.h"

namespace stackquay {

struct OverflowSettings {
    /// Own wait above which the forwarded fraction grows, unless the wait is already falling. The
    /// effect of a step is delayed, so growing until the wait is low would forward far too much.
    Duration m_growAboveWait = Seconds(2);
    Duration m_shrinkBelowWait = Millis(500); ///< Own wait below which the fraction shrinks.
    /// Data centres with a longer wait receive only requests that would miss their deadline here.
    /// Less than m_growAboveWait, so that a data centre that receives forwarded load does not start
    /// to forward its own.
    Duration m_maxRemoteWait = Seconds(1);
    Duration m_stepInterval = Seconds(1);
    double m_growthStep = 0.05; ///< Added to the fraction in a step.
    double m_shrinkStep = 0.05; ///< Subtracted from the fraction in a step.
    double m_maxRemoteTimeShare = 0.7; ///< Of the predicted time here.
    double m_predictionFactor = 1.2; ///< Predicted times are multiplied by this before the
                                     ///< comparison with a deadline.
    Duration m_maxReportAge = Seconds(10); ///< Older reports are ignored.
};

/// The wait of a new request on a logarithmic scale: 19% a level, from 1 ms to hours. 0: no wait.
using WaitLevel = uint8_t;
constexpr WaitLevel NoCapacityLevel = 255; ///< Accepts no forwarded requests.

/// Rounds up, so that a wait is never reported as shorter than it is.
WaitLevel toWaitLevel(Duration wait);
/// The longest wait of @p level, at most 24 hours.
Duration fromWaitLevel(WaitLevel level);

/// Another data centre, as last reported.
struct OverflowCandidate {
    DataCentreId m_dataCentre;
    bool m_sameRegion = false;
    Duration m_oneWayDelay{};
    WaitLevel m_wait = NoCapacityLevel;
    Duration m_age{}; ///< Age of the report.
    bool m_reachable = true;
};

/// State of one model on one node.
struct OverflowState {
    double m_fraction = 0; ///< Fraction of requests to forward where that is faster.
    TimePoint m_lastStep{};
    Duration m_lastWait{}; ///< Own wait at the last step.
};

/// A request to be routed.
struct OverflowQuery {
    bool m_forwarded = false; ///< It comes from another data centre.
    Duration m_ownWait{}; ///< Predicted wait in this data centre.
    Duration m_runTime{}; ///< Predicted time from its start to its end, in any data centre.
    TimePoint m_deadline{};
};

/// Adapts the forwarded fraction to @p ownWait. To be called for each request or at least every
/// m_stepInterval. The fraction is reset to 0 while no candidate is usable, so that it starts small
/// after a partition heals.
void stepOverflow(const OverflowSettings &settings, OverflowState &state, Duration ownWait,
                  const std::vector<OverflowCandidate> &candidates, TimePoint now);

/// The data centre to forward the request to; no value: this one. A request that would miss its
/// deadline here is forwarded regardless of the fraction if another data centre can meet it.
std::optional<DataCentreId> chooseOverflow(const OverflowSettings &settings,
                                           const OverflowState &state, const OverflowQuery &query,
                                           const std::vector<OverflowCandidate> &candidates,
                                           TimePoint now, RandomEngine &random);

} // namespace stackquay
