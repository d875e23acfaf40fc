/// Deadlines of requests, which are set once at admission, and the check whether a request can meet
/// its deadline.
#pragma once

#include <array>
#include <optional>
#include <string_view>

#include "core/core.h"
#include "policy/length_class.h"
#include "policy/outcome.h"

namespace stackquay {

struct DeadlineSettings {
    /// Time from arrival to the deadline if the caller sets none, by length class.
    std::array<Millis, static_cast<size_t>(LengthClass::Count)> m_defaultByClass = {
        Millis(30'000), Millis(60'000), Millis(180'000), Millis(600'000)
    };
    Millis m_maxTimeout{ 900'000 }; ///< Max time from arrival to the deadline.
    /// Predicted times are multiplied by this before they are compared with the deadline.
    double m_safetyFactor = 1.1;
    Millis m_minRetryAfter{ 1'000 };
    Millis m_maxRetryAfter{ 60'000 };
};

/// Parses the value of the header Stackquay-Deadline: milliseconds from arrival, a whole number
/// above zero. Any other text gives ErrorCode::InvalidArgument.
Result<Millis> parseDeadline(std::string_view header);

/// The deadline of a request that arrived at @p arrived: after @p requested if the caller set it,
/// else after the default of its length class; in both cases at most after m_maxTimeout.
TimePoint requestDeadline(const DeadlineSettings &settings, std::optional<Millis> requested,
                          LengthClass lengthClass, TimePoint arrived);

/// Time until the deadline; zero when it has passed.
Duration timeLeft(TimePoint deadline, TimePoint now);

/// Predicted times of a request if it is accepted now.
struct TimePrediction {
    Duration m_wait{}; ///< Until an endpoint starts the request.
    Duration m_run{}; ///< From its start to the end of its answer.
};

/// Ratio of actual to predicted waits of one customer's requests. Predictions are too short as they
/// do not include requests that arrive later and are served earlier.
struct WaitCorrection {
    double m_factor = 1; ///< Moving average of actual / predicted wait, at least 1.
};

/// Updates the correction by a request that waited for @p waited until it started or was abandoned.
void updateWaitCorrection(WaitCorrection &correction, Duration predicted, Duration waited);
/// The predicted wait multiplied by the correction factor.
Duration correctedWait(const WaitCorrection &correction, Duration predicted);

/// Latest time to start a run of this predicted length so that it meets the deadline.
TimePoint latestStart(const DeadlineSettings &settings, TimePoint deadline, Duration run);

/// Retry-After of a refused request: one to two times @p missing, at random, so that refused
/// callers do not retry at the same time. @p missing is first clamped to the limits of the
/// settings.
Duration jitteredRetryAfter(const DeadlineSettings &settings, Duration missing,
                            RandomEngine &random);

/// Returns a refusal if the request cannot meet its deadline, no value if it can. The refusal's
/// retryAfter is zero if the deadline has passed or the run alone takes longer than the time left.
std::optional<Refusal> refuseIfDeadlineUnmeetable(const DeadlineSettings &settings,
                                                  TimePoint deadline,
                                                  const TimePrediction &prediction, TimePoint now,
                                                  RandomEngine &random);

} // namespace stackquay
