/// A token bucket for the platform's call rates.
#pragma once

#include <algorithm>

#include "core/core.h"

namespace stackquay::standin {

struct RateBucket {
    double m_perSecond = 0; ///< Calls a second; 0 is without limit.
    double m_burst = 0;
    double m_tokens = 0;
    TimePoint m_filledAt{};
};

inline RateBucket makeRateBucket(double perSecond, TimePoint now)
{
    const double burst = std::max(perSecond, 1.0);
    return { perSecond, burst, burst, now };
}

/// Takes one call's token; false if the rate is used up.
inline bool takeToken(RateBucket &bucket, TimePoint now)
{
    if (bucket.m_perSecond <= 0)
        return true;
    const std::chrono::duration<double> passed = now - bucket.m_filledAt;
    bucket.m_filledAt = now;
    bucket.m_tokens =
        std::min(bucket.m_burst, bucket.m_tokens + passed.count() * bucket.m_perSecond);
    if (bucket.m_tokens < 1)
        return false;
    bucket.m_tokens -= 1;
    return true;
}

} // namespace stackquay::standin
