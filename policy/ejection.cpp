#include "policy/ejection.h"

#include <algorithm>

namespace stackquay {

namespace {

/// Whether @p peerFailures are attributed to their endpoint. @p endpoints: number of endpoints in
/// total.
bool shouldEject(const EjectionTable &table, const PeerFailures &peerFailures, bool onProbation,
                 size_t endpoints)
{
    const PeerFailureSettings &settings = table.m_peerSettings;
    if (peerFailures.m_failingVms.size()
        < (onProbation ? settings.m_minVmsOnProbation : settings.m_minVms))
        return false;
    if (!onProbation && peerFailures.m_lastAt - peerFailures.m_firstAt < settings.m_minSpan)
        return false;
    const double most = settings.m_maxFailingShare * static_cast<double>(endpoints);
    return static_cast<double>(table.m_peerFailures.size()) <= std::max(most, 1.0);
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
    table.m_peerFailures.erase(endpoint);
}

bool recordPeerFailure(EjectionTable &table, const EndpointId &endpoint, size_t endpoints,
                       uint64_t vm, TimePoint now)
{
    std::erase_if(table.m_peerFailures, [&](const auto &entry) {
        return entry.second.m_lastAt + table.m_peerSettings.m_window < now;
    });
    PeerFailures &peerFailures = table.m_peerFailures[endpoint];
    if (peerFailures.m_failingVms.empty())
        peerFailures.m_firstAt = now;
    peerFailures.m_lastAt = now;
    if (std::find(peerFailures.m_failingVms.begin(), peerFailures.m_failingVms.end(), vm)
        == peerFailures.m_failingVms.end())
        peerFailures.m_failingVms.push_back(vm);
    const auto health = table.m_endpoints.find(endpoint);
    const bool onProbation =
        health != table.m_endpoints.end() && isOnProbation(health->second, now);
    if (isEjected(table, endpoint, now)
        || !shouldEject(table, peerFailures, onProbation, endpoints))
        return false;
    eject(table.m_endpoints[endpoint], now, table.m_settings);
    table.m_peerFailures.erase(endpoint);
    return true;
}

void recordPeerSuccess(EjectionTable &table, const EndpointId &endpoint)
{
    table.m_peerFailures.erase(endpoint);
}

bool isEjected(const EjectionTable &table, const EndpointId &endpoint, TimePoint now)
{
    const auto found = table.m_endpoints.find(endpoint);
    return found != table.m_endpoints.end() && isEjected(found->second, now);
}

std::vector<EndpointRecord> healthyEndpoints(const EjectionTable &table,
                                             std::vector<EndpointRecord> pool, TimePoint now)
{
    std::vector<EndpointRecord> healthy;
    for (const EndpointRecord &endpoint : pool) {
        if (!isEjected(table, endpoint.m_id, now))
            healthy.push_back(endpoint);
    }
    const auto least = MinHealthyShare * static_cast<double>(pool.size());
    return static_cast<double>(healthy.size()) >= least ? healthy : pool;
}

std::vector<EndpointRecord> reachableEndpoints(std::vector<EndpointRecord> pool,
                                               const std::unordered_set<DataCentreId> &unreachable)
{
    const auto cutOff = [&](const EndpointRecord &endpoint) {
        return unreachable.count(endpoint.m_dataCentre) > 0;
    };
    if (!std::all_of(pool.begin(), pool.end(), cutOff))
        std::erase_if(pool, cutOff);
    return pool;
}

} // namespace stackquay
