#include "policy/long_set.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace stackquay {

namespace {

using FloatSeconds = std::chrono::duration<double>;

double decayed(const LongSet &set, TimePoint now, const LongSetSettings &settings)
{
    const FloatSeconds passed = std::max(Duration::zero(), now - set.m_recentWorkAt);
    return set.m_recentWork * std::exp(-(passed / FloatSeconds(settings.m_window)));
}

uint32_t enginesFor(double demand, double share)
{
    return static_cast<uint32_t>(std::ceil(demand / share));
}

} // namespace

void recordLongDemand(LongSet &set, Duration predicted, TimePoint now,
                      const LongSetSettings &settings)
{
    set.m_recentWork = decayed(set, now, settings) + FloatSeconds(predicted).count();
    set.m_recentWorkAt = std::max(set.m_recentWorkAt, now);
}

double longDemand(const LongSet &set, TimePoint now, const LongSetSettings &settings)
{
    return decayed(set, now, settings) / FloatSeconds(settings.m_window).count()
           + std::max(0.0, set.m_waiting) / FloatSeconds(settings.m_backlogDrainTime).count();
}

uint32_t resizeLongSet(LongSet &set, uint32_t engines, TimePoint now,
                       const LongSetSettings &settings)
{
    const auto maxSize = std::max(1u, static_cast<uint32_t>(engines * settings.m_maxShare));
    if (set.m_size == 0) {
        set.m_size = std::max(1u, static_cast<uint32_t>(engines * settings.m_startShare));
        set.m_changedAt = now;
    }
    const double demand = longDemand(set, now, settings);
    const uint32_t needed = std::clamp(enginesFor(demand, settings.m_targetShare), 1u, maxSize);
    if (needed > set.m_size || set.m_size > maxSize) {
        set.m_size = std::max(needed, std::min(set.m_size, maxSize));
        set.m_changedAt = now;
        return set.m_size;
    }
    const uint32_t relaxed =
        std::max(1u, enginesFor(demand, settings.m_targetShare * settings.m_shrinkBelow));
    if (relaxed < set.m_size && now - set.m_changedAt >= settings.m_shrinkAfter) {
        --set.m_size;
        set.m_changedAt = now;
    }
    return set.m_size;
}

std::vector<bool> longSetMembers(std::span<const EndpointId> engines, uint32_t size)
{
    constexpr uint64_t Seed = 0x6c6f6e67;
    std::vector<size_t> order(engines.size());
    std::iota(order.begin(), order.end(), size_t{ 0 });
    std::sort(order.begin(), order.end(), [&](size_t left, size_t right) {
        return stableHash(engines[left].str(), Seed) < stableHash(engines[right].str(), Seed);
    });
    std::vector<bool> members(engines.size());
    for (size_t i = 0; i < std::min<size_t>(size, order.size()); ++i)
        members[order[i]] = true;
    return members;
}

} // namespace stackquay
