/// Overflow between data centres: which requests go to another one, and to
/// which.
///
/// Data centres gossip how long a new request of a model would wait, as one
/// byte. A request goes elsewhere only if its predicted time there, with the
/// way there and back, meets its deadline and beats the own data centre
/// clearly; the nearest of the own region goes first, then others. How large a
/// fraction goes elsewhere grows and shrinks in small steps between two
/// thresholds, so that data centres that see each other's old reports, or see
/// each other again after a partition, do not throw load back and forth. A
/// request goes elsewhere once at most.
#pragma once

#include <optional>
#include <vector>

#include "core/core.h"

namespace stackquay {

struct OverflowSettings {
    /// Own wait above which the fraction grows, as long as the wait does not fall
    /// by itself: growth until it has fallen would send away far too much, as the
    /// effect comes late.
    Duration m_begin = Seconds(2);
    Duration m_end = Millis(500); ///< Own wait below which it shrinks.
    /// Elsewhere, a longer wait takes only requests that would be late here;
    /// below m_begin, so that nobody sends on what others send to it.
    Duration m_room = Seconds(1);
    Duration m_stepEvery = Seconds(1);
    double m_growth = 0.05; ///< Added to the fraction in each step.
    double m_shrink = 0.05; ///< Taken from it.
    double m_advantage = 0.7; ///< Elsewhere at most this fraction of the own predicted time.
    double m_safety = 1.2; ///< A prediction counts this many times against the deadline.
    Duration m_longestAge = Seconds(10); ///< Older reports are not used.
};

/// The wait of a new request as one byte: about 19% a step, from 1 ms to hours.
using WaitLevel = uint8_t;
constexpr WaitLevel NoCapacityLevel = 255; ///< Takes nothing from elsewhere.

/// Rounds up, so that a wait never looks shorter than it is.
WaitLevel toWaitLevel(Duration wait);
Duration fromWaitLevel(WaitLevel level);

/// Another data centre, as last heard.
struct OverflowCandidate {
    DataCentreId m_dataCentre;
    bool m_sameRegion = false;
    Duration m_oneWayDelay{};
    WaitLevel m_wait = NoCapacityLevel;
    Duration m_age{}; ///< Of the report.
    bool m_reachable = true;
};

/// One model's state on one node.
struct OverflowState {
    double m_fraction = 0; ///< Of requests that go elsewhere if it helps.
    TimePoint m_lastStep{};
    Duration m_lastWait{}; ///< Own wait at the last step.
};

/// One request.
struct OverflowQuestion {
    bool m_cameFromElsewhere = false;
    Duration m_ownWait{};
    Duration m_run{}; ///< Predicted time from its beginning to its end, anywhere.
    TimePoint m_deadline{};
};

/// To be called for each request or at least every m_stepEvery. While no
/// candidate is usable the fraction falls to nothing, so that healing begins
/// with a small one.
void stepOverflow(const OverflowSettings &settings, OverflowState &state, Duration ownWait,
                  const std::vector<OverflowCandidate> &candidates, TimePoint now);

/// Where the request should go; no value: the own data centre. A request that
/// cannot meet its deadline in the own one goes elsewhere whatever the
/// fraction, if it can be met there.
std::optional<DataCentreId> chooseOverflow(const OverflowSettings &settings,
                                           const OverflowState &state,
                                           const OverflowQuestion &question,
                                           const std::vector<OverflowCandidate> &candidates,
                                           TimePoint now, RandomEngine &random);

} // namespace stackquay
