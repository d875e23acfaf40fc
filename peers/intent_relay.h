/// Spreads revisions of the declared intent inside a data centre.
///
/// Two VMs watch the store on behalf of all. Every probe carries the revision in force at its
/// sender; who learns of a higher one pulls the difference from a VM that has it. Only higher
/// revisions are taken.
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

/// NotFound if the VM has no higher revision than m_above.
struct RevisionFetch {
    using Reply = RevisionSteps;
    static constexpr std::string_view RpcName = "revision.fetch";
    uint64_t m_above = 0;
    MSGPACK_DEFINE(m_above)
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

/// Where a data centre stands with a revision.
struct RevisionSpread {
    uint32_t m_vms = 0;
    std::vector<VmId> m_behind; ///< Have a lower one, or did not answer.
    MSGPACK_DEFINE(m_vms, m_behind)
};

/// Asks one VM about its whole data centre.
struct RevisionSpreadQuery {
    using Reply = RevisionSpread;
    static constexpr std::string_view RpcName = "revision.spread";
    uint64_t m_revision = 0;
    MSGPACK_DEFINE(m_revision)
};

/// What the relay needs from the daemon. All are called in fibers of the control thread.
struct IntentRelayHooks {
    using Taker = std::function<void(RevisionText)>;

    /// Reads the present revision from the store.
    std::function<Result<RevisionText>()> m_load;
    /// Hands over each higher revision that the store gets, until m_stopWatch or the thread stops.
    std::function<void(uint64_t above, const Taker &)> m_watch;
    std::function<void()> m_stopWatch;
    /// Brings a revision into force. On an error the present one stays.
    std::function<Status(const RevisionText &)> m_apply;
};

struct IntentRelayOptions {
    Millis m_fetchTimeout{ 3'000 };
    Millis m_queryTimeout{ 1'000 };
    Millis m_rolePeriod{ 1'000 }; ///< How often the VM looks whether it has to watch.
    Millis m_retry{ 200 }; ///< First wait after a failed pull or load; doubles up to m_retryMax.
    Millis m_retryMax{ 5'000 };
};

class IntentRelay
{
public:
    /// Registers its calls with @p server; all arguments must outlive the thread's run.
    IntentRelay(FiberThread &thread, Membership &membership, PeerServer &server, PeerClient &client,
                IntentRelayHooks hooks, IntentRelayOptions options = {});
    ~IntentRelay();
    IntentRelay(const IntentRelay &) = delete;
    IntentRelay &operator=(const IntentRelay &) = delete;

    /// Starts to load and to watch. On the thread, or before it starts.
    void start();
    /// To be called from the membership's change callback.
    void membersChanged(const MemberListPtr &list);
    /// Brings a revision into force here if it is higher than the present one. On the thread.
    Status offer(RevisionText text);

    /// Whether the store or a peer has answered, so that the intent in force is a real one.
    bool ready() const; ///< Any thread.
    uint64_t revision() const; ///< Any thread.
    /// The text in force. On the thread.
    const RevisionText &present() const;
    /// Asks the VMs of this data centre; blocks the fiber, at most for the query timeout.
    RevisionSpread spread(uint64_t revision);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace stackquay
