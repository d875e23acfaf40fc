/// Finds the requests that crash the endpoints which run them, and reports them to all VMs.
///
/// A process exit under a request is reported immediately to all VMs, by the VM that observed it
/// and by the store watchers (relay/crash_broadcast.h); there is no traffic while no endpoint
/// exits. A new VM receives all suspects together with the requests in flight. Quarantined requests
/// are also kept in the store (relay/quarantine_record.h).
#pragma once

#include <functional>
#include <vector>

#include "relay/crash_broadcast.h"
#include "relay/exit_probe.h"

namespace stackquay {

/// An attempt whose response broke off.
struct BrokenAttempt {
    std::vector<EndpointRecord> m_endpoints; ///< The first one is the one that answers.
    Fingerprint m_fingerprint;
    PromptParts m_parts;
    bool m_answered = false; ///< The answer had begun.
    TimePoint m_begun{}; ///< When the request was sent.
    TimePoint m_at{};
};

/// Connections to the other VMs and to the daemon.
struct SuspectHooks {
    /// Returns whether this VM may send a probe of a suspect that is due.
    std::function<bool(const SuspectTable &table, const Fingerprint &fingerprint)> m_mayProbe;
    /// Returns whether this VM reaches an endpoint other than @p endpoint now. Blocks the fiber.
    std::function<bool(const EndpointRecord &endpoint)> m_reachesOthers;
    /// Returns whether the store shows that the process of @p endpoint is gone.
    std::function<bool(const EndpointRecord &endpoint)> m_isGone;
    CrashBroadcast m_fleet;
    /// Called when the process of @p endpoint, one of the attempt's, has exited. Returns whether
    /// the request may have caused it.
    std::function<bool(const BrokenAttempt &attempt, const EndpointRecord &endpoint)> m_exited;
    /// Called when a request was quarantined, or a probe of it failed; @p observed: this VM itself
    /// observed the exit that led to it.
    std::function<void(const std::vector<SuspectReport> &quarantined, bool observed)> m_quarantined;
    /// Called when a quarantined request was cleared; @p remaining: those that still are.
    /// @p observed: it completed on this VM.
    std::function<void(const SuspectReport &cleared, const std::vector<SuspectReport> &remaining,
                       bool observed)>
        m_cleared;
};

/// Used on the traffic thread only.
class SuspectTracker
{
public:
    /// @p thread must be stopped before this object is destroyed.
    SuspectTracker(FiberThread &thread, SuspectHooks hooks);
    ~SuspectTracker();
    SuspectTracker(const SuspectTracker &) = delete;
    SuspectTracker &operator=(const SuspectTracker &) = delete;

    bool empty() const;
    /// Whether a request with this outline may be a suspect; otherwise its fingerprint is not
    /// needed.
    bool mayContain(uint64_t outline) const;
    /// To be called when the response of an attempt broke off. Returns whether the process of one
    /// of its endpoints has exited, which makes the request a suspect. Blocks the fiber for a
    /// connection attempt, and after an exit for some milliseconds more, so that the suspects of
    /// one exit see each other's placements. If no exit is seen, checks again: of a suspect before
    /// it returns, of others in the background.
    bool noteBrokenResponse(const BrokenAttempt &attempt);
    /// Clears the suspects of the exits of @p processes, whose cause is known to be another.
    void excuse(const std::unordered_set<uint64_t> &processes);
    /// To be called when the request received a whole successful response; for one that is no
    /// suspect as well, if its fingerprint is cheap.
    void noteCompleted(const Fingerprint &fingerprint);
    /// Decides how an attempt with the key @p own may run.
    SuspectDecision decideAttempt(const Fingerprint &fingerprint, const LoadKey &own) const;
    /// Records an attempt of a suspect, of this VM or another one.
    void beginSuspectAttempt(const Fingerprint &fingerprint, const LoadKey &key, Duration lifetime);
    void endSuspectAttempt(const LoadKey &key);
    /// The suspect that the attempt in flight belongs to; nothing if it belongs to none.
    std::optional<Fingerprint> suspectOf(const LoadKey &key) const;
    /// The endpoints of @p pool on which an attempt with this care may run; all of them if there
    /// are none. Other requests are kept off engines on which a suspect runs alone.
    std::vector<EndpointRecord> eligibleEndpoints(SuspectHandling care,
                                                  std::vector<EndpointRecord> pool,
                                                  StreamLedger &ledger) const;
    void receive(const LoadMessage &message);
    /// Merges suspects reported by another VM or read from the store.
    void merge(const std::vector<SuspectReport> &reports);
    /// All suspects, as messages for a new VM.
    std::vector<LoadMessage> allSuspects() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace stackquay
