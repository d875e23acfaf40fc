#include "policy/admission.h"

#include <algorithm>

#include <fmt/format.h>

namespace stackquay {

namespace {

/// Fixed, as it is not known when a request in progress will end.
constexpr Duration ConcurrencyRetryAfter = Seconds(1);
constexpr Duration MaxRetryAfter = Seconds(60);

double bucketSize(const CustomerUse &use)
{
    return use.m_slice.m_tokensPerSecond.value_or(0) * RateBurstSeconds;
}

void refill(CustomerUse &use, TimePoint now)
{
    const Duration passed = now - use.m_updated;
    if (passed <= Duration{})
        return;
    use.m_updated = now;
    const double rate = use.m_slice.m_tokensPerSecond.value_or(0);
    const double added = rate * std::chrono::duration<double>(passed).count();
    use.m_balance = std::min(use.m_balance + added, bucketSize(use));
}

/// Time until the balance is no longer negative.
Duration timeToRefill(const CustomerUse &use)
{
    const double rate = use.m_slice.m_tokensPerSecond.value_or(0);
    if (rate <= 0)
        return MaxRetryAfter;
    const std::chrono::duration<double> wait(-use.m_balance / rate);
    if (wait >= MaxRetryAfter)
        return MaxRetryAfter;
    return std::max<Duration>(std::chrono::ceil<Duration>(wait), Millis(1));
}

Refusal refuseConcurrency(const CustomerUse &use)
{
    return { RequestError::ConcurrencyLimited, Outcome::RefusedNotRun,
             fmt::format("The customer's limit of {} requests in progress on this node is reached.",
                         *use.m_slice.m_concurrency),
             ConcurrencyRetryAfter };
}

Refusal refuseRate(const CustomerUse &use)
{
    return { RequestError::RateLimited, Outcome::RefusedNotRun,
             fmt::format(
                 "The customer's limit of {:.0f} tokens per second on this node is reached.",
                 *use.m_slice.m_tokensPerSecond),
             timeToRefill(use) };
}

} // namespace

void setSlice(CustomerUse &use, const LimitSlice &slice, TimePoint now)
{
    refill(use, now);
    const bool wasUnlimited = !use.m_slice.m_tokensPerSecond.has_value();
    use.m_slice = slice;
    use.m_updated = std::max(use.m_updated, now);
    // The bucket of a first slice starts empty; else each new holder of a slice would add a burst
    // to the customer's total.
    use.m_balance = wasUnlimited ? 0 : std::min(use.m_balance, bucketSize(use));
}

std::optional<Refusal> admitRequest(CustomerUse &use, double tokens, TimePoint now)
{
    refill(use, now);
    const LimitSlice &slice = use.m_slice;
    if (slice.m_concurrency && use.m_inProgress >= *slice.m_concurrency)
        return refuseConcurrency(use);
    if (slice.m_tokensPerSecond && use.m_balance < 0)
        return refuseRate(use);
    use.m_inProgress += 1;
    if (slice.m_tokensPerSecond)
        use.m_balance -= tokens;
    return std::nullopt;
}

void finishRequest(CustomerUse &use, double admittedTokens, double usedTokens, TimePoint now)
{
    refill(use, now);
    use.m_inProgress -= std::min<uint32_t>(use.m_inProgress, 1);
    if (!use.m_slice.m_tokensPerSecond)
        return;
    use.m_balance = std::min(use.m_balance + admittedTokens - usedTokens, bucketSize(use));
}

} // namespace stackquay
