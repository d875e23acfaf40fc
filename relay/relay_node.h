/// State shared by all relayed requests of one daemon.
#pragma once

#include <atomic>
#include <deque>
#include <unordered_set>

#include "relay/absence_monitor.h"
#include "relay/endpoint_limiter.h"
#include "relay/load_exchange.h"
#include "relay/part_tracker.h"
#include "relay/path_monitor.h"
#include "relay/relay_codec.h"
#include "relay/relay_metrics.h"
#include "relay/relay_view.h"
#include "relay/retry_broker.h"
#include "relay/suspect_tracker.h"
#include "relay/turn_monitor.h"

namespace stackquay {

class RelayRun;

/// Used on the traffic thread only, except for the atomics.
struct RelayNode {
    /// @p thread is the traffic thread; it must be stopped before the node is destroyed.
    RelayNode(FiberThread &thread, RelaySettings settings, const RelayCodec &codec);

    // Any thread.
    std::atomic<RelayViewPtr> m_view;
    /// The process is shutting down: interrupted waits are no failures of endpoints, and no more
    /// requests are sent.
    std::atomic<bool> m_stopping{ false };

    /// Mirrors PathMonitor::isIsolated().
    std::atomic<bool> m_isolated{ false };
    /// Called on the traffic thread when m_isolated changed. Set before the thread starts.
    std::function<void()> m_isolationChanged;

    const RelaySettings m_settings;
    const RelayCodec &m_dialect;
    FiberThread &m_thread;
    MetricsRegistry m_registry;
    RelayMetrics m_metrics{ m_registry };
    RandomEngine m_random;
    const uint64_t m_origin; ///< Identifies this process in the ledgers of all VMs.
    uint64_t m_sequence = 0;
    HttpPool m_pool;
    StreamLedger m_ledger;
    EjectionTable m_ejections;
    EndpointActivity m_activity;
    SilentAttemptSettings m_silence;
    GangSettings m_gang;
    DispatchSettings m_turns;
    DispatchQueue m_strictQueue; ///< Streams with a strict gap limit that wait for a slot.
    DispatchQueue m_longQueue; ///< Long prompts that wait for their prefill.
    TurnMonitor m_turnMonitor{ *this };
    CustomerUsage m_usage; ///< Of engines, at all VMs of the cell.
    std::unordered_map<ServiceId, ResponseTime> m_responseTimes; ///< Of plain services.
    std::unordered_map<ServiceId, PoolSplit> m_splits;
    LoadExchange m_loads;
    SuspectTracker m_suspects;
    PartTracker m_parts;
    EndpointLimiter m_limiter;
    PathMonitor m_path{ *this };
    std::vector<ForwardPeer> m_forwardPeers; ///< VMs that take requests while this one is isolated.
    RetryBroker m_retryBroker;
    AbsenceMonitor m_absence{ *this };
    /// Watches the store for other VMs, and forwards updates to other cells.
    bool m_watchesStore = false;
    /// See SuspectHooks. Set before the thread starts.
    std::function<void(const std::vector<SuspectReport> &, bool observed)> m_quarantined;
    std::function<void(const SuspectReport &cleared, const std::vector<SuspectReport> &remaining,
                       bool observed)>
        m_quarantineCleared;
    /// See PartHooks::m_changed and m_released. Set before the thread starts.
    std::function<void(const std::vector<PartReport> &, bool store)> m_partsChanged;
    std::function<void(const std::vector<PartReport> &)> m_partsReleased;
    std::unordered_set<RelayRun *> m_runs; ///< Requests in progress.

