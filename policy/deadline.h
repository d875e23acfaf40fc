/// Deadlines: fixed once at admission, and the decision whether a request can
/// meet its own.
#pragma once

#include <array>
#include <optional>
#include <string_view>

#include "core/core.h"
#include "policy/length_class.h"
#include "policy/outcome.h"

namespace stackquay {

struct DeadlineSettings {
    /// Time from arrival when the caller names none, by length class.
    std::array<Millis, static_cast<size_t>(LengthClass::Count)> m_byClass = {
        Millis(30'000), Millis(60'000), Millis(180'000), Millis(600'000)
    };
    Millis m_longest{ 900'000 }; ///< A longer wish of the caller is cut to this.
    /// A prediction counts this many times when it is held against the deadline.
    double m_safety = 1.1;
    Millis m_shortestRetryAfter{ 1'000 };
    Millis m_longestRetryAfter{ 60'000 };
};

/// Parses the header Stackquay-Deadline: whole milliseconds from arrival, above
/// zero.
Result<Millis> parseDeadline(std::string_view header);

/// The deadline of a request that arrived at @p arrived.
TimePoint requestDeadline(const DeadlineSettings &settings, std::optional<Millis> wished,
                          LengthClass lengthClass, TimePoint arrived);

/// Time until the deadline; zero when it has passed.
Duration timeLeft(TimePoint deadline, TimePoint now);

/// What a request is expected to take if it is accepted now.
struct TimePrediction {
    Duration m_wait{}; ///< Until an endpoint begins it.
    Duration m_run{}; ///< From then to the end of its answer.
};

/// How much longer than predicted requests really wait, learned from those that
/// began or gave up: a prediction cannot foresee what comes later and goes
/// first. Kept for each customer.
struct WaitCorrection {
    double m_factor = 1; ///< Real wait / predicted wait, never below 1.
};

/// A request waited this long, until it began or was given up.
void learnWait(WaitCorrection &correction, Duration predicted, Duration waited);
Duration correctedWait(const WaitCorrection &correction, Duration predicted);

/// Last time at which beginning a run of this length makes sense.
TimePoint latestStart(const DeadlineSettings &settings, TimePoint deadline, Duration run);

/// When to ask again: the time that is missing, spread at random up to twice of
/// it, so that refused callers do not come back together.
Duration spreadRetryAfter(const DeadlineSettings &settings, Duration missing, RandomEngine &random);

/// Refuses a request that cannot meet its deadline; it has not run. No value:
/// it can. Without advice to ask again if the run alone is longer than the time
/// left.
std::optional<Refusal> refuseIfLate(const DeadlineSettings &settings, TimePoint deadline,
                                    const TimePrediction &prediction, TimePoint now,
                                    RandomEngine &random);

} // namespace stackquay
