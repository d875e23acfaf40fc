#include "policy/limit_slices.h"

#include <algorithm>
#include <cmath>

namespace stackquay {

namespace {

using Grant = SliceAllocator::Grant;
using Node = SliceAllocator::Node;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Duration::period>(duration) * factor);
}

Duration lengthened(const SliceAllocator &allocator, Duration duration)
{
    return scaled(duration, 1 + allocator.m_settings.m_clockDrift);
}

Duration shortened(const SliceAllocator &allocator, Duration duration)
{
    return scaled(duration, 1 - allocator.m_settings.m_clockDrift);
}

/// Whether the node uses no more than its granted slices until @p horizon.
bool isCappedUntil(const Node &node, TimePoint horizon)
{
    return node.m_fallbackAllowed && horizon <= node.m_fallbackCappedUntil;
}

/// The largest amount that the node may use because of its slices. After the end of a slice, a
/// capped node may still use as much of its fallback amount.
LimitAmount maxHeldAmount(const SliceAllocator &allocator, const Node &node, bool capped,
                          TimePoint now)
{
    LimitAmount maxAmount;
    for (const Grant &grant : node.m_grants) {
        if (now < grant.m_expiresBy)
            maxAmount = componentMax(maxAmount, grant.m_amount);
        else if (capped)
            maxAmount = componentMax(maxAmount,
                                     componentMin(grant.m_amount, allocator.m_limits.m_fallback));
    }
    if (!node.m_grants.empty())
        maxAmount.m_concurrency = std::max(maxAmount.m_concurrency, node.m_inUse.m_concurrency);
    return maxAmount;
}

/// What the node may use until @p horizon in addition to the fallback amounts that maxUseUntil()
/// counts.
LimitAmount useBeyondFallback(const SliceAllocator &allocator, const Node &node, TimePoint now,
                              TimePoint horizon)
{
    const bool capped = isCappedUntil(node, horizon);
    const LimitAmount held = maxHeldAmount(allocator, node, capped, now);
    if (capped || !node.m_fallbackAllowed)
        return held;
    return componentMax(held - allocator.m_limits.m_fallback, {});
}

/// Upper bound of what all nodes may use until @p horizon if no more slices are granted.
LimitAmount maxUseUntil(const SliceAllocator &allocator, TimePoint now, TimePoint horizon)
{
    LimitAmount sum;
    uint32_t capped = 0;
    for (const auto &[id, node] : allocator.m_nodes) {
        sum = sum + useBeyondFallback(allocator, node, now, horizon);
        capped += isCappedUntil(node, horizon) ? 1 : 0;
    }
    const uint32_t maxNodes = allocator.m_limits.m_maxNodes;
    return sum + allocator.m_limits.m_fallback * (maxNodes - std::min(capped, maxNodes));
}

/// Removes expired grants, unless they still cap the node's fallback amount.
void removeExpiredGrants(Node &node, TimePoint now)
{
    if (now < node.m_fallbackCappedUntil)
        return;
    std::erase_if(node.m_grants, [now](const Grant &grant) { return now >= grant.m_expiresBy; });
}

/// Removes the grants before the one that the node holds: it no longer uses them.
void removeSupersededGrants(Node &node, uint64_t heldNumber)
{
    const auto found =
        std::find_if(node.m_grants.begin(), node.m_grants.end(),
                     [heldNumber](const Grant &grant) { return grant.m_number == heldNumber; });
    if (found == node.m_grants.end())
        return;
    node.m_fallbackCappedUntil = std::max(node.m_fallbackCappedUntil, found->m_fallbackCappedUntil);
    std::erase_if(node.m_grants,
                  [heldNumber](const Grant &grant) { return grant.m_number < heldNumber; });
}

