#include "relay/relay_view.h"

#include <algorithm>

namespace stackquay {

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
