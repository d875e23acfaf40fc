#include "entry/shards.h"

#include <map>

namespace stackquay {

std::vector<std::string> shardsForPrompt(const ModelRoute &route, const PrefixBlocks &prefix,
                                         uint64_t spread)
{
    std::map<std::string, uint32_t> engines;
    for (const EndpointRoute &endpoint : route.m_endpoints) {
        if (!endpoint.m_draining)
            ++engines[endpoint.m_shard];
    }
    std::vector<std::string> keys;
    std::vector<uint32_t> sizes;
    for (const auto &[key, count] : engines) {
        keys.push_back(key);
        sizes.push_back(count);
    }
    std::vector<std::string> ordered;
    for (const uint32_t index : shardOrder(affinityKey(prefix), spread, sizes))
        ordered.push_back(keys[index]);
    return ordered;
}

const PeerRoute *shardHolder(const RoutingView &view, const std::string &shard)
{
    const PeerRoute *best = nullptr;
    uint64_t bestScore = 0;
    for (const PeerRoute &peer : view.m_peers) {
        const uint64_t score = rendezvousScore(shard, peer.m_id.str());
        if (!best || score > bestScore) {
            best = &peer;
            bestScore = score;
        }
    }
    return best;
}

} // namespace stackquay