/// Discards all fallback caps: another steward may have granted slices in the meantime, which would
/// replace the caps of those granted here.
void dropFallbackCaps(SliceAllocator &allocator, TimePoint now)
{
    for (auto &[id, node] : allocator.m_nodes) {
        node.m_fallbackCappedUntil = {};
        for (Grant &grant : node.m_grants)
            grant.m_fallbackCappedUntil = {};
        removeExpiredGrants(node, now);
    }
}

bool isActive(const SliceAllocator &allocator, const Node &node, TimePoint now)
{
    return now - node.m_lastRequestAt < allocator.m_settings.m_ttl;
}

/// One node's entry when an amount is split by weight.
struct SplitEntry {
    SliceNodeId m_node;
    double m_weight = 0;
    double m_wholeUnits = 0; ///< Exact share, rounded down.
    double m_remainder = 0;
};

/// The share of @p node when @p total is split by weight in whole units; the units that rounding
/// leaves go to the nodes with the largest remainders.
double largestRemainderShare(std::vector<SplitEntry> entries, double total, const SliceNodeId &node)
{
    double sum = 0;
    for (const SplitEntry &entry : entries)
        sum += entry.m_weight;
    double remaining = std::floor(total);
    for (SplitEntry &entry : entries) {
        const double exact = total * entry.m_weight / sum;
        entry.m_wholeUnits = std::floor(exact);
        entry.m_remainder = exact - entry.m_wholeUnits;
        remaining -= entry.m_wholeUnits;
    }
    std::stable_sort(entries.begin(), entries.end(), [](const SplitEntry &a, const SplitEntry &b) {
        return a.m_remainder > b.m_remainder;
    });
    for (size_t i = 0; i < entries.size(); ++i) {
        if (entries[i].m_node == node)
            return entries[i].m_wholeUnits + (static_cast<double>(i) < remaining ? 1 : 0);
    }
    return 0;
}

/// The share of @p wanted if the limit were split now by the demand of all active nodes.
LimitAmount targetAmount(const SliceAllocator &allocator, const SliceNodeId &wanted, TimePoint now)
{
    double active = 0;
    for (const auto &[id, node] : allocator.m_nodes)
        active += isActive(allocator, node, now) ? 1 : 0;
    const double silentNodes = std::max(0.0, allocator.m_limits.m_maxNodes - active);
    const LimitAmount total =
        componentMax(allocator.m_limits.m_total - allocator.m_limits.m_fallback * silentNodes, {});
    const LimitAmount idle = total * (allocator.m_settings.m_idleWeight / active);

    LimitAmount sum;
    LimitAmount own;
    std::vector<SplitEntry> entries;
    for (const auto &[id, node] : allocator.m_nodes) {
        if (!isActive(allocator, node, now))
            continue;
        const LimitAmount weight = componentMax(node.m_demand, {}) + idle;
        sum = sum + weight;
        own = id == wanted ? weight : own;
        entries.push_back({ id, weight.m_concurrency, 0, 0 });
    }
    LimitAmount target;
    if (sum.m_tokensPerSecond > 0)
        target.m_tokensPerSecond =
            total.m_tokensPerSecond * own.m_tokensPerSecond / sum.m_tokensPerSecond;
    if (sum.m_concurrency > 0)
        target.m_concurrency =
            largestRemainderShare(std::move(entries), total.m_concurrency, wanted);
    return target;
}

/// The largest amount that the node may be granted so that the limit holds until the end of every
/// slice.
LimitAmount availableAmount(const SliceAllocator &allocator, const Node &node, TimePoint now)
{
    const TimePoint horizon = now + lengthened(allocator, allocator.m_settings.m_ttl);
    const LimitAmount own = useBeyondFallback(allocator, node, now, horizon);
    LimitAmount available =
        allocator.m_limits.m_total - (maxUseUntil(allocator, now, horizon) - own);
    if (node.m_fallbackAllowed && !isCappedUntil(node, horizon))
        available = available + allocator.m_limits.m_fallback;
    return componentMax(available, {});
}

} // namespace

LimitAmount maxUse(const SliceAllocator &allocator, TimePoint now)
{
    return maxUseUntil(allocator, now, now);
}

