/// Keeps the declared routes and the endpoints up to date with the platform's store, for the
/// control thread.
///
/// Store watchers watch the store; the other VMs receive changes from them. A read of the store
/// proves that the routes, endpoints and evacuations are current, which a silent watch does not.
/// Each VM reads when the latest proof, its own or a peer's, has reached the age set by
/// policy/read_schedule.h.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "relay/relay_view.h"
#include "relay/source.h"

namespace stackquay {

struct FollowerHooks {
    /// Called with each new version of the routes; @p spec is its encoded form.
    std::function<void(const RouteTablePtr &routes, const std::string &spec)> m_onRoutes;
    /// Called after each read of the routes that proves them.
    std::function<void(const FreshnessProof &proof)> m_onProof;
    /// Called if a read has caught up with changes of the endpoints or evacuations.
    std::function<void()> m_onDirectoryProof;
    std::function<void(const EndpointDirectoryPtr &directory)> m_onDirectory;
    std::function<void(const Evacuations &evacuations)> m_onEvacuations;
    /// Returns the latest known proof, of this VM or its peers.
    std::function<FreshnessProof()> m_bestProof;
    /// Returns whether this VM watches the store for others, or has no peers.
    std::function<bool()> m_watchesStore;
    /// Returns the time within which all VMs have to know each change in the store.
    std::function<Duration()> m_knowledgeBound;
    /// Returns how many VMs precede this one in reading the store if no store watcher does.
    std::function<unsigned()> m_readTurn;
    /// Called for each change of an endpoint's entry that cannot be decoded.
    std::function<void()> m_onUnreadable;
    /// Called after this VM was frozen or suspended.
    std::function<void()> m_onSuspension;
};

class StoreFollower
{
public:
    /// @p thread is the control thread; it must be stopped before the follower is destroyed.
    /// @p followEvacuations: operators may evacuate data centres.
    StoreFollower(FiberThread &thread, KindStore &store, const RelaySource &source,
                  FollowerHooks hooks, bool followEvacuations);
    ~StoreFollower();
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;

    /// Starts the fibers. On the thread.
    void start();
    /// Applies a peer's routes. Ignored unless their version is higher. On the thread.
    void mergePeerRoutes(const std::string &spec);
    /// Merges what a peer's directory has newer or confirmed. On the thread.
    void mergePeerDirectory(const EndpointDirectory &directory);
    /// Applies a peer's list of evacuated data centres if it was read later. On the thread.
    void mergePeerEvacuations(const Evacuations &evacuations);
    /// Applies a peer's proof of its endpoints and evacuations, if this VM's are not older. On the
    /// thread.
    void mergePeerDirectoryProof(const DirectoryProof &proof);
    /// When the endpoints and evacuations known to this VM were the newest in the store, as far as
    /// is proved. On the thread.
    std::optional<TimePoint> directoryProvedAt() const;
    /// To be called when the latest proof is newer by @p gap than the one before: a long gap means
    /// an outage of the store, or of this VM's connections to all others. On the thread.
    void noteProofGap(Duration gap);
    /// To be called after the store was restored from a backup: watches it anew, and for a while
    /// does not remove the endpoints missing from it. On the thread.
    void noteStoreRestored();
    /// False if a call failed within the last few seconds after a longer silence of the store. On
    /// the thread.
    bool reachesStore() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace stackquay
