/// Splits the engines of a pool between strict streams, which tolerate only short gaps between
/// events, and long prompts, whose prefill lengthens every gap on the engines involved.
///
/// All VMs see nearly the same ledger and compute the same split from it: in the order of the
/// engine ids, the first engines serve strict streams. A VM that is off by one engine for a moment
/// only makes a less suitable choice.
#pragma once

#include <unordered_set>
#include <vector>

#include "core/core.h"
#include "policy/endpoint_directory.h"
#include "policy/stream_ledger.h"

namespace stackquay {

struct PoolSplitSettings {
    /// Target fraction of an engine's slots in use by strict streams. With ten of sixteen, a pass
    /// takes about 60 ms, and the prefills of new streams at most double it.
    double m_strictPerSlot = 10.0 / 16;
    /// Strict streams get more than this fraction of the pool only if they would use more than
    /// m_strictPerFullSlot of its slots, so that a burst of long prompts finds engines at once.
    double m_maxStrictShare = 0.85;
    double m_strictPerFullSlot = 11.0 / 16;
    /// If the demand of both sides exceeds the pool, strict streams get at least the engines that
    /// they fill up to this fraction of the slots. Short prompts have to stay fast while long ones
    /// are served, and a stream that waits for a slot delays those that follow.
    double m_strictPerOverloadedSlot = 0.85;
    /// Strict streams in flight count as demand up to this many times the number that arrives in
    /// the declared duration of one. More than one, as streams last longer than declared on full
    /// engines. Streams beyond it are left over from a busier time and stay on their engines.
    double m_maxStreamsPerArrival = 2;
    /// Target fraction of its time that an engine for long prompts spends on prefills.
    double m_longPrefillUtilization = 0.75;
    /// The strict side shrinks no further than to the largest need within this time. Bursts follow
    /// each other closely, and an engine that changes sides disrupts its remaining streams.
    Duration m_shrinkDelay = Millis(1'000);
};

/// Number of engines that strict streams needed at some time.
struct StrictEngineNeed {
    TimePoint m_at{};
    size_t m_engines = 0;
};

/// Demand for strict streams beyond those in flight.
struct StrictDemand {
    uint32_t m_waiting = 0; ///< Requests that wait for a slot, at all VMs.
    uint32_t m_arrivals = 0; ///< Streams placed within StrictRateWindow.
    FloatMillis m_streamTime{ 0 }; ///< Minimum duration of one stream; 0: not declared.
    uint32_t m_slots = 16; ///< Of one engine.
    /// This VM started so recently that it does not know the load of the other VMs yet.
    bool m_peerLoadUnknown = false;
};

/// State of the split of one pool.
struct PoolSplit {
    PoolSplitSettings m_settings;
    std::vector<StrictEngineNeed> m_recentNeeds; ///< Of the last m_shrinkDelay, in falling order.
};

/// The engines of @p pool that are assigned to strict streams now. @p pool has to be sorted by id.
std::unordered_set<EndpointId> strictEngines(PoolSplit &split,
                                             const std::vector<EndpointRecord> &pool,
                                             const EndpointUses &uses, const StrictDemand &strict,
                                             TimePoint now);

/// Number of engines that strict streams will need of a pool of @p engines once those in flight
/// have ended, if they go on to arrive as they do.
size_t expectedStrictEngines(const PoolSplitSettings &settings, const StrictDemand &strict,
                             size_t engines);

} // namespace stackquay
