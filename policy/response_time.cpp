#include "policy/response_time.h"

#include <cmath>

namespace stackquay {

namespace {

// As of RFC 6298.
constexpr double MeanGain = 1.0 / 8;
constexpr double DeviationGain = 1.0 / 4;
constexpr double Deviations = 4;

} // namespace

void ResponseTime::record(FloatMillis time)
{
    if (!m_mean) {
        m_mean = time;
        m_deviation = time / 2;
        return;
    }
    const FloatMillis error(std::abs((time - *m_mean).count()));
    m_deviation += (error - m_deviation) * DeviationGain;
    *m_mean += (time - *m_mean) * MeanGain;
}

std::optional<FloatMillis> ResponseTime::lateAfter() const
{
    if (!m_mean)
        return std::nullopt;
    return *m_mean + m_deviation * Deviations;
}

} // namespace stackquay
