#include "policy/deadline.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace stackquay {

namespace {

constexpr double LearningRate = 0.05; ///< Weight of a new sample in the moving average.
constexpr double MaxCorrectionFactor = 10;
/// Waits with shorter predictions are ignored: their ratios are mostly noise.
constexpr Duration MinLearnedPrediction = Millis(200);

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Duration::period>(duration) * factor);
}

} // namespace

Result<Millis> parseDeadline(std::string_view header)
{
    int64_t value = 0;
    const char *end = header.data() + header.size();
    const auto [parsed, error] = std::from_chars(header.data(), end, value);
    if (error != std::errc{} || parsed != end || value <= 0)
        return makeError(ErrorCode::InvalidArgument,
                         "Stackquay-Deadline must be whole milliseconds above zero.");
    return Millis(value);
}

TimePoint requestDeadline(const DeadlineSettings &settings, std::optional<Millis> requested,
                          LengthClass lengthClass, TimePoint arrived)
{
    const auto last = settings.m_defaultByClass.size() - 1;
    const auto index = std::min(static_cast<size_t>(lengthClass), last);
    const Millis allowed = requested.value_or(settings.m_defaultByClass[index]);
    return arrived + std::min(allowed, settings.m_maxTimeout);
}

Duration timeLeft(TimePoint deadline, TimePoint now)
{
    return std::max(deadline - now, Duration{});
}

void updateWaitCorrection(WaitCorrection &correction, Duration predicted, Duration waited)
{
    if (predicted < MinLearnedPrediction)
        return;
    const double ratio =
        std::chrono::duration<double>(waited) / std::chrono::duration<double>(predicted);
    const double bounded = std::clamp(ratio, 0.0, MaxCorrectionFactor);
    correction.m_factor += LearningRate * (bounded - correction.m_factor);
    correction.m_factor = std::max(correction.m_factor, 1.0);
}

Duration correctedWait(const WaitCorrection &correction, Duration predicted)
{
    return scaled(predicted, correction.m_factor);
}

TimePoint latestStart(const DeadlineSettings &settings, TimePoint deadline, Duration run)
{
    return deadline - scaled(run, settings.m_safetyFactor);
}

Duration jitteredRetryAfter(const DeadlineSettings &settings, Duration missing,
                            RandomEngine &random)
{
    const Duration shortest = settings.m_minRetryAfter;
    const Duration longest = settings.m_maxRetryAfter;
    const Duration base = std::clamp(missing, shortest, longest);
    std::uniform_real_distribution<double> factor(1, 2);
    return scaled(base, factor(random));
}

std::optional<Refusal> refuseIfDeadlineUnmeetable(const DeadlineSettings &settings,
                                                  TimePoint deadline,
                                                  const TimePrediction &prediction, TimePoint now,
                                                  RandomEngine &random)
{
    const Duration left = timeLeft(deadline, now);
    const Duration needed = scaled(prediction.m_wait + prediction.m_run, settings.m_safetyFactor);
    if (left > Duration{} && needed <= left)
        return std::nullopt;
    // If the run alone is too long for the deadline, a retry does not help.
    const bool waitingHelps =
        left > Duration{} && scaled(prediction.m_run, settings.m_safetyFactor) <= left;
    const Duration retryAfter =
        waitingHelps ? jitteredRetryAfter(settings, needed - left, random) : Duration{};
    const auto leftMs = std::chrono::floor<Millis>(left);
    const auto neededMs = std::chrono::ceil<Millis>(needed);
    return Refusal{ RequestError::DeadlineUnmeetable, Outcome::RefusedNotRun,
                    fmt::format("The request needs about {} ms; its deadline is in {} ms.",
                                neededMs.count(), leftMs.count()),
                    retryAfter };
}

} // namespace stackquay
