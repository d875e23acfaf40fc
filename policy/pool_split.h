/// Divides the engines of a pool between strict streams, which bear only short pauses, and long
/// prompts, whose parts lengthen every pause on the engines that read them.
///
/// All VMs see about the same ledger and compute the same division from it: the engines in order of
/// their ids, the first ones for strict streams. A VM that differs by an engine for a moment makes
/// one choice worse, nothing more.
#pragma once

#include <unordered_set>
#include <vector>

#include "core/core.h"
#include "policy/endpoint_directory.h"
#include "policy/stream_ledger.h"

namespace stackquay {

struct PoolSplitSettings {
    double m_strictPerEngine = 10; ///< Strict streams that an engine is meant to have at once.
    size_t m_leastStrict = 2; ///< Engines, unless the pool is too small.
    double m_leastLongShare = 0.25; ///< Of the engines, kept for long prompts.
    /// The strict part shrinks only to what was needed in this time: bursts come in clumps, and an
    /// engine that changes sides spoils the streams that it still writes.
    Duration m_memory = Millis(2'500);
};

/// Engines needed for strict streams, at some moment.
struct PoolNeed {
    TimePoint m_at{};
    size_t m_engines = 0;
};

struct PoolSplit {
    PoolSplitSettings m_settings;
    std::vector<PoolNeed> m_needs; ///< Of the last while, falling.
};

/// The engines of @p pool, which is sorted by id, that are for strict streams now.
std::unordered_set<EndpointId> strictEngines(PoolSplit &split,
                                             const std::vector<EndpointRecord> &pool,
                                             const EndpointUses &uses, TimePoint now);

} // namespace stackquay
