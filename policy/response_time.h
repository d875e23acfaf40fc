/// Response time of a plain service, learned from its answers.
///
/// An attempt is late once it takes much longer than answers of the same service do. The estimate
/// and the limit are those of TCP's retransmission timer (RFC 6298): a mean and a mean deviation,
/// both with exponential decay.
#pragma once

#include <optional>

#include "policy/engine_costs.h"

namespace stackquay {

class ResponseTime
{
public:
    void record(FloatMillis time);
    /// Mean response time; nothing if no answer came yet.
    std::optional<FloatMillis> mean() const { return m_mean; }
    /// Time after which an answer is late; nothing if no answer came yet.
    std::optional<FloatMillis> lateAfter() const;

private:
    std::optional<FloatMillis> m_mean;
    FloatMillis m_deviation{ 0 };
};

} // namespace stackquay
