/// Stores the quarantined requests in the object store, so that they survive a restart of all VMs.
///
/// The fleet shares one object with at most MaxEntries entries. A VM writes it only if it observed
/// the process exit that led to a quarantine, or if it retries a quarantined request. A VM reads it
/// once, when it first becomes a store watcher; the other VMs receive the content from that VM.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "policy/policy.h"
#include "relay/source.h"

namespace stackquay {

/// Used on the control thread only.
class QuarantineRecord
{
public:
    using Loaded = std::function<void(const std::vector<SuspectReport> &quarantined)>;

    /// @p thread must be stopped before this object is destroyed. @p loaded is called with the
    /// decoded content.
    QuarantineRecord(FiberThread &thread, KindStore &store, const RelaySource &source,
                     Loaded loaded);
    ~QuarantineRecord();
    QuarantineRecord(const QuarantineRecord &) = delete;
    QuarantineRecord &operator=(const QuarantineRecord &) = delete;

    /// Starts to read the object, with retries until that succeeds. Does nothing after the first
    /// call. On the thread.
    void load();
    /// Merges @p quarantined into the stored object, with retries until that succeeds. On the
    /// thread.
    void save(const std::vector<SuspectReport> &quarantined);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Encodes the object's content. Times are stored as wall clock time, because the steady clocks of
/// VMs have no common origin; @p now is the current one.
std::string encodeQuarantined(const std::vector<SuspectReport> &quarantined, WallTime now);
Result<std::vector<SuspectReport>> decodeQuarantined(const std::string &spec, WallTime now);
/// The union of both lists; of two entries for a request, the one with more exits and probes. Keeps
/// the MaxEntries newest ones.
std::vector<SuspectReport> mergeQuarantined(std::vector<SuspectReport> one,
                                            const std::vector<SuspectReport> &other);

} // namespace stackquay
