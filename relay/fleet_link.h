/// The other VMs of the deployment: how they are found, what they believe, and what this one tells
/// them. For the control thread.
///
/// A VM writes one small object into the store at its start, and reads those of the others then and
/// once in a while. From there on VMs know each other by beats: whoever hears an unknown VM answers
/// it, and tells it what it has in flight. A VM without peers serves alone.
///
/// VMs of other cells (policy/cells.h) are no peers: they only tell each other how large the fleet
/// is, if one of them does not know, and by way of some contacts which requests end endpoints.
///
/// A VM that drains still takes and places requests for some seconds. So it keeps its object, and
/// stays a partner in all that is told of loads and news, until its process goes; but it takes no
/// duty, and nobody turns to it with questions.
#pragma once

#include <functional>
#include <memory>

#include "peers/peers.h"
#include "relay/fleet_messages.h"
#include "relay/relay_settings.h"
#include "relay/source.h"

namespace stackquay {

/// The fleet as a VM plans with it.
struct FleetView {
    std::vector<Address> m_loads; ///< Of the peers of its cell, for what they place.
    std::vector<Address> m_contacts; ///< For loads, of some VMs of each other cell.
    bool m_onDuty = false;
    uint32_t m_vms = 1; ///< The most VMs of the fleet ever known at once.
    CellView m_cell;
};

struct FleetHooks {
    /// What this VM knows.
    std::function<BeliefSummary()> m_own;
    /// The same, with what the asker lacks.
    std::function<Beliefs(const AskBeliefs &question)> m_answer;
    /// A peer's beliefs came, in answer to a question; @p callTime is how long it took.
    std::function<void(const Beliefs &beliefs, Duration callTime)> m_heard;
    /// A peer's proof came with a beat.
    std::function<void(const FreshnessProof &proof)> m_proof;
    /// A peer knows this era of the store.
    std::function<void(uint64_t era)> m_era;
    /// A process of a peer is gone, or cannot be heard: what it placed is not known any more.
    std::function<void(uint64_t origin)> m_gone;
    /// The set of VMs that this one plans with changed.
    std::function<void(const FleetView &fleet)> m_peers;
    /// The VM at this address for loads lacks what this one has in flight.
    std::function<void(const Address &loads)> m_tellLoads;
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

    /// Binds the addresses; port 0 takes one from the kernel. @p loads is where the peers send what
    /// they place. Before the thread starts.
    Status listen(const Address &loads);
    /// Starts the fibers. On the thread.
    void start();
    /// Tells the peers that this VM drains. On the thread.
    void leave();
    /// Begins to remove the object of this VM, unless the store is away. Once, after leave(). On
    /// the thread.
    void removeObject();
    /// Tells the peers that nothing more comes from this VM, once the object is removed or it is
    /// @p by. On the thread.
    void goodbye(TimePoint by);
    /// Writes the object of this VM again soon, as the store may have lost it. On the thread.
    void writeAgain();
    /// Tells the live peers at once, as there are news. On the thread.
    void beatNow();
    /// Whether this VM is to follow the store for the others of its data centre. On the thread.
    bool onDuty() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace stackquay
