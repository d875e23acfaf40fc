#include "policy/ejection.h"

#include <algorithm>

namespace stackquay {

namespace {

/// Whether the failures of @p shared are of their endpoint, one of @p endpoints.
bool isToBlame(const EjectionTable &table, const SharedFailures &shared, bool onTrial,
               size_t endpoints)
{
    const SharedFailureSettings &settings = table.m_sharedSettings;
    if (shared.m_vms.size() < (onTrial ? settings.m_vmsOnTrial : settings.m_vms))
        return false;
    if (!onTrial && shared.m_lastAt - shared.m_firstAt < settings.m_leastSpan)
        return false;
    const double most = settings.m_mostFailing * static_cast<double>(endpoints);
    return static_cast<double>(table.m_shared.size()) <= std::max(most, 1.0);
}

} // namespace

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
    table.m_shared.erase(endpoint);
}

bool recordSharedFailure(EjectionTable &table, const EndpointId &endpoint, size_t endpoints,
                         uint64_t vm, TimePoint now)
{
    std::erase_if(table.m_shared, [&](const auto &entry) {
        return entry.second.m_lastAt + table.m_sharedSettings.m_memory < now;
    });
    SharedFailures &shared = table.m_shared[endpoint];
    if (shared.m_vms.empty())
        shared.m_firstAt = now;
    shared.m_lastAt = now;
    if (std::find(shared.m_vms.begin(), shared.m_vms.end(), vm) == shared.m_vms.end())
        shared.m_vms.push_back(vm);
    const auto health = table.m_endpoints.find(endpoint);
    const bool onTrial = health != table.m_endpoints.end() && isOnTrial(health->second, now);
    if (isEjected(table, endpoint, now) || !isToBlame(table, shared, onTrial, endpoints))
        return false;
    eject(table.m_endpoints[endpoint], now, table.m_settings);
    table.m_shared.erase(endpoint);
    return true;
}

void recordSharedSuccess(EjectionTable &table, const EndpointId &endpoint)
{
    table.m_shared.erase(endpoint);
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
