/// A token bucket whose takers queue: it can go into debt, and tells how long to wait.
#pragma once

#include <optional>

#include "core/core.h"

namespace stackquay {

struct TokenBucket {
    double m_perSecond = 0; ///< Tokens that come back a second.
    double m_burst = 0; ///< Most tokens kept.
    double m_tokens = 0; ///< Negative while takers wait.
    TimePoint m_updated{};
};

/// A full bucket.
TokenBucket makeTokenBucket(double perSecond, double burst, TimePoint now);

/// Takes a token and returns how long its taker has to wait before using it. Takes none, and
/// returns nothing, if that would be more than @p maxWait.
std::optional<Duration> takeToken(TokenBucket &bucket, TimePoint now, Duration maxWait);

} // namespace stackquay
