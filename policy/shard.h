/// Shards: groups of a data centre's engines that have one steward together.
///
/// A steward that knows several engines exactly places a request better than one that knows a
/// single engine, and its waiting requests go to whichever is free first. docs/design/routing.md
/// has the measurement behind the size.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/core.h"

namespace stackquay {

inline constexpr uint32_t EndpointsPerShard = 16;

/// Number of shards for so many engines; at least one.
uint32_t shardCount(size_t endpoints, uint32_t perShard = EndpointsPerShard);

/// The shard that an engine belongs to. Few engines move when the number of shards changes.
uint32_t shardOf(const EndpointId &endpoint, uint32_t shards);

/// The key of a shard's steward for rendezvous hashing over the live VMs.
std::string shardKey(const DataCentreId &dataCentre, uint32_t shard);

/// The shards by preference for an affinity key: the same for every node, and each first in
/// proportion to its number of engines in @p sizes; empty ones are left out. Without a key (0),
/// @p spread decides, which should differ from request to request.
std::vector<uint32_t> shardOrder(uint64_t affinityKey, uint64_t spread,
                                 std::span<const uint32_t> sizes);

} // namespace stackquay
