#include "policy/limit_slices.h"

#include <algorithm>
#include <cmath>

namespace stackquay {

namespace {

using Lent = SliceLender::Lent;
using Node = SliceLender::Node;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Duration::period>(duration) * factor);
}

Duration longer(const SliceLender &lender, Duration duration)
{
    return scaled(duration, 1 + lender.m_settings.m_clockDrift);
}

Duration shorter(const SliceLender &lender, Duration duration)
{
    return scaled(duration, 1 - lender.m_settings.m_clockDrift);
}

/// Whether the node uses no more than what it was lent until @p horizon.
bool quietUntil(const Node &node, TimePoint horizon)
{
    return node.m_settled && horizon <= node.m_quietUntil;
}

/// The most that the node may use by its slices. After a slice's end, a quiet node may still use
/// as much of its fallback part.
LimitAmount mostHeld(const SliceLender &lender, const Node &node, bool quiet, TimePoint now)
{
    LimitAmount most;
    for (const Lent &lent : node.m_lent) {
        if (now < lent.m_until)
            most = largest(most, lent.m_amount);
        else if (quiet)
            most = largest(most, smallest(lent.m_amount, lender.m_limits.m_fallback));
    }
    if (!node.m_lent.empty())
        most.m_concurrency = std::max(most.m_concurrency, node.m_inUse.m_concurrency);
    return most;
}

/// What the node may use until @p horizon beyond the fallback parts that boundUntil() counts.
LimitAmount contribution(const SliceLender &lender, const Node &node, TimePoint now,
                         TimePoint horizon)
{
    const bool quiet = quietUntil(node, horizon);
    const LimitAmount held = mostHeld(lender, node, quiet, now);
    if (quiet || !node.m_settled)
        return held;
    return largest(held - lender.m_limits.m_fallback, {});
}

/// Upper bound of what all nodes may use until @p horizon, if no more is lent.
LimitAmount boundUntil(const SliceLender &lender, TimePoint now, TimePoint horizon)
{
    LimitAmount sum;
    uint32_t quiet = 0;
    for (const auto &[id, node] : lender.m_nodes) {
        sum = sum + contribution(lender, node, now, horizon);
        quiet += quietUntil(node, horizon) ? 1 : 0;
    }
    const uint32_t maxNodes = lender.m_limits.m_maxNodes;
    return sum + lender.m_limits.m_fallback * (maxNodes - std::min(quiet, maxNodes));
}

void prune(Node &node, TimePoint now)
{
    if (now < node.m_quietUntil)
        return;
    std::erase_if(node.m_lent, [now](const Lent &lent) { return now >= lent.m_until; });
}

/// The node says which slice it holds, so it uses no earlier one any more.
void acknowledge(Node &node, uint64_t held)
{
    const auto found = std::find_if(node.m_lent.begin(), node.m_lent.end(),
                                    [held](const Lent &lent) { return lent.m_number == held; });
    if (found == node.m_lent.end())
        return;
    node.m_quietUntil = std::max(node.m_quietUntil, found->m_quietUntil);
    std::erase_if(node.m_lent, [held](const Lent &lent) { return lent.m_number < held; });
}

/// Another may have lent in the meantime, so no node is bound to what it was lent here.
void distrustNodes(SliceLender &lender, TimePoint now)
{
    for (auto &[id, node] : lender.m_nodes) {
        node.m_quietUntil = {};
        for (Lent &lent : node.m_lent)
            lent.m_quietUntil = {};
        prune(node, now);
    }
}

bool isActive(const SliceLender &lender, const Node &node, TimePoint now)
{
    return now - node.m_heard < lender.m_settings.m_ttl;
}

/// One node's wish, for splitting a limit.
struct Wish {
    SliceNodeId m_node;
    double m_weight = 0;
    double m_whole = 0; ///< Whole units so far.
    double m_rest = 0;
};

/// The part of @p total in whole units that is due to @p node: units left over by rounding go to
/// the largest remainders.
double wholeUnits(std::vector<Wish> wishes, double total, const SliceNodeId &node)
{
    double sum = 0;
    for (const Wish &wish : wishes)
        sum += wish.m_weight;
    double left = std::floor(total);
    for (Wish &wish : wishes) {
        const double exact = total * wish.m_weight / sum;
        wish.m_whole = std::floor(exact);
        wish.m_rest = exact - wish.m_whole;
        left -= wish.m_whole;
    }
    std::stable_sort(wishes.begin(), wishes.end(),
                     [](const Wish &a, const Wish &b) { return a.m_rest > b.m_rest; });
    for (size_t i = 0; i < wishes.size(); ++i) {
        if (wishes[i].m_node == node)
            return wishes[i].m_whole + (static_cast<double>(i) < left ? 1 : 0);
    }
    return 0;
}

