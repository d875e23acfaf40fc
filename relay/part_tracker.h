/// Finds the parts of prompts that crash engines, and reports them to all VMs.
///
/// A crash is reported to all VMs by each VM that had an unanswered request at the process; there
/// is no traffic while no engine exits. A VM on whose stream an answer has begun replies that the
/// parts of its prompt are sound. Quarantined parts are kept in the store, for VMs that start and
/// for data centres that are cut off from each other (relay/part_record.h).
#pragma once

#include <memory>

#include "relay/crash_broadcast.h"

namespace stackquay {

/// Connections to the other VMs, the requests in progress and the daemon.
struct PartHooks {
    CrashBroadcast m_fleet;
    /// Whether an answer to a request in progress on this VM has begun on @p part.
    std::function<bool(uint64_t part)> m_isAnswered;
    /// Called when more requests are refused than before.
    std::function<void()> m_refusesMore;
    /// Called when the suspects changed. @p store: this VM is to store the quarantined parts.
    std::function<void(const std::vector<PartReport> &quarantined, bool store)> m_changed;
    /// Called when quarantined parts have turned out to be sound on this VM.
    std::function<void(const std::vector<PartReport> &released)> m_released;
};

/// Used on the traffic thread only.
class PartTracker
{
public:
    /// @p thread must be stopped before this object is destroyed.
    PartTracker(FiberThread &thread, PartHooks hooks);
    ~PartTracker();
    PartTracker(const PartTracker &) = delete;
    PartTracker &operator=(const PartTracker &) = delete;

    /// Whether no part is suspected.
    bool empty() const;
    const PartTable &table() const;
    /// To be called when @p process exited at @p at, before it began to answer the request.
    void noteCrash(const PromptParts &prompt, uint64_t process, const Fingerprint &request,
                   TimePoint at);
    /// To be called when an engine has written a whole answer to a request, also if no part is
    /// suspected.
    void noteAnswered(const PromptParts &prompt);
    /// To be called when a quarantined request is sent as a probe.
    void noteProbe(const PromptParts &prompt);
    void receive(const LoadMessage &message);
    /// Merges suspects reported by another VM or read from the store.
    void merge(const std::vector<PartReport> &reports);
    /// All suspects, as messages for a new VM.
    std::vector<LoadMessage> allSuspects() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace stackquay
