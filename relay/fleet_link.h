/// Membership and state exchange between the VMs of a deployment: discovery, heartbeats, and
/// transfer of configuration state. For the control thread.
///
/// A VM writes one small object to the store when it starts, and lists the objects of the others
/// then and periodically. After that, VMs discover each other by heartbeats: a VM that receives a
/// heartbeat from an unknown VM replies and sends it the requests that it has in flight. A VM
/// without peers serves alone.
///
/// VMs of other cells (policy/cells.h) are not peers. They only exchange the size of the fleet, if
/// one of them has an older value, and, through a few contacts, the requests that crash endpoints.
///
/// A draining VM still accepts and places requests for some seconds. So it keeps its object and
/// takes part in the exchange of loads and updates until its process exits, but it does not watch
/// the store, and peers fetch no state from it.
#pragma once

#include <functional>
#include <memory>

#include "peers/peers.h"
#include "relay/fleet_messages.h"
#include "relay/relay_settings.h"
#include "relay/source.h"

namespace stackquay {

/// A VM as a holder of the retry budget.
struct RetryHolder {
    uint64_t m_origin = 0; ///< Of its process.
    Address m_loads; ///< Load message address.
    VmId m_vm;
    uint32_t m_millicores = 0;
};

/// The fleet, as far as placement and retry budgets depend on it.
struct FleetView {
    std::vector<Address> m_loads; ///< Load message addresses of the peers in this VM's cell.
    std::vector<Address> m_contacts; ///< Load message addresses of some VMs in each other cell.
    /// The VMs of this cell and data centre, with this one, ablest first.
    std::vector<RetryHolder> m_retryHolders;
    std::vector<VmId> m_peers; ///< The live peers in this VM's cell.
    std::vector<ForwardPeer> m_forwardPeers; ///< Of these, the ones that reach endpoints.
    /// This VM has had time to find its peers since it started.
    bool m_peersKnown = false;
    bool m_watchesStore = false;
    uint32_t m_vms = 1; ///< The highest number of VMs known at the same time.
    CellView m_cell;
};

struct FleetHooks {
    /// Returns the summary of this VM's state.
    std::function<StateSummary()> m_ownSummary;
    /// Returns this VM's state, as far as the caller's is older.
    std::function<StateSnapshot(const StateRequest &request)> m_answerRequest;
    /// Called with a peer's state after a fetch; @p callTime is the duration of the call. Returns
    /// false if the changes of the endpoints do not apply, so that all endpoints are needed.
    std::function<bool(const StateSnapshot &state, Duration callTime)> m_onState;
    /// Returns whether this VM reaches no endpoint.
    std::function<bool()> m_isIsolated;
    /// Called with the freshness proof in a peer's heartbeat.
    std::function<void(const FreshnessProof &proof)> m_onProof;
    /// Called with the proof of the endpoints and evacuations in a peer's heartbeat.
    std::function<void(const DirectoryProof &proof)> m_onDirectoryProof;
    /// Called with the store era that a peer knows.
    std::function<void(uint64_t era)> m_era;
    /// Called when a peer's process has exited or is unreachable: its placements are unknown from
    /// now on.
    std::function<void(uint64_t origin)> m_onProcessGone;
    /// Called when the members of the fleet, or this VM's role or cell, changed.
    std::function<void(const FleetView &fleet)> m_onFleetChange;
    /// Called when the VM with this load message address needs the requests that this VM has in
    /// flight.
    std::function<void(const Address &loads)> m_sendLoads;
};

class FleetLink
{
public:
    /// @p thread is the control thread; it must be stopped before the link is destroyed.
    FleetLink(FiberThread &thread, const RelaySettings &settings, uint64_t origin, KindStore &store,
              const RelaySource &source, FleetHooks hooks);
    ~FleetLink();
    FleetLink(const FleetLink &) = delete;
    FleetLink &operator=(const FleetLink &) = delete;

    /// Binds the sockets; port 0 lets the kernel choose. @p loads is the address on which this VM
    /// receives load messages, @p forward the one for requests that other VMs forward. Call it
    /// before the thread starts.
    Status listen(const Address &loads, const Address &forward);
    /// Starts the fibers. On the thread.
    void start();
    /// Tells the peers that this VM drains. On the thread.
    void announceDrain();
    /// Starts to remove this VM's object, unless the store is unavailable. Call it once, after
    /// announceDrain(). On the thread.
    void removeObject();
    /// Sends the last heartbeat of this process, after the object is removed or at @p by. Blocks
    /// the fiber. On the thread.
    void announceExit(TimePoint by);
    /// Writes this VM's object again after a random delay, because the store may have lost it. On
    /// the thread.
    void rewriteObject();
    /// Sends a heartbeat to all live peers immediately, after a change. On the thread.
    void sendHeartbeatsNow();
    /// Whether this VM watches the store for the other VMs of its data centre. On the thread.
    bool watchesStore() const;
    /// How many VMs precede this one in reading the store if no store watcher does. On the thread.
    unsigned readTurn() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace stackquay
