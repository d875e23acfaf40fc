/// Exponential backoff with full jitter.
#pragma once

#include "core/core.h"

namespace stackquay {

struct BackoffSettings {
    Duration m_initialBound = Millis(50); ///< Upper bound of the first delay.
    Duration m_maxBound = Seconds(5); ///< Upper bound of any delay.
};

/// Returns a random delay, uniform between zero and min(m_initialBound * 2^failures, m_maxBound).
/// @p failures: failures in a row before the latest one, 0 after the first.
Duration backoffDelay(const BackoffSettings &settings, unsigned failures, RandomEngine &random);

} // namespace stackquay
