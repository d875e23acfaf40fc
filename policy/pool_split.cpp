#include "policy/pool_split.h"

#include <algorithm>
#include <cmath>

namespace stackquay {

namespace {

/// What both sides ask for now.
struct Demand {
    double m_strictStreams = 0;
    double m_longEngines = 0;
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
        demand.m_strictStreams += use->second.m_strictWriters;
        longMs += use->second.m_recentLongMs;
    }
    const double perWindow = strict.m_streamTime / FloatMillis(StrictRateWindow);
    const double arriving = strict.m_arrivals * perWindow;
    if (strict.m_streamTime > FloatMillis(0))
        demand.m_strictStreams = std::min(demand.m_strictStreams,
                                          strict.m_waiting + settings.m_mostPerArrival * arriving);
    demand.m_strictStreams = std::max(demand.m_strictStreams, arriving);
    demand.m_longEngines =
        longMs / FloatMillis(LongReadWindow).count() / settings.m_longUtilization;
    return demand;
}

/// Engines for strict streams. What neither side needs goes to the long prompts, which get shorter
/// parts by it; if both need more than there is, they share in proportion.
size_t strictShare(const PoolSplitSettings &settings, const Demand &demand, double slots,
                   size_t engines)
{
    if (engines < 2)
        return engines;
    const auto all = static_cast<double>(engines);
    double strict = std::max(demand.m_strictStreams / (settings.m_strictPerSlot * slots), 1.0);
    strict = std::min(strict, std::max(1.0, all * settings.m_strictShare));
    strict = std::max(strict, demand.m_strictStreams / (settings.m_strictPerFullSlot * slots));
    const double wanted = strict + demand.m_longEngines;
    double share = std::ceil(strict);
    if (wanted > all) {
        const double crowded = demand.m_strictStreams / (settings.m_strictPerCrowdedSlot * slots);
        const double most = std::max(1.0, all * settings.m_strictShare);
        share = std::max(std::round(all * strict / wanted), std::min(std::ceil(crowded), most));
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
    if (strict.m_blind)
        needed = std::max(needed, pool.size() / 2);

    auto &needs = split.m_needs;
    std::erase_if(needs, [&](const PoolNeed &need) {
        return need.m_at + settings.m_memory <= now || need.m_engines <= needed;
    });
    needs.push_back({ now, needed });
    const size_t count = std::min(needs.front().m_engines, pool.size());

    std::unordered_set<EndpointId> engines;
    for (size_t i = 0; i < count; ++i)
        engines.insert(pool[i].m_id);
    return engines;
}

} // namespace stackquay
