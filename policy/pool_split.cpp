#include "policy/pool_split.h"

#include <algorithm>
#include <cmath>

namespace stackquay {

namespace {

size_t enginesNeeded(const PoolSplitSettings &settings, const std::vector<EndpointRecord> &pool,
                     const EndpointUses &uses)
{
    size_t strict = 0;
    for (const EndpointRecord &engine : pool) {
        const auto use = uses.find(engine.m_id);
        if (use != uses.end())
            strict += use->second.m_strictWriters;
    }
    return static_cast<size_t>(std::ceil(static_cast<double>(strict) / settings.m_strictPerEngine));
}

} // namespace

std::unordered_set<EndpointId> strictEngines(PoolSplit &split,
                                             const std::vector<EndpointRecord> &pool,
                                             const EndpointUses &uses, TimePoint now)
{
    const PoolSplitSettings &settings = split.m_settings;
    const auto keptForLong = static_cast<size_t>(
        std::ceil(static_cast<double>(pool.size()) * settings.m_leastLongShare));
    const size_t most = pool.size() - std::min(pool.size(), keptForLong);
    const size_t least = std::min(settings.m_leastStrict, most);
    const size_t needed = std::clamp(enginesNeeded(settings, pool, uses), least, most);

    auto &needs = split.m_needs;
    std::erase_if(needs, [&](const PoolNeed &need) {
        return need.m_at + settings.m_memory <= now || need.m_engines <= needed;
    });
    needs.push_back({ now, needed });
    const size_t count = std::min(needs.front().m_engines, most);

    std::unordered_set<EndpointId> strict;
    for (size_t i = 0; i < count; ++i)
        strict.insert(pool[i].m_id);
    return strict;
}

} // namespace stackquay
