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
    /// Part of an engine's slots that strict streams are meant to have at once: with ten of
    /// sixteen, a pass takes about 60 ms, and reads of newcomers double it at most.
    double m_strictPerSlot = 10.0 / 16;
    /// More engines than this part of the pool are given to strict streams only if these have so
    /// many an engine that they fill it: a burst of long prompts needs engines from its first.
    double m_strictShare = 0.85;
    double m_strictPerFullSlot = 11.0 / 16;
    /// If both sides need more than there is, strict streams fill engines up to this part of their
    /// slots, and get as many: for its time of an engine, one in time is worth about twice as much
    /// as a long prompt (the users' sheets), and late ones crowd out those that follow.
    double m_strictPerCrowdedSlot = 0.85;
    /// Strict streams in flight count up to this many times what arrives while one lasts: beyond
    /// it they are what a busier time has left, and stay where they are. Streams on full engines
    /// last longer than declared.
    double m_mostPerArrival = 2;
    /// Part of its time that an engine for long prompts is meant to read.
    double m_longUtilization = 0.75;
    /// The strict part shrinks only to what was needed in this time: bursts come in clumps, and an
    /// engine that changes sides spoils the streams that it still writes.
    Duration m_memory = Millis(1'000);
};

/// Engines that strict streams were given at some moment.
struct PoolNeed {
    TimePoint m_at{};
    size_t m_engines = 0;
};

/// What is known of strict streams beside those in flight.
struct StrictDemand {
    uint32_t m_waiting = 0; ///< For a slot, at all VMs.
    uint32_t m_arrivals = 0; ///< Within StrictRateWindow.
    FloatMillis m_streamTime{ 0 }; ///< That one takes, at least; zero: not declared.
    uint32_t m_slots = 16; ///< Of one engine.
    /// This VM cannot know yet what the others do: it began a moment ago.
    bool m_blind = false;
};

struct PoolSplit {
    PoolSplitSettings m_settings;
    std::vector<PoolNeed> m_needs; ///< Of the last while, falling.
};

/// The engines of @p pool, which is sorted by id, that are for strict streams now.
std::unordered_set<EndpointId> strictEngines(PoolSplit &split,
                                             const std::vector<EndpointRecord> &pool,
                                             const EndpointUses &uses, const StrictDemand &strict,
                                             TimePoint now);

} // namespace stackquay
