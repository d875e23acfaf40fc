/// The daemon that relays declared routes on a platform: threads, servers and control state, from
/// the start to the end of the drain.
#pragma once

#include <future>
#include <memory>

#include "relay/fleet_link.h"
#include "relay/part_record.h"
#include "relay/quarantine_record.h"
#include "relay/relay_node.h"
#include "relay/store_follower.h"
#include "relay/vm_load_monitor.h"

namespace stackquay {

/// Codecs for one kind of platform.
struct RelayAdapter {
    const RelayCodec &m_requests;
    const KindCodec &m_objects;
    const RelaySource &m_source;
};

class RelayDaemon
{
public:
    /// Binds all addresses and starts all threads. Returns an error if an address cannot be bound.
    static Result<std::unique_ptr<RelayDaemon>> start(const RelaySettings &settings,
                                                      const RelayAdapter &adapter);
    ~RelayDaemon();

    /// Starts to drain: reports not ready, accepts requests until the load balancer has noticed,
    /// then finishes what is in progress. Any thread; idempotent.
    void drain();
    /// Blocks until the daemon has drained.
    void wait();
    /// Applies the bounds of @p settings; the addresses stay as they are. Any thread.
    void reload(const RelaySettings &settings);

    Address clientsAddress() const { return m_clientsAddress; }
    Address readyAddress() const { return m_readyAddress; }
    RelayNode &node() { return *m_node; }

private:
    RelayDaemon(const RelaySettings &settings, const RelayAdapter &adapter);

    Status listen();
    HttpServerLimits serverLimits(const ClientLimits &limits) const;
    FollowerHooks followerHooks();
    FleetHooks fleetHooks();
    StateSummary ownSummary() const;
    StateSnapshot answerStateRequest(const StateRequest &request) const;
    /// Logs the calls to the store since the start, periodically while their number changes.
    void logStoreCalls();
    void announceChange();
    void packRoutes(const std::string &spec);
    /// Returns false if the changes of the endpoints in @p state do not apply.
    bool applyPeerState(const StateSnapshot &state, Duration callTime);
    bool applyPeerEndpoints(const StateSnapshot &state);
    /// The endpoints in @p state; nothing if they are changes that do not apply.
    std::optional<EndpointMap> peerEndpoints(const StateSnapshot &state) const;
    void applyProof(const FreshnessProof &proof);
    void noteEra(uint64_t era);
    /// Tells the traffic thread which endpoints restarted or left the directory.
    void handleDepartures(const EndpointDirectory &before, const EndpointDirectory &now);
    void startRecords();
    void addQuarantined(const std::vector<SuspectReport> &quarantined);
    void addQuarantinedParts(const std::vector<PartReport> &quarantined);
    void noteParts(const std::vector<PartReport> &quarantined, bool store);
    void updateView(const std::function<void(RelayView &)> &change);
    void handleReadyRequest(HttpExchange &exchange);
    /// @p begun is the time of the stop signal, from which the grace period counts.
    void drainFiber(TimePoint begun);
    void abortRequests();
    /// Requests in progress, of clients and of other VMs.
    size_t activeRequests() const;

    const RelaySettings m_settings;
    const RelayAdapter m_adapter;
    FiberThread m_control{ "control" };
    FiberThread m_traffic{ "traffic" };
    MemoryBudget m_clientMemory;
    ClientConnections m_connections; ///< Of clients and of VMs that forward requests.
    std::unique_ptr<RelayNode> m_node;
    std::unique_ptr<HttpServer> m_clients;
    std::unique_ptr<HttpServer> m_forward; ///< Requests that other VMs forward.
    std::unique_ptr<HttpServer> m_ready;
    std::unique_ptr<VmLoadMonitor> m_loadMonitor;
    std::unique_ptr<KindStore> m_store;
    std::unique_ptr<StoreFollower> m_follower;
    std::unique_ptr<FleetLink> m_fleet;
    std::unique_ptr<QuarantineRecord> m_quarantineRecord;
    std::unique_ptr<PartRecord> m_partRecord;
    Address m_clientsAddress;
    Address m_readyAddress;
    std::vector<SuspectReport>
        m_quarantined; ///< Last report of the traffic thread. Control thread.
    std::vector<PartReport> m_quarantinedParts; ///< The same.
    uint64_t m_era = 0; ///< The highest known store era. Control thread.
    DirectoryHistory m_history; ///< Of the directory in the view. Control thread.
    std::string m_packedRoutes; ///< The routes as stored, compressed for peers. Control thread.
    /// The latest known proof, possibly for a routes version that this VM does not have yet.
    /// Control thread.
    FreshnessProof m_proof;
    std::atomic<bool> m_drainBegun{ false };
    std::promise<void> m_drained;
};

} // namespace stackquay
