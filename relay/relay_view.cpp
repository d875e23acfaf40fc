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

void rebuildPools(RelayView &view)
{
    view.m_pools.clear();
    if (!view.m_directory)
        return;
    for (const auto &[id, endpoint] : view.m_directory->m_endpoints) {
        if (!endpoint.m_draining)
            view.m_pools[endpoint.m_service].push_back(endpoint);
    }
    for (auto &[service, pool] : view.m_pools) {
        std::sort(pool.begin(), pool.end(),
                  [](const auto &left, const auto &right) { return left.m_id < right.m_id; });
        if (isModelService(view, service))
            pool = endpointsOfCell(pool, view.m_cell);
    }
}

} // namespace stackquay
