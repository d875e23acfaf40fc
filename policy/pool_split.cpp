#include "policy/pool_split.h"

#include <algorithm>
#include <cmath>

namespace stackquay {

namespace {

/// Current demand of both sides.
struct Demand {
    double m_strictStreams = 0; ///< Number of streams.
    double m_longEngines = 0; ///< Number of engines for long prompts.
};

Demand demandOf(const PoolSplitSettings &settings, const std::vector<EndpointRecord> &pool,
                const EndpointUses &uses, const StrictDemand &strict)
{
    Demand demand;
    demand.m_strictStreams = strict.m_waiting;
    double longMs = 0;
    for (const EndpointRecord &engine : pool) {
        const auto use = uses.find(engine.m_id);
        if (use == uses.end())
            continue;
        demand.m_strictStreams += use->second.m_strictAttempts;
        longMs += use->second.m_recentLongPrefillMs;
    }
    const double perWindow = strict.m_streamTime / FloatMillis(StrictRateWindow);
    const double arriving = strict.m_arrivals * perWindow;
    if (strict.m_streamTime > FloatMillis(0))
        demand.m_strictStreams = std::min(
            demand.m_strictStreams, strict.m_waiting + settings.m_maxStreamsPerArrival * arriving);
    demand.m_strictStreams = std::max(demand.m_strictStreams, arriving);
    demand.m_longEngines =
        longMs / FloatMillis(LongPrefillWindow).count() / settings.m_longPrefillUtilization;
    return demand;
}

/// Number of engines for strict streams. Surplus engines go to the long prompts, whose parts become
/// shorter. If the demand exceeds the pool, the sides share it in proportion.
size_t strictShare(const PoolSplitSettings &settings, const Demand &demand, double slots,
                   size_t engines)
{
    if (engines < 2)
        return engines;
    const auto all = static_cast<double>(engines);
    double strict = std::max(demand.m_strictStreams / (settings.m_strictPerSlot * slots), 1.0);
    strict = std::min(strict, std::max(1.0, all * settings.m_maxStrictShare));
    strict = std::max(strict, demand.m_strictStreams / (settings.m_strictPerFullSlot * slots));
    const double wanted = strict + demand.m_longEngines;
    double share = std::ceil(strict);
    if (wanted > all) {
        const double crowded =
            demand.m_strictStreams / (settings.m_strictPerOverloadedSlot * slots);
        const double maxStrict = std::max(1.0, all * settings.m_maxStrictShare);
        share =
            std::max(std::round(all * strict / wanted), std::min(std::ceil(crowded), maxStrict));
    }
    return std::clamp<size_t>(static_cast<size_t>(share), 1, engines - 1);
}

} // namespace

std::unordered_set<EndpointId> strictEngines(PoolSplit &split,
                                             const std::vector<EndpointRecord> &pool,
                                             const EndpointUses &uses, const StrictDemand &strict,
                                             TimePoint now)
{
    const PoolSplitSettings &settings = split.m_settings;
    size_t needed =
        strictShare(settings, demandOf(settings, pool, uses, strict), strict.m_slots, pool.size());
    if (strict.m_peerLoadUnknown)
        needed = std::max(needed, pool.size() / 2);

    auto &needs = split.m_recentNeeds;
    std::erase_if(needs, [&](const StrictEngineNeed &need) {
        return need.m_at + settings.m_shrinkDelay <= now || need.m_engines <= needed;
    });
    needs.push_back({ now, needed });
    const size_t count = std::min(needs.front().m_engines, pool.size());

    std::unordered_set<EndpointId> engines;
    for (size_t i = 0; i < count; ++i)
        engines.insert(pool[i].m_id);
    return engines;
}

size_t expectedStrictEngines(const PoolSplitSettings &settings, const StrictDemand &strict,
                             size_t engines)
{
    Demand demand;
    demand.m_strictStreams =
        strict.m_arrivals * (strict.m_streamTime / FloatMillis(StrictRateWindow));
    return strictShare(settings, demand, strict.m_slots, engines);
}

} // namespace stackquay
