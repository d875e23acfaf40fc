/// What all relayed requests of one daemon share.
#pragma once

#include <atomic>
#include <unordered_set>

#include "relay/dialect.h"
#include "relay/load_exchange.h"
#include "relay/relay_metrics.h"
#include "relay/relay_view.h"
#include "relay/suspect_watch.h"

namespace stackquay {

class RelayRun;

/// All but the atomics is used on the traffic thread only.
struct RelayNode {
    /// @p thread is the traffic thread; it must be stopped before the node is destroyed.
    RelayNode(FiberThread &thread, RelaySettings settings, const RelayDialect &dialect);

    // Any thread.
    std::atomic<RelayViewPtr> m_view;
    /// The process ends: waits that break off say nothing of endpoints, and nothing more is sent.
    std::atomic<bool> m_ending{ false };

    const RelaySettings m_settings;
    const RelayDialect &m_dialect;
    FiberThread &m_thread;
    MetricsRegistry m_registry;
    RelayMetrics m_metrics{ m_registry };
    RandomEngine m_random;
    const uint64_t m_origin; ///< Names this process in the ledgers of all VMs.
    uint64_t m_sequence = 0;
    HttpPool m_pool;
    StreamLedger m_ledger;
    EjectionTable m_ejections;
    RetryWindows m_retries;
    GangSettings m_gang;
    TurnSettings m_turns;
    TurnQueue m_strictQueue; ///< Strict streams that wait for a slot.
    TurnQueue m_longQueue; ///< Long prompts that wait to be read.
    std::unordered_map<ServiceId, PoolSplit> m_splits;
    LoadExchange m_loads;
    SuspectWatch m_suspects;
    bool m_onDuty = false; ///< Follows the store for others, and passes news on to other cells.
    /// As SuspectHooks. Set before the thread starts.
    std::function<void(const std::vector<SuspectNews> &, bool seen)> m_condemned;
    std::unordered_set<RelayRun *> m_runs; ///< Requests in progress.

    /// A name for the next attempt.
    LoadKey nextKey() { return { m_origin, ++m_sequence }; }
    TurnQueue &queueOf(uint32_t gapLimitMs);
    /// Tells all VMs that a request waits for its turn; place() or end() ends it.
    void wait(const LoadKey &key, uint32_t gapLimitMs, const WaitingTurn &turn);
    /// Enters an attempt into the ledgers of all VMs; @p suspect is its name if it is a suspect.
    void place(const LoadKey &key, std::vector<LoadPart> parts, uint32_t gapLimitMs,
               Duration lifetime, const std::optional<Fingerprint> &suspect = std::nullopt);
    void startWriting(const LoadKey &key);
    /// Tells all VMs that it is over, if it was placed or waited: a second time says nothing more.
    void end(const LoadKey &key);
    /// Forgets what a VM's process that is gone had placed or waited for.
    void forget(uint64_t origin);
    /// Forgets what earlier processes of @p restarted held: counts, reservations, connections and
    /// failures are not those of the processes that now run under their ids.
    void forgetProcesses(const std::vector<EndpointRecord> &restarted);
    /// Whether the process that @p endpoint describes is, as far as is known, the present one.
    bool isPresent(const EndpointRecord &endpoint) const;
    /// Tells a VM that is new here what this one has in flight, and what waits for its turn.
    void tellAll(const Address &peer);
    /// The engines of @p pool that are for strict streams now.
    std::unordered_set<EndpointId> strictSide(const ServiceId &service, const EngineCosts &costs,
                                              const std::vector<EndpointRecord> &pool,
                                              const EndpointUses &uses);
    /// Notes a failure of an endpoint here.
    void noteFailure(const EndpointId &endpoint, FailureWeight weight, std::string_view why);
    /// Tells all VMs that @p endpoint broke off an answer that came on a new connection: one that
    /// was kept may have ended for its age.
    void noteBrokenOff(const EndpointId &endpoint);
    /// Takes one repeated send to @p service out of the budget of the present view.
    bool takeRepeat(const ServiceId &service, const RelayView &view);
    /// Whether takeRepeat() would be granted now.
    bool mayRepeat(const ServiceId &service, const RelayView &view);

private:
    TimePoint m_readySince{}; ///< First placement: before, nothing was heard of.

    void receive(const LoadMessage &message);
    void countBrokenOff(const EndpointId &endpoint, uint64_t vm);
    /// Another VM's attempt @p key was answered.
    void noteAnswered(const LoadKey &key);
    SuspectHooks suspectHooks();
    LoadMessage placedMessage(const LoadKey &key, const AttemptLoad &load, TimePoint now) const;
    std::vector<LoadMessage> ownLoads(TimePoint now) const;
    std::vector<LoadMessage> ownTurns(TimePoint now) const;
    /// False if it waited in none.
    bool leaveQueues(const LoadKey &key);
    void setRetryBounds(const RelayView &view);
};

} // namespace stackquay
