/// The daemon that relays declared routes on a platform: threads, servers and control state, from
/// start to drained.
#pragma once

#include <future>
#include <memory>

#include "relay/condemned_record.h"
#include "relay/fleet_link.h"
#include "relay/relay_node.h"
#include "relay/store_follower.h"

namespace stackquay {

/// How the daemon speaks with one kind of platform.
struct RelayAdapter {
    const RelayDialect &m_requests;
    const KindDialect &m_objects;
    const RelaySource &m_source;
};

class RelayDaemon
{
public:
    /// Binds every address, and starts all threads.
    static Result<std::unique_ptr<RelayDaemon>> start(const RelaySettings &settings,
                                                      const RelayAdapter &adapter);
    ~RelayDaemon();

    /// Begins to drain: not ready, goes on accepting until the balancer has noticed, then finishes
    /// what is in progress. Any thread; a second call changes nothing.
    void drain();
    /// Returns once drained.
    void wait();
    /// Takes the bounds of other settings; addresses do not change while it runs. Any thread.
    void reload(const RelaySettings &settings);

    Address clientsAddress() const { return m_clientsAddress; }
    Address readyAddress() const { return m_readyAddress; }
    RelayNode &node() { return *m_node; }

private:
    RelayDaemon(const RelaySettings &settings, const RelayAdapter &adapter);

    Status listen();
    FollowerHooks followerHooks();
    FleetHooks fleetHooks();
    BeliefSummary ownBeliefs() const;
    Beliefs answerPeer(const AskBeliefs &question) const;
    void tellNews();
    void packRoutes(const std::string &spec);
    void takeBeliefs(const Beliefs &beliefs, Duration callTime);
    void takeProof(const FreshnessProof &proof);
    void noteEra(uint64_t era);
    void takeCondemned(const std::vector<SuspectNews> &condemned);
    void changeView(const std::function<void(RelayView &)> &change);
    void answerReady(HttpExchange &exchange);
    /// @p begun is when the daemon was told to stop: the grace is counted from then.
    void drainFiber(TimePoint begun);
    void endRequests();

    const RelaySettings m_settings;
    const RelayAdapter m_adapter;
    FiberThread m_control{ "control" };
    FiberThread m_traffic{ "traffic" };
    std::unique_ptr<RelayNode> m_node;
    std::unique_ptr<HttpServer> m_clients;
    std::unique_ptr<HttpServer> m_ready;
    std::unique_ptr<KindStore> m_store;
    std::unique_ptr<StoreFollower> m_follower;
    std::unique_ptr<FleetLink> m_fleet;
    std::unique_ptr<CondemnedRecord> m_record;
    Address m_clientsAddress;
    Address m_readyAddress;
    std::vector<SuspectNews> m_condemned; ///< As the traffic thread last said. Control thread.
    uint64_t m_era = 0; ///< The highest heard of. Control thread.
    std::string m_packedRoutes; ///< As in the store, packed for peers. Control thread.
    FreshnessProof m_proof; ///< The best known, also of a version not yet here. Control thread.
    std::atomic<bool> m_drainBegun{ false };
    std::promise<void> m_drained;
};

} // namespace stackquay
