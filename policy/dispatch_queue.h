/// Order in which waiting model requests of all VMs start, and how many may start now.
///
/// Engines share their prefill capacity among all prompts that they have, and a stream beyond their
/// slots waits for a slot, so requests that start too early make all of them finish late. Requests
/// therefore wait at their VMs. All VMs receive the same messages about waiting requests as for the
/// stream ledger and compute nearly the same order: by the latest start time, and requests that can
/// no longer meet their latency target after all others. A request that cannot be answered in time
/// even if it starts now is refused at once, so that engines do not prefill what comes too late
/// anyway. A lost message lets one additional request start.
///
/// Under overload some requests are refused; which ones follows from the order and from the time
/// that each may wait. Both derive from the latest start time, and no prompt size of a route may
/// wait for less time than another. With the latency target as the order, all refusals would fall
/// on the prompts that take longest to prefill.
#pragma once

#include <unordered_map>

#include "core/core.h"
#include "policy/stream_ledger.h"

namespace stackquay {

/// A waiting request, as all VMs see it.
struct QueuedRequest {
    TimePoint m_targetAt{}; ///< Latest time of a first event that is in time.
    Duration m_minTimeToFirstEvent{}; ///< Minimum time from the start to the first event.
    TimePoint m_expiresAt{}; ///< Dropped from the queue then if its end was not reported.
    Duration m_orderLead{}; ///< The queue is ordered by m_targetAt minus this.
    double m_workMs = 0; ///< Its prefill time on one engine; 0 for strict streams.
};

using DispatchQueue = std::unordered_map<LoadKey, QueuedRequest, LoadKeyHash>;

/// Number of requests in @p queue that start before @p key; 0 if @p key is not in the queue.
uint32_t requestsAhead(const DispatchQueue &queue, const LoadKey &key, TimePoint now);

/// Sum of QueuedRequest::m_workMs of the requests in @p queue that start before @p key; of all, if
/// @p key is not in it.
double workAhead(const DispatchQueue &queue, const LoadKey &key, TimePoint now);

/// Whether @p key is among the first @p room requests of @p queue, or not in it. Drops expired
/// requests of others.
///
/// All requests within @p room may start at once. If each had to wait until the one before it has
/// left, the queue would advance only as fast as VMs poll it and exchange messages.
bool mayStartNow(DispatchQueue &queue, const LoadKey &key, uint32_t room, TimePoint now);

/// Whether a first event that comes @p firstEvent after @p now meets the latency target.
bool isInTime(const QueuedRequest &queued, FloatMillis firstEvent, TimePoint now);

/// Whether the first event would be late even if the request started now.
bool isTooLate(const QueuedRequest &queued, TimePoint now);

/// In these settings, a long prompt is the prompt of any stream that is not strict, see
/// isStrictGap().
struct DispatchSettings {
    /// Long prompts that may be in prefill at any load. The parts of the next prompt keep engines
    /// busy between the end of a part and the report of it.
    uint32_t m_minConcurrentPrefills = 4;
    /// More long prompts may start while the prefill backlog per engine of their side is below this
    /// fraction of the longest latency target. A part counts in full until the first event. A lower
    /// limit leaves engines idle; a much higher one makes prompts late that start at the end of
    /// their wait.
    double m_maxBacklogShare = 0.25;
    /// Added to the prefill time of a prompt that has waited: one and a half passes, and the full
    /// backlog, as engines share their prefill capacity among all prompts.
    FloatMillis m_prefillOverhead{ 700 };
    size_t m_maxPrefillEngines = 17; ///< For one prompt: the answering engine and its helpers.
    /// Fraction of the slots of their side that strict streams may fill.
    double m_maxStrictSlotShare = 0.95;
    /// Time to a strict stream's first event beyond its prefill: one and a half passes of a full
    /// engine.
    FloatMillis m_strictFirstEventTime{ 130 };
    /// Factor on the predicted time to the first event of a prompt that has waited, because prompts
    /// that start after it are prefilled concurrently. The order counts it, too: a large prompt
    /// whose turn came after its latest start with the margin would be refused in its turn.
    double m_predictionMargin = 1.3;
    /// A prompt that would otherwise be late may disrupt streams (let them exceed their gap limits)
    /// up to this fraction of one engine's slots. Disrupted streams end late and take slots from
    /// others.
    double m_maxDisruptedShare = 0.25;
    /// Fraction of its latency target that a long prompt of any size may wait. A prompt that needs
    /// longer than the remaining time may be late. A larger fraction makes small prompts late that
    /// would have been in time.
    double m_maxWaitShare = 0.5;
    /// A prompt that a single engine prefills within this many times the maximum backlog starts
    /// without waiting, unless the backlog of the engines is that long, too. It delays few others,
    /// and would have to wait behind prompts whose prefill takes a hundred times as long.
    double m_cheapPrefillBacklogs = 2;
    /// A retry waits at most this fraction of the time after which clients leave a silent stream.
    double m_patienceShare = 0.55;
    /// A retry waits at most this fraction of the time from its arrival to its deadline.
    double m_deadlineShare = 0.4;
};

/// Current load of one side of a pool: the engines of strict streams, or those of long prompts.
struct SideLoad {
    Duration
        m_longestLatencyTarget{}; ///< Longest latency target of the routes that share the pool.
    uint32_t m_strictStreams = 0; ///< On the engines that are assigned to strict streams.
    uint32_t m_slots = 0; ///< Of all engines of the side.
    size_t m_engines = 1; ///< At least one.
    ActivePrefills m_activePrefills; ///< Long prompts of the whole pool.
    /// Engines that the side will have once the strict streams in flight have ended; 0: not known.
    size_t m_expectedEngines = 0;
};

/// Expected time from the start to the first event, for a long prompt of @p tokens that had to wait
/// in a pool of @p engines. An underestimate would let prompts start that just miss their latency
/// target.
FloatMillis longPromptFirstEvent(const DispatchSettings &settings, const EngineCosts &costs,
                                 double tokens, size_t engines);
/// Prefill backlog of an engine below which further long prompts may start.
FloatMillis maxBacklogPerEngine(const DispatchSettings &settings, const SideLoad &load);
/// Prefill time on one engine below which a long prompt may start without waiting.
FloatMillis cheapPrefillLimit(const DispatchSettings &settings, const SideLoad &load);
/// Whether a long prompt is short enough to start without waiting for its place in the order.
bool isCheapPrefill(const DispatchSettings &settings, const EngineCosts &costs,
                    const SideLoad &load, double tokens);
/// Number of further long prompts that may start now.
uint32_t prefillsAllowed(const DispatchSettings &settings, const SideLoad &load);
/// Number of further strict streams that may start now, as slots are free.
uint32_t strictStreamsAllowed(const DispatchSettings &settings, const SideLoad &load);

} // namespace stackquay
