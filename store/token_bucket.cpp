#include "store/token_bucket.h"

#include <algorithm>

namespace stackquay {

namespace {

using FloatSeconds = std::chrono::duration<double>;

void refill(TokenBucket &bucket, TimePoint now)
{
    if (now <= bucket.m_updated)
        return;
    const double seconds = FloatSeconds(now - bucket.m_updated).count();
    bucket.m_tokens = std::min(bucket.m_burst, bucket.m_tokens + seconds * bucket.m_perSecond);
    bucket.m_updated = now;
}

} // namespace

TokenBucket makeTokenBucket(double perSecond, double burst, TimePoint now)
{
    return { perSecond, burst, burst, now };
}

std::optional<Duration> takeToken(TokenBucket &bucket, TimePoint now, Duration maxWait)
{
    refill(bucket, now);
    const double debt = 1 - bucket.m_tokens;
    if (debt > 0 && bucket.m_perSecond <= 0)
        return std::nullopt;
    const double seconds = debt > 0 ? debt / bucket.m_perSecond : 0;
    const auto wait = std::chrono::ceil<Duration>(FloatSeconds(seconds));
    if (wait > maxWait)
        return std::nullopt;
    bucket.m_tokens -= 1;
    return wait;
}

} // namespace stackquay
