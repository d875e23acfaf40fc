#include "policy/endpoint_activity.h"

#include <algorithm>

namespace stackquay {

namespace {

/// A first event is late after this multiple of the predicted prefill.
constexpr double LateFactor = 2;

bool owesAnswer(const LoadKey &key, const AttemptLoad &load, uint64_t origin, TimePoint since)
{
    if (load.m_decoding)
        return key.m_origin == origin && load.m_placedAt <= since;
    const FloatMillis prefill(load.prefillMs() * LateFactor);
    return load.m_placedAt + std::chrono::duration_cast<Duration>(prefill) <= since;
}

} // namespace

void noteAlive(EndpointActivity &activity, const EndpointId &endpoint, TimePoint now)
{
    TimePoint &aliveAt = activity.m_aliveAt[endpoint];
    aliveAt = std::max(aliveAt, now);
}

void forgetActivity(EndpointActivity &activity, const EndpointId &endpoint)
{
    activity.m_aliveAt.erase(endpoint);
}

PoolActivity poolActivity(const EndpointActivity &activity, const std::vector<EndpointRecord> &pool,
                          const AttemptLoads &loads, uint64_t origin, TimePoint since)
{
    std::unordered_set<EndpointId> owing;
    std::unordered_set<EndpointId> used;
    for (const auto &[key, load] : loads) {
        if (!load.m_parts.empty() && owesAnswer(key, load, origin, since))
            owing.insert(load.m_parts.front().m_endpoint);
        for (const LoadPart &part : load.m_parts)
            used.insert(part.m_endpoint);
    }
    PoolActivity result;
    for (const EndpointRecord &endpoint : pool) {
        const auto aliveAt = activity.m_aliveAt.find(endpoint.m_id);
        if (aliveAt != activity.m_aliveAt.end() && aliveAt->second > since)
            result.m_alive.insert(endpoint.m_id);
        else if (owing.count(endpoint.m_id) > 0)
            result.m_silent.insert(endpoint.m_id);
        else if (used.count(endpoint.m_id) == 0)
            ++result.m_unused;
    }
    return result;
}

} // namespace stackquay
