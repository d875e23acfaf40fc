#include "relay/relay_view.h"

#include <algorithm>

namespace stackquay {

const std::vector<EndpointRecord> *poolOf(const RelayView &view, const ServiceId &service)
{
    const auto found = view.m_pools.find(service);
    return found == view.m_pools.end() ? nullptr : &found->second;
}

std::unordered_map<ServiceId, std::vector<EndpointRecord>>
poolsOf(const EndpointDirectory &directory)
{
    std::unordered_map<ServiceId, std::vector<EndpointRecord>> pools;
    for (const auto &[id, endpoint] : directory.m_endpoints) {
        if (!endpoint.m_draining)
            pools[endpoint.m_service].push_back(endpoint);
    }
    for (auto &[service, pool] : pools) {
        std::sort(pool.begin(), pool.end(),
                  [](const auto &left, const auto &right) { return left.m_id < right.m_id; });
    }
    return pools;
}

} // namespace stackquay