void startAllocating(SliceAllocator &allocator, TimePoint leaseUntil,
                     const std::vector<OutstandingSlice> &handedOver, TimePoint requestedAt,
                     TimePoint now)
{
    if (now >= allocator.m_leaseUntil)
        dropFallbackCaps(allocator, now);
    allocator.m_leaseUntil = leaseUntil;
    for (const OutstandingSlice &slice : handedOver) {
        Node &node = allocator.m_nodes[slice.m_node];
        node.m_grants.push_back(
            { slice.m_number, slice.m_amount, now + lengthened(allocator, slice.m_remaining), {} });
        node.m_lastNumber = std::max(node.m_lastNumber, slice.m_number);
        node.m_fallbackAllowed = slice.m_fallbackAllowed;
        node.m_fallbackCappedUntil =
            std::max(node.m_fallbackCappedUntil,
                     requestedAt + shortened(allocator, slice.m_fallbackCapRemaining));
    }
}

std::vector<OutstandingSlice> stopAllocating(SliceAllocator &allocator, TimePoint now)
{
    std::vector<OutstandingSlice> slices;
    for (auto &[id, node] : allocator.m_nodes) {
        removeExpiredGrants(node, now);
        const Duration fallbackCapRemaining =
            std::max(node.m_fallbackCappedUntil - now, Duration{});
        for (const Grant &grant : node.m_grants) {
            const Duration remaining = std::max(grant.m_expiresBy - now, Duration{});
            slices.push_back({ id, grant.m_number, grant.m_amount, remaining,
                               node.m_fallbackAllowed, fallbackCapRemaining });
        }
    }
    allocator.m_nodes.clear();
    allocator.m_leaseUntil = {};
    return slices;
}

std::optional<SliceGrant> receiveSliceRequest(SliceAllocator &allocator,
                                              const SliceRequest &request, TimePoint now)
{
    const Duration leaseRemaining = shortened(allocator, allocator.m_leaseUntil - now);
    const Duration ttl = std::min(allocator.m_settings.m_ttl, leaseRemaining);
    if (now >= allocator.m_leaseUntil || ttl < allocator.m_settings.m_minTtl)
        return std::nullopt;
    Node &node = allocator.m_nodes[request.m_node];
    if (request.m_number <= node.m_lastNumber)
        return std::nullopt;
    removeExpiredGrants(node, now);
    removeSupersededGrants(node, request.m_heldNumber);
    node.m_lastNumber = request.m_number;
    node.m_fallbackAllowed = request.m_fallbackAllowed;
    node.m_demand = request.m_demand;
    node.m_inUse = request.m_inUse;
    node.m_lastRequestAt = now;

    const LimitAmount target = targetAmount(allocator, request.m_node, now);
    LimitAmount amount = componentMin(target, availableAmount(allocator, node, now));
    amount.m_concurrency = std::floor(amount.m_concurrency);
    Grant grant{ request.m_number, amount, now + lengthened(allocator, ttl), {} };
    if (request.m_echoedTerm == allocator.m_term)
        grant.m_fallbackCappedUntil =
            request.m_echoedTimestamp + shortened(allocator, allocator.m_settings.m_fallbackCap);
    node.m_grants.push_back(grant);
    return SliceGrant{ request.m_customer,
                       request.m_node,
                       request.m_number,
                       amount,
                       ttl,
                       allocator.m_settings.m_fallbackCap,
                       allocator.m_term,
                       now };
}

void removeIdleNodes(SliceAllocator &allocator, TimePoint now)
{
    for (auto &[id, node] : allocator.m_nodes)
        removeExpiredGrants(node, now);
    std::erase_if(allocator.m_nodes, [&](const auto &entry) {
        const Node &node = entry.second;
        return node.m_grants.empty() && now >= node.m_fallbackCappedUntil
               && !isActive(allocator, node, now);
    });
}

} // namespace stackquay
