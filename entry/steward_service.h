/// RPC service of a steward: tracks the load of the endpoints whose shards this VM holds, and
/// grants them to requests of all nodes. Runs on the control thread.
///
/// Grants are advisory: while two VMs both act as steward of a shard, the endpoints still refuse
/// what exceeds their capacity, and only the load balance suffers.
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

    /// Starts the fibers that expire grants and poll the engines. Call on the thread only.
    void start();
    /// Adds and removes endpoints so that they match the shards that @p view assigns to this VM.
    /// Grants of VMs that are not in @p serving are released; a draining VM is still serving.
    void update(const RoutingView &view, const std::set<VmId> &serving);
    /// Called when a polled endpoint starts or stops reporting that it drains. May be empty.
    std::function<void(const EndpointId &, bool draining)> m_onDrainingChanged;

    size_t endpoints() const { return m_steward.m_endpoints.size(); }
    size_t grants() const { return m_steward.m_grants.size(); }
    size_t waiting() const { return m_steward.m_waiting.size(); }

private:
    struct Waiter;

    Result<GrantReply> handleAsk(const AskGrant &message);
    Result<GrantUpdateReply> handleUpdate(const GrantUpdate &message);
    void deliver(const std::vector<GrantDecision> &decisions);
    void addManagedEndpoint(const EndpointRoute &endpoint, const std::vector<ModelId> &models,
                            const std::string &version);
    void removeManagedEndpoint(const EndpointId &endpoint);
    void releaseGrantsOfStoppedVms(const std::set<VmId> &serving);
    void expireLoop();
    void pollLoop();
    void pollState(const EndpointId &id, const Address &address);
    void pollCache(const EndpointId &id, const Address &address);

    /// An endpoint for which this VM is the steward.
    struct ManagedEndpoint {
        Address m_address;
        EndpointFacts m_facts;
        uint64_t m_nextEvent = 0; ///< Next position in the engine's log of cache events.
        bool m_reportedDraining = false;
    };

    Node &m_node;
    FiberThread &m_thread;
    HttpPool m_pool;
    RandomEngine m_random;
    Steward m_steward;
    std::set<std::string> m_shards;
    std::map<EndpointId, ManagedEndpoint> m_managedEndpoints;
    std::map<RequestId, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace stackquay
