/// Follows the declared routes and the endpoints in the platform's store, for the control thread.
///
/// VMs on duty watch the store; the others hear of changes from them, and read only if they hear
/// nothing. That nothing has changed is proved by reading the object of the routes: a watch that
/// stays silent proves nothing. A VM whose peers hold a young proof does not read.
#pragma once

#include <functional>
#include <memory>

#include "relay/relay_view.h"
#include "relay/source.h"

namespace stackquay {

struct FollowerHooks {
    /// Another version of the routes, or a later proof of the same.
    std::function<void(const RouteTablePtr &routes, const std::string &spec)> m_routes;
    std::function<void(const FreshnessProof &proof)> m_proof;
    std::function<void(const EndpointDirectoryPtr &directory)> m_directory;
    /// The best proof that is known, of this VM or its peers.
    std::function<FreshnessProof()> m_bestProof;
    /// Whether this VM is to follow the store for others, or has no others.
    std::function<bool()> m_onDuty;
    /// This VM was frozen or suspended until now.
    std::function<void()> m_stoodStill;
};

class StoreFollower
{
public:
    /// @p thread is the control thread; it must be stopped before the follower is destroyed.
    StoreFollower(FiberThread &thread, KindStore &store, const RelaySource &source,
                  FollowerHooks hooks);
    ~StoreFollower();
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;

    /// Starts the fibers. On the thread.
    void start();
    /// Takes routes that a peer has. Ignored unless their version is higher. On the thread.
    void offerRoutes(const std::string &spec);
    /// Takes what a peer's directory tells better. On the thread.
    void offerDirectory(const EndpointDirectory &directory);
    /// The best proof is so much later than the one before: a long gap is an outage of the store,
    /// or of this VM's ways to all others. On the thread.
    void noteProofGap(Duration gap);
    /// The store came back from a copy: follows it anew, and doubts for a while what it lacks. On
    /// the thread.
    void noteReturn();
    /// Whether no call failed for some seconds. On the thread.
    bool reachesStore() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace stackquay