/// What demand gives to @p wanted if every node took its part at once.
LimitAmount targetFor(const SliceLender &lender, const SliceNodeId &wanted, TimePoint now)
{
    double active = 0;
    for (const auto &[id, node] : lender.m_nodes)
        active += isActive(lender, node, now) ? 1 : 0;
    const double silent = std::max(0.0, lender.m_limits.m_maxNodes - active);
    const LimitAmount total =
        largest(lender.m_limits.m_total - lender.m_limits.m_fallback * silent, {});
    const LimitAmount idle = total * (lender.m_settings.m_idleWeight / active);

    LimitAmount sum;
    LimitAmount own;
    std::vector<Wish> wishes;
    for (const auto &[id, node] : lender.m_nodes) {
        if (!isActive(lender, node, now))
            continue;
        const LimitAmount weight = largest(node.m_demand, {}) + idle;
        sum = sum + weight;
        own = id == wanted ? weight : own;
        wishes.push_back({ id, weight.m_concurrency, 0, 0 });
    }
    LimitAmount target;
    if (sum.m_tokensPerSecond > 0)
        target.m_tokensPerSecond =
            total.m_tokensPerSecond * own.m_tokensPerSecond / sum.m_tokensPerSecond;
    if (sum.m_concurrency > 0)
        target.m_concurrency = wholeUnits(std::move(wishes), total.m_concurrency, wanted);
    return target;
}

/// The most that the node may be lent so that the sum holds until every slice's end.
LimitAmount availableFor(const SliceLender &lender, const Node &node, TimePoint now)
{
    const TimePoint horizon = now + longer(lender, lender.m_settings.m_ttl);
    const LimitAmount own = contribution(lender, node, now, horizon);
    LimitAmount available = lender.m_limits.m_total - (boundUntil(lender, now, horizon) - own);
    if (node.m_settled && !quietUntil(node, horizon))
        available = available + lender.m_limits.m_fallback;
    return largest(available, {});
}

} // namespace

LimitAmount boundOnUse(const SliceLender &lender, TimePoint now)
{
    return boundUntil(lender, now, now);
}

void beginLending(SliceLender &lender, TimePoint tenureUntil,
                  const std::vector<LentSlice> &handedOver, TimePoint asked, TimePoint now)
{
    if (now >= lender.m_tenureUntil)
        distrustNodes(lender, now);
    lender.m_tenureUntil = tenureUntil;
    for (const LentSlice &slice : handedOver) {
        Node &node = lender.m_nodes[slice.m_node];
        node.m_lent.push_back(
            { slice.m_number, slice.m_amount, now + longer(lender, slice.m_left), {} });
        node.m_lastNumber = std::max(node.m_lastNumber, slice.m_number);
        node.m_settled = slice.m_settled;
        node.m_quietUntil = std::max(node.m_quietUntil, asked + shorter(lender, slice.m_quietLeft));
    }
}

std::vector<LentSlice> stopLending(SliceLender &lender, TimePoint now)
{
    std::vector<LentSlice> slices;
    for (auto &[id, node] : lender.m_nodes) {
        prune(node, now);
        const Duration quietLeft = std::max(node.m_quietUntil - now, Duration{});
        for (const Lent &lent : node.m_lent) {
            const Duration left = std::max(lent.m_until - now, Duration{});
            slices.push_back({ id, lent.m_number, lent.m_amount, left, node.m_settled, quietLeft });
        }
    }
    lender.m_nodes.clear();
    lender.m_tenureUntil = {};
    return slices;
}

std::optional<SliceGrant> receiveAsk(SliceLender &lender, const SliceAsk &ask, TimePoint now)
{
    const Duration tenureLeft = shorter(lender, lender.m_tenureUntil - now);
    const Duration ttl = std::min(lender.m_settings.m_ttl, tenureLeft);
    if (now >= lender.m_tenureUntil || ttl < lender.m_settings.m_shortestTtl)
        return std::nullopt;
    Node &node = lender.m_nodes[ask.m_node];
    if (ask.m_number <= node.m_lastNumber)
        return std::nullopt;
    prune(node, now);
    acknowledge(node, ask.m_held);
    node.m_lastNumber = ask.m_number;
    node.m_settled = ask.m_settled;
    node.m_demand = ask.m_demand;
    node.m_inUse = ask.m_inUse;
    node.m_heard = now;

    const LimitAmount target = targetFor(lender, ask.m_node, now);
    LimitAmount amount = smallest(target, availableFor(lender, node, now));
    amount.m_concurrency = std::floor(amount.m_concurrency);
    Lent lent{ ask.m_number, amount, now + longer(lender, ttl), {} };
    if (ask.m_echoTerm == lender.m_term)
        lent.m_quietUntil = ask.m_echo + shorter(lender, lender.m_settings.m_quiet);
    node.m_lent.push_back(lent);
    return SliceGrant{ ask.m_customer, ask.m_node, ask.m_number,
                       amount,         ttl,        lender.m_settings.m_quiet,
                       lender.m_term,  now };
}

void forgetIdleNodes(SliceLender &lender, TimePoint now)
{
    for (auto &[id, node] : lender.m_nodes)
        prune(node, now);
    std::erase_if(lender.m_nodes, [&](const auto &entry) {
        const Node &node = entry.second;
        return node.m_lent.empty() && now >= node.m_quietUntil && !isActive(lender, node, now);
    });
}

} // namespace stackquay