    /// A unique key for the next attempt.
    LoadKey nextKey() { return { m_origin, ++m_sequence }; }
    DispatchQueue &queueOf(uint32_t gapLimitMs);
    /// Announces to all VMs that a request waits in a queue, until place() or end(). @p turn is the
    /// time after which it is expected to start.
    void announceWaiting(const LoadKey &key, uint32_t gapLimitMs, const QueuedRequest &queued,
                         Duration turn);
    /// Enters an attempt into the ledgers of all VMs; @p suspect is the request's fingerprint if it
    /// is a suspect. @p lifetime bounds the ledger entry. @p customer: its use of engines counts;
    /// zero: it does not.
    void place(const LoadKey &key, std::vector<LoadPart> parts, uint32_t gapLimitMs,
               Duration lifetime, const std::optional<Fingerprint> &suspect = std::nullopt,
               uint64_t customer = 0);
    void recordFirstEvent(const LoadKey &key);
    /// Announces to all VMs that the attempt or wait has ended. Idempotent.
    void end(const LoadKey &key);
    /// Removes what a VM's process, which has exited, had placed or queued.
    void forgetProcess(uint64_t origin);
    /// Drops the state kept for earlier processes of @p restarted: counts, reservations,
    /// connections and failures do not apply to the processes that now run under their ids.
    void forgetRestarted(const std::vector<EndpointRecord> &restarted);
    /// Whether @p endpoint describes the current process, as far as is known.
    bool isCurrentProcess(const EndpointRecord &endpoint) const;
    /// Whether the directory still lists the process of @p endpoint, and it is neither draining nor
    /// evacuated.
    bool acceptsWork(const EndpointRecord &endpoint) const;
    /// Sends the requests that this VM has in flight or queued, and all suspects, to a new VM; to
    /// VMs that start at the same time one after the other.
    void sendState(const Address &peer);
    /// The engines of @p pool that currently serve strict streams.
    std::unordered_set<EndpointId> strictSide(const ServiceId &service, const EngineCosts &costs,
                                              const std::vector<EndpointRecord> &pool,
                                              const EndpointUses &uses);
    /// Load of the engines of @p pool that serve strict streams if @p strict, else of the others.
    /// @p strictSide is the result of strictSide().
    SideLoad sideLoad(const DeclaredService &service, const std::vector<EndpointRecord> &pool,
                      const std::unordered_set<EndpointId> &strictSide, const EndpointUses &uses,
                      bool strict);
    /// See maxPassPrefill().
    FloatMillis passPrefill(const DeclaredService &service) const;
    /// Asks an engine for a response that does not depend on its load, on a connection of its own
    /// if a kept one fails; of a plain service, only whether it accepts a connection, in which case
    /// the response is empty. Blocks the fiber.
    Result<HttpResponse> probe(const EndpointRecord &endpoint, bool engine, Duration timeout);
    /// Notes what an answer of @p endpoint, to a request or an order, says about the endpoint.
    void noteAnswer(const EndpointRecord &endpoint, const ResponseHead &head);
    /// Records a failure of an endpoint observed by this VM.
    void noteFailure(const EndpointId &endpoint, FailureWeight weight, std::string_view why);
    /// Reports to all VMs that @p endpoint broke off a response on a new connection. An idle
    /// connection may have been closed for its age, so those do not count.
    void reportBrokenResponse(const EndpointId &endpoint);
    /// Sets the VMs that hold the retry budget of this data centre and cell.
    void setRetryHolders(const std::vector<RetryHolder> &holders);
    /// Counts a client's request for @p service, which raises the retry budget.
    void countArrival(const ServiceId &service, TimePoint now);
    /// Takes one retry at @p service out of the retry budget of @p view; false if it is used up.
    /// Blocks the fiber for a call to another VM in a large fleet.
    bool spendRetryBudget(const ServiceId &service, const RelayView &view,
                          RetryPurpose purpose = RetryPurpose::Replace);
    /// Whether spendRetryBudget() would currently succeed.
    bool mayRetry(const ServiceId &service, const RelayView &view,
                  RetryPurpose purpose = RetryPurpose::Replace);

private:
    TimePoint m_readySince{}; ///< Time of the first placement; the ledger was incomplete before.
    std::deque<Address> m_stateReceivers; ///< To be sent the state, in this order.
    bool m_sendingState = false;

    void receive(const LoadMessage &message);
    void sendStateTo(const Address &peer);
    void recordUsage(const LoadMessage &placed, TimePoint now);
    void recordPlacement(const LoadMessage &message, TimePoint now);
    void recordBrokenResponse(const EndpointId &endpoint, uint64_t vm);
    /// Records that another VM's attempt @p key received a response.
    void recordResponse(const LoadKey &key);
    CrashBroadcast crashBroadcast();
    SuspectHooks suspectHooks();
    PartHooks partHooks();
    /// Records an exit against the parts of the attempt's prompt. Returns whether the request may
    /// have caused it in another way.
    bool noteExit(const BrokenAttempt &attempt, const EndpointRecord &endpoint);
    LoadMessage placedMessage(const LoadKey &key, const AttemptLoad &load, TimePoint now) const;
    std::vector<LoadMessage> ownLoads(TimePoint now) const;
    std::vector<LoadMessage> ownTurns(TimePoint now) const;
    /// False if the key was in no queue.
    bool removeFromQueues(const LoadKey &key);
    void setRetryBounds(const RelayView &view);
};

} // namespace stackquay
