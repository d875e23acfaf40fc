/// What is condemned, kept on the platform, for VMs that start when no other lives.
///
/// One object for the fleet, of at most MostCondemned entries. It is written only when a VM has
/// itself seen the end that condemned a request, or tries a condemned one again; read once by a VM
/// that first takes the duty to follow the store, whose neighbours hear of it from that VM.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "policy/policy.h"
#include "relay/source.h"

namespace stackquay {

/// For the control thread.
class CondemnedRecord
{
public:
    using Loaded = std::function<void(const std::vector<SuspectNews> &condemned)>;

    /// @p thread must be stopped before this is destroyed. @p loaded hears what the object says.
    CondemnedRecord(FiberThread &thread, KindStore &store, const RelaySource &source,
                    Loaded loaded);
    ~CondemnedRecord();
    CondemnedRecord(const CondemnedRecord &) = delete;
    CondemnedRecord &operator=(const CondemnedRecord &) = delete;

    /// Reads the object until that succeeds, if it was not read yet. On the thread.
    void load();
    /// Enters @p condemned into the object, until that succeeds. On the thread.
    void keep(const std::vector<SuspectNews> &condemned);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// The object's content; @p now is the time of day, as the clocks of VMs start anywhere.
std::string writeCondemned(const std::vector<SuspectNews> &condemned, WallTime now);
Result<std::vector<SuspectNews>> readCondemned(const std::string &spec, WallTime now);
/// Both, with the higher counts; the latest, if there are too many.
std::vector<SuspectNews> joinCondemned(std::vector<SuspectNews> one,
                                       const std::vector<SuspectNews> &other);

} // namespace stackquay
