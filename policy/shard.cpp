#include "policy/shard.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace stackquay {

namespace {

uint64_t shardScore(uint32_t shard, uint64_t seed)
{
    return XXH3_64bits_withSeed(&shard, sizeof(shard), seed);
}

} // namespace

uint32_t shardCount(size_t endpoints, uint32_t perShard)
{
    const size_t size = std::max(1u, perShard);
    return static_cast<uint32_t>(std::max<size_t>(1, (endpoints + size - 1) / size));
}

uint32_t shardOf(const EndpointId &endpoint, uint32_t shards)
{
    const uint64_t seed = stableHash(endpoint.str());
    uint32_t best = 0;
    for (uint32_t shard = 1; shard < shards; ++shard) {
        if (shardScore(shard, seed) > shardScore(best, seed))
            best = shard;
    }
    return best;
}

std::string shardKey(const DataCentreId &dataCentre, uint32_t shard)
{
    return fmt::format("shard/{}/{}", dataCentre.str(), shard);
}

std::vector<uint32_t> shardOrder(uint64_t affinityKey, uint64_t spread,
                                 std::span<const uint32_t> sizes)
{
    struct Weighted {
        double m_score;
        uint32_t m_shard;
    };
    const uint64_t seed = affinityKey == 0 ? spread : affinityKey;
    std::vector<Weighted> order;
    order.reserve(sizes.size());
    for (uint32_t shard = 0; shard < sizes.size(); ++shard) {
        if (sizes[shard] == 0)
            continue;
        // Weighted rendezvous hashing: sort by exponentially distributed values whose rates are
        // the sizes.
        const double unit = (static_cast<double>(shardScore(shard, seed) >> 11) + 1) * 0x1p-53;
        order.push_back({ -std::log(unit) / sizes[shard], shard });
    }
    std::sort(order.begin(), order.end(),
              [](const auto &left, const auto &right) { return left.m_score < right.m_score; });
    std::vector<uint32_t> shards;
    shards.reserve(order.size());
    for (const auto &entry : order)
        shards.push_back(entry.m_shard);
    return shards;
}

} // namespace stackquay
