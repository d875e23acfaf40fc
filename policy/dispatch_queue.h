/// Order in which waiting model requests of all VMs start, and how many may start now.
///
/// Engines share their prefill capacity among all prompts that they have, and a stream beyond their
/// slots waits for a slot, so requests that start too early make all of them finish late. Requests
/// therefore wait at their VMs. All VMs receive the same messages about waiting requests as for the
/// stream ledger and compute nearly the same order: by the latest time at which a start still
/// serves the caller. That leaves each caller, whatever the size of its prompt, the same chance to
/// be served before it leaves. A lost message lets one additional request start.
#pragma once

#include <unordered_map>

#include "core/core.h"
#include "policy/stream_ledger.h"

namespace stackquay {

/// A waiting request, as all VMs see it.
struct QueuedRequest {
    /// A later start is not expected to serve the caller before it leaves. The request is dropped
    /// from the queue then, if its end was not reported.
    TimePoint m_latestStart{};
    TimePoint m_order{}; ///< The queue is ordered by this time.
    double m_workMs = 0; ///< Prefill time on one engine; for strict streams, time in a slot.
};

using DispatchQueue = std::unordered_map<LoadKey, QueuedRequest, LoadKeyHash>;

/// What starts before a request.
struct QueuePosition {
    uint32_t m_requestsAhead = 0;
    double m_workAheadMs = 0; ///< Sum of their QueuedRequest::m_workMs.
};

/// The position of @p key in @p queue, without expired requests; behind all if @p key is not in it.
QueuePosition positionOf(const DispatchQueue &queue, const LoadKey &key, TimePoint now);

/// Drops the requests of @p queue that have expired, except @p key.
void dropExpired(DispatchQueue &queue, const LoadKey &key, TimePoint now);

/// In these settings, a long prompt is the prompt of any stream that is not strict, see
/// isStrictGap().
struct DispatchSettings {
    /// Long prompts that may be in prefill at any load. The parts of the next prompt keep engines
    /// busy between the end of a part and the report of it.
    uint32_t m_minConcurrentPrefills = 4;
    /// Prefill backlog of an engine below which further long prompts may start, in passes with the
    /// longest prefill that streams tolerate. A part counts until the first event of its prompt,
    /// one pass after it was prefilled, so one pass is being prefilled and one is not reported yet.
    double m_backlogPasses = 2;
    size_t m_maxPrefillEngines = 17; ///< For one prompt: the answering engine and its helpers.
    /// Fraction of the slots of their side that strict streams may fill.
    double m_maxStrictSlotShare = 0.95;
    /// A prompt that would otherwise be late may disrupt streams (let them exceed their gap limits)
    /// up to this fraction of one engine's slots. Disrupted streams end late and take slots from
    /// others.
    double m_maxDisruptedShare = 0.25;
    /// A prompt that a single engine prefills within this many times the maximum backlog starts
    /// without waiting, unless the backlog of the engines is that long, too. It delays few others,
    /// and would have to wait behind prompts whose prefill takes a hundred times as long.
    double m_cheapPrefillBacklogs = 2;
};

/// Current load of one side of a pool: the engines of strict streams, or those of long prompts.
struct SideLoad {
    uint32_t m_strictStreams = 0; ///< On the engines that are assigned to strict streams.
    uint32_t m_slots = 0; ///< Of all engines of the side.
    size_t m_engines = 1; ///< At least one.
    size_t m_poolEngines = 1; ///< Of both sides, at least one.
    ActivePrefills m_activePrefills; ///< Long prompts of the whole pool.
    /// Engines that the side will have once the strict streams in flight have ended; 0: not known.
    size_t m_expectedEngines = 0;
    FloatMillis m_passPrefill{ 0 }; ///< See maxPassPrefill().
};

/// The pool of a service, as far as expected times depend on it.
struct PoolSize {
    size_t m_engines = 1;
    FloatMillis m_passPrefill{ 0 }; ///< See maxPassPrefill().
};

/// Expected time from the start to the first event, for a long prompt of @p tokens in a pool of
/// @p engines that have @p backlog of prefill before it.
FloatMillis longPromptFirstEvent(const DispatchSettings &settings, const EngineCosts &costs,
                                 double tokens, size_t engines, FloatMillis backlog);
/// Prefill backlog of an engine below which further long prompts may start.
FloatMillis maxBacklogPerEngine(const DispatchSettings &settings, FloatMillis passPrefill);
/// Whether a long prompt is short enough to start without waiting for its place in the order.
bool isCheapPrefill(const DispatchSettings &settings, const EngineCosts &costs,
                    const SideLoad &load, double tokens);
/// Whether a long prompt at @p position may start: also if all before it start, the backlog stays
/// below the limit. If only the first one could, the queue would advance only as fast as VMs poll
/// it, and would stop while the first one finds no engines.
bool mayStartPrefill(const DispatchSettings &settings, const SideLoad &load,
                     const QueuePosition &position);
/// Whether a strict stream at @p position may start, as slots are free.
bool mayStartStream(const DispatchSettings &settings, const SideLoad &load,
                    const QueuePosition &position);

} // namespace stackquay
