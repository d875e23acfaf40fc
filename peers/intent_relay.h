/// Replicates revisions of the declared intent inside a data centre.
///
/// Two VMs watch the store on behalf of all. Every probe carries the revision in force at its
/// sender. A VM that receives a higher revision number pulls the patches from a VM that has it.
/// A revision is applied only if it is higher than the one in force.
#pragma once

#include <functional>

#include "peers/membership.h"
#include "peers/rendezvous.h"
#include "peers/revision_history.h"
#include "peers/rpc.h"

namespace stackquay {

struct RevisionSteps {
    std::vector<RevisionStep> m_steps;
    MSGPACK_DEFINE(m_steps)
};

/// Requests the patches that follow m_afterRevision. NotFound if the VM has no higher revision.
struct RevisionFetch {
    using Reply = RevisionSteps;
    static constexpr std::string_view RpcName = "revision.fetch";
    uint64_t m_afterRevision = 0;
    MSGPACK_DEFINE(m_afterRevision)
};

struct RevisionInForce {
    uint64_t m_revision = 0;
    MSGPACK_DEFINE(m_revision)
};

struct RevisionQuery {
    using Reply = RevisionInForce;
    static constexpr std::string_view RpcName = "revision.query";
    uint64_t m_unused = 0;
    MSGPACK_DEFINE(m_unused)
};

/// How many VMs of a data centre have applied a revision.
struct RevisionSpread {
    uint32_t m_vms = 0;
    std::vector<VmId> m_behind; ///< VMs that have a lower revision, or did not reply.
    MSGPACK_DEFINE(m_vms, m_behind)
};

/// Asks one VM for the RevisionSpread of its whole data centre.
struct RevisionSpreadQuery {
    using Reply = RevisionSpread;
    static constexpr std::string_view RpcName = "revision.spread";
    uint64_t m_revision = 0;
    MSGPACK_DEFINE(m_revision)
};

/// Callbacks into the daemon. All are called in fibers of the control thread.
struct IntentRelayHooks {
    using RevisionCallback = std::function<void(RevisionText)>;

    /// Reads the current revision from the store.
    std::function<Result<RevisionText>()> m_load;
    /// Passes each revision above the given one that is written to the store to the callback.
    /// Blocks the fiber until m_stopWatch is called or the thread stops.
    std::function<void(uint64_t above, const RevisionCallback &)> m_watch;
    std::function<void()> m_stopWatch;
    /// Applies a revision. On an error the current one stays in force.
    std::function<Status(const RevisionText &)> m_apply;
};

struct IntentRelayOptions {
    Millis m_fetchTimeout{ 3'000 };
    Millis m_queryTimeout{ 1'000 };
    /// Interval of the check whether this VM is a store watcher.
    Millis m_roleCheckInterval{ 1'000 };
    Millis m_retry{ 200 }; ///< First delay after a failed pull or load; doubles up to m_retryMax.
    Millis m_retryMax{ 5'000 };
};

class IntentRelay
{
public:
    /// Registers its RPC handlers with @p server. All references must stay valid until the thread
    /// has stopped.
    IntentRelay(FiberThread &thread, Membership &membership, PeerServer &server, PeerClient &client,
                IntentRelayHooks hooks, IntentRelayOptions options = {});
    ~IntentRelay();
    IntentRelay(const IntentRelay &) = delete;
    IntentRelay &operator=(const IntentRelay &) = delete;

    /// Starts loading from the store and watching it. Call on the thread, or before it starts.
    void start();
    /// To be called from the membership's change callback.
    void membersChanged(const MemberListPtr &list);
    /// Applies a revision if it is higher than the current one; ignores it otherwise. While another
    /// is being applied, only the highest offered one is kept and applied next. Call on the thread.
    Status offer(RevisionText text);

    /// Whether an intent was received from the store or a peer since the start.
    bool ready() const; ///< Any thread.
    uint64_t revision() const; ///< Any thread.
    /// The revision in force. Call on the thread.
    const RevisionText &present() const;
    /// Asks the VMs of this data centre that are not known to have applied @p revision. Blocks the
    /// fiber, at most for the query timeout.
    RevisionSpread spread(uint64_t revision);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace stackquay
