#include "policy/limit_slices.h"

#include <algorithm>
#include <cmath>

namespace stackquay {

namespace {

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Duration::period>(duration) * factor);
}

/// How long after its start a process must not use its fallback amount: longer than a steward
/// relies on the fallback cap of an earlier process, by any clock.
Duration fallbackDelay(const SliceSettings &settings)
{
    return scaled(settings.m_fallbackCap, 1 + 2 * settings.m_clockDrift);
}

bool mayUseFallback(const SliceHolder &holder, TimePoint now)
{
    return now >= holder.m_started + fallbackDelay(holder.m_settings);
}

bool holdsSlice(const SliceHolder &holder, TimePoint now)
{
    return holder.m_heldNumber != 0 && now < holder.m_expiry;
}

} // namespace

SliceLimits makeSliceLimits(const LimitAmount &total, double reserved, uint32_t maxNodes)
{
    const uint32_t nodes = std::max<uint32_t>(maxNodes, 1);
    const double part = std::clamp(reserved, 0.0, 1.0) / nodes;
    return { total, total * part, nodes };
}

LimitAmount usableAmount(const SliceHolder &holder, TimePoint now)
{
    if (holdsSlice(holder, now))
        return holder.m_slice;
    if (!mayUseFallback(holder, now))
        return {};
    if (now < holder.m_fallbackCappedUntil)
        return componentMin(holder.m_slice, holder.m_fallback);
    return holder.m_fallback;
}

std::optional<TimePoint> nextSliceChange(const SliceHolder &holder, TimePoint now)
{
    if (holdsSlice(holder, now))
        return holder.m_expiry;
    const TimePoint fallbackAllowedAt = holder.m_started + fallbackDelay(holder.m_settings);
    for (const TimePoint change : { fallbackAllowedAt, holder.m_fallbackCappedUntil }) {
        if (now < change)
            return change;
    }
    return std::nullopt;
}

SliceRequest makeSliceRequest(SliceHolder &holder, const LimitAmount &demand,
                              const LimitAmount &inUse, TimePoint now)
{
    holder.m_lastNumber += 1;
    holder.m_recentRequests[holder.m_lastNumber % SliceHolder::RecentRequestCount] = {
        holder.m_lastNumber, now
    };
    SliceRequest request;
    request.m_customer = holder.m_customer;
    request.m_node = holder.m_node;
    request.m_number = holder.m_lastNumber;
    request.m_heldNumber = holdsSlice(holder, now) ? holder.m_heldNumber : 0;
    request.m_fallbackAllowed = mayUseFallback(holder, now);
    request.m_demand = demand;
    request.m_inUse = inUse;
    request.m_echoedTerm = holder.m_echoedTerm;
    request.m_echoedTimestamp = holder.m_echoedTimestamp;
    return request;
}

bool receiveGrant(SliceHolder &holder, const SliceGrant &grant, TimePoint now)
{
    if (grant.m_node != holder.m_node || grant.m_customer != holder.m_customer)
        return false;
    if (grant.m_number <= holder.m_heldNumber)
        return false;
    const SliceHolder::SentRequest &request =
        holder.m_recentRequests[grant.m_number % SliceHolder::RecentRequestCount];
    if (request.m_number != grant.m_number)
        return false;
    holder.m_echoedTerm = grant.m_term;
    holder.m_echoedTimestamp = grant.m_timestamp;
    const TimePoint expiry = request.m_sent + grant.m_ttl;
    if (now >= expiry)
        return false;
    holder.m_heldNumber = grant.m_number;
    holder.m_slice = grant.m_amount;
    holder.m_expiry = expiry;
    holder.m_fallbackCappedUntil =
        std::max(holder.m_fallbackCappedUntil, request.m_sent + grant.m_fallbackCap);
    return true;
}

LimitSlice toLimitSlice(const LimitAmount &usable, const LimitAmount &declared)
{
    LimitSlice slice;
    if (declared.m_tokensPerSecond > 0)
        slice.m_tokensPerSecond = usable.m_tokensPerSecond;
    if (declared.m_concurrency > 0)
        slice.m_concurrency = static_cast<uint32_t>(std::floor(usable.m_concurrency));
    return slice;
}

} // namespace stackquay
