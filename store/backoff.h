/// Exponential backoff with full jitter.
#pragma once

#include "core/core.h"

namespace stackquay {

struct BackoffSettings {
    Duration m_first = Millis(50); ///< Longest wait after the first failure.
    Duration m_most = Seconds(5); ///< Longest wait after any.
};

/// A wait, evenly distributed between zero and first * 2^failures, at most m_most. @p failures
/// counts those before this one.
Duration backoffDelay(const BackoffSettings &settings, unsigned failures, RandomEngine &random);

} // namespace stackquay
