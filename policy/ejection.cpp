#include "policy/ejection.h"

namespace stackquay {

bool recordFailure(EjectionTable &table, const EndpointId &endpoint, FailureWeight weight,
                   TimePoint now)
{
    if (weight == FailureWeight::None || isEjected(table, endpoint, now))
        return false;
    EndpointHealth &health = table.m_endpoints[endpoint];
    for (uint32_t i = 0; i < static_cast<uint32_t>(weight); ++i) {
        if (noteFailure(health, now, table.m_settings))
            return true;
    }
    return false;
}

void recordSuccess(EjectionTable &table, const EndpointId &endpoint)
{
    table.m_endpoints.erase(endpoint);
}

bool isEjected(const EjectionTable &table, const EndpointId &endpoint, TimePoint now)
{
    const auto found = table.m_endpoints.find(endpoint);
    return found != table.m_endpoints.end() && isEjected(found->second, now);
}

std::vector<EndpointRecord> healthyOf(const EjectionTable &table, std::vector<EndpointRecord> pool,
                                      TimePoint now)
{
    std::vector<EndpointRecord> healthy;
    for (const EndpointRecord &endpoint : pool) {
        if (!isEjected(table, endpoint.m_id, now))
            healthy.push_back(endpoint);
    }
    const auto least = LeastHealthyShare * static_cast<double>(pool.size());
    return static_cast<double>(healthy.size()) >= least ? healthy : pool;
}

} // namespace stackquay
