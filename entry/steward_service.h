/// The steward's side of grants: keeps account of the endpoints whose shards this VM holds, and
/// answers the nodes that ask. Lives on the control thread.
///
/// Stewardship is advice: if two VMs believe that they hold a shard, the endpoints' own refusals
/// decide, and only load suffers.
#pragma once

#include <map>
#include <set>

#include "entry/grant_messages.h"
#include "entry/node.h"

namespace stackquay {

class StewardService
{
public:
    StewardService(Node &node, FiberThread &thread, PeerServer &server);
    ~StewardService();
    StewardService(const StewardService &) = delete;
    StewardService &operator=(const StewardService &) = delete;

    /// Starts the fibers that expire grants and ask the engines. On the thread.
    void start();
    /// Takes over and gives up shards as the view says. Grants of VMs that are not @p serving end;
    /// one that leaves is still serving.
    void update(const RoutingView &view, const std::set<VmId> &serving);
    /// Endpoints that have announced that they are leaving, as asked by this steward.
    std::function<void(const EndpointId &, bool leaving)> m_onLeaving;

    size_t endpoints() const { return m_steward.m_endpoints.size(); }
    size_t grants() const { return m_steward.m_grants.size(); }
    size_t waiting() const { return m_steward.m_waiting.size(); }

private:
    struct Waiter;

    Result<GrantReply> ask(const AskGrant &message);
    Result<GrantNoted> note(const NoteGrant &message);
    void deliver(const std::vector<GrantDecision> &decisions);
    void takeOver(const EndpointRoute &endpoint, const std::vector<ModelId> &models,
                  const std::string &version);
    void giveUp(const EndpointId &endpoint);
    void releaseOfDeadVms(const std::set<VmId> &serving);
    void expireLoop();
    void pollLoop();
    void pollState(const EndpointId &id, const Address &address);
    void pollCache(const EndpointId &id, const Address &address);

    /// An endpoint that this VM keeps account of.
    struct Owned {
        Address m_address;
        EndpointFacts m_facts;
        uint64_t m_nextEvent = 0; ///< Of the engine's cache events.
        bool m_saidLeaving = false;
    };

    Node &m_node;
    FiberThread &m_thread;
    HttpPool m_pool;
    RandomEngine m_random;
    Steward m_steward;
    std::set<std::string> m_shards;
    std::map<EndpointId, Owned> m_owned;
    std::map<RequestId, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace stackquay
