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

/// Longer than any earlier process's promises can be relied on, by any clock.
Duration settlingTime(const SliceSettings &settings)
{
    return scaled(settings.m_quiet, 1 + 2 * settings.m_clockDrift);
}

bool isSettled(const SliceHolder &holder, TimePoint now)
{
    return now >= holder.m_started + settlingTime(holder.m_settings);
}

bool holdsSlice(const SliceHolder &holder, TimePoint now)
{
    return holder.m_held != 0 && now < holder.m_expiry;
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
    if (!isSettled(holder, now))
        return {};
    if (now < holder.m_quietUntil)
        return smallest(holder.m_slice, holder.m_fallback);
    return holder.m_fallback;
}

std::optional<TimePoint> nextSliceChange(const SliceHolder &holder, TimePoint now)
{
    if (holdsSlice(holder, now))
        return holder.m_expiry;
    const TimePoint settled = holder.m_started + settlingTime(holder.m_settings);
    for (const TimePoint change : { settled, holder.m_quietUntil }) {
        if (now < change)
            return change;
    }
    return std::nullopt;
}

SliceAsk makeAsk(SliceHolder &holder, const LimitAmount &demand, const LimitAmount &inUse,
                 TimePoint now)
{
    holder.m_lastNumber += 1;
    holder.m_asks[holder.m_lastNumber % SliceHolder::RememberedAsks] = { holder.m_lastNumber, now };
    SliceAsk ask;
    ask.m_customer = holder.m_customer;
    ask.m_node = holder.m_node;
    ask.m_number = holder.m_lastNumber;
    ask.m_held = holdsSlice(holder, now) ? holder.m_held : 0;
    ask.m_settled = isSettled(holder, now);
    ask.m_demand = demand;
    ask.m_inUse = inUse;
    ask.m_echoTerm = holder.m_echoTerm;
    ask.m_echo = holder.m_echo;
    return ask;
}

bool receiveGrant(SliceHolder &holder, const SliceGrant &grant, TimePoint now)
{
    if (grant.m_node != holder.m_node || grant.m_customer != holder.m_customer)
        return false;
    if (grant.m_number <= holder.m_held)
        return false;
    const SliceHolder::SentAsk &ask = holder.m_asks[grant.m_number % SliceHolder::RememberedAsks];
    if (ask.m_number != grant.m_number)
        return false;
    holder.m_echoTerm = grant.m_term;
    holder.m_echo = grant.m_stamp;
    const TimePoint expiry = ask.m_sent + grant.m_ttl;
    if (now >= expiry)
        return false;
    holder.m_held = grant.m_number;
    holder.m_slice = grant.m_amount;
    holder.m_expiry = expiry;
    holder.m_quietUntil = std::max(holder.m_quietUntil, ask.m_sent + grant.m_quiet);
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
