/// Shards: groups of engines of one data centre. Each shard has one steward, the VM that schedules
/// all requests to its engines.
///
/// With exact accounting for several engines, a steward places requests better than with a single
/// one, and a waiting request goes to the first engine that becomes free. docs/design/routing.md
/// has the measurement behind the size.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/core.h"

namespace stackquay {

inline constexpr uint32_t EndpointsPerShard = 16;

/// Number of shards for @p endpoints engines; at least one.
uint32_t shardCount(size_t endpoints, uint32_t perShard = EndpointsPerShard);

/// The shard of an engine, from 0 to @p shards - 1, by rendezvous hashing: few engines move when
/// the number of shards changes.
uint32_t shardOf(const EndpointId &endpoint, uint32_t shards);

/// Key of a shard for electing its steward by rendezvous hashing over the live VMs.
std::string shardKey(const DataCentreId &dataCentre, uint32_t shard);

/// The shards in order of preference for an affinity key, the same on every VM. @p sizes: number of
/// engines of each shard. A shard comes first with a probability proportional to its size; empty
/// shards are omitted. Without a key (0), the order depends on @p spread, which should differ from
/// request to request.
std::vector<uint32_t> shardOrder(uint64_t affinityKey, uint64_t spread,
                                 std::span<const uint32_t> sizes);

} // namespace stackquay
