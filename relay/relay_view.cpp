#include "relay/relay_view.h"

#include <algorithm>

namespace stackquay {

namespace {

/// Whether model engines serve @p service. Plain services are not divided among cells: they have
/// few endpoints and need little planning.
bool isModelService(const RelayView &view, const ServiceId &service)
{
    if (!view.m_routes)
        return false;
    const auto found = view.m_routes->m_services.find(service);
    return found != view.m_routes->m_services.end() && found->second.m_engine;
}

} // namespace

const std::vector<EndpointRecord> *poolOf(const RelayView &view, const ServiceId &service)
{
    const auto found = view.m_pools.find(service);
    return found == view.m_pools.end() ? nullptr : &found->second;
}

bool isEngine(const RelayView &view, const EndpointRecord &endpoint)
{
    return isModelService(view, endpoint.m_service);
}

void rebuildPools(RelayView &view)
{
    view.m_pools.clear();
    view.m_evacuatedServices.clear();
    if (!view.m_directory)
        return;
    for (const auto &[id, endpoint] : view.m_directory->m_endpoints) {
        if (view.m_evacuations.contains(endpoint.m_dataCentre))
            view.m_evacuatedServices.insert(endpoint.m_service);
        else if (!endpoint.m_draining)
            view.m_pools[endpoint.m_service].push_back(endpoint);
    }
    for (const auto &[service, pool] : view.m_pools)
        view.m_evacuatedServices.erase(service);
    for (auto &[service, pool] : view.m_pools) {
        std::sort(pool.begin(), pool.end(),
                  [](const auto &left, const auto &right) { return left.m_id < right.m_id; });
        if (isModelService(view, service))
            pool = endpointsOfCell(pool, view.m_cell);
    }
}

void rebuildColdShares(RelayView &view, const VmId &self)
{
    view.m_coldShares.clear();
    if (!view.m_directory || !view.m_routes || !view.m_peersKnown)
        return;
    for (const auto &[id, until] : view.m_directory->m_coldUntil) {
        const auto endpoint = view.m_directory->m_endpoints.find(id);
        if (endpoint == view.m_directory->m_endpoints.end())
            continue;
        if (!isEngine(view, endpoint->second) && !ownsSharedEndpoint(id, view.m_cell))
            continue;
        const auto service = view.m_routes->m_services.find(endpoint->second.m_service);
        if (service == view.m_routes->m_services.end())
            continue;
        const SendShare share =
            coldShare(view.m_bounds.m_coldLimits, service->second.m_coldRequestsPerSecond,
                      view.m_peers.size() + 1);
        if (isSender(endpoint->second, share, self, view.m_peers))
            view.m_coldShares[id] = share;
    }
}

bool isColdLimited(const RelayView &view, const EndpointId &endpoint, TimePoint now)
{
    if (view.m_bounds.m_coldLimits.m_overshoot <= 0 || !view.m_directory || !view.m_routes
        || !isCold(*view.m_directory, endpoint, now))
        return false;
    const auto record = view.m_directory->m_endpoints.find(endpoint);
    if (record == view.m_directory->m_endpoints.end())
        return false;
    const auto service = view.m_routes->m_services.find(record->second.m_service);
    return service != view.m_routes->m_services.end()
           && service->second.m_coldRequestsPerSecond > 0;
}

} // namespace stackquay
