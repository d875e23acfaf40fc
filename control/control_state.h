/// The control thread's state: the declared intent, the live VMs, and the routing view made of
/// them.
#pragma once

#include "control/command.h"
#include "control/daemon_settings.h"
#include "entry/entry.h"
#include "peers/peers.h"
#include "store/store.h"

namespace stackquay {

/// Used on the control thread only; publishes to Node::m_view.
class ControlState
{
public:
    ControlState(Node &node, FiberThread &thread, const DaemonSettings &settings,
                 std::vector<Address> platform, std::vector<Address> seeds);
    ~ControlState();

    /// Binds the addresses for peers. @p http is where callers reach this VM. Before the thread.
    Status listen(const Address &http);
    /// Starts the fibers. On the thread.
    void start();
    /// Tells the others that this VM takes over nothing new. On the thread.
    void leave();

    /// For probes; known after listen().
    const Address &udpAddress() const { return m_udp; }
    const CommandEnvironment &commands() const { return m_commands; }

private:
    uint64_t revision() const { return m_intent ? m_intent->m_revision : 0; }
    IntentRelayHooks relayHooks();
    void bindCommands();
    void bindMetrics();
    RuntimeState runtime() const;
    Status applyIntent(const RevisionText &text);
    void membersChanged(const MemberListPtr &list);
    void publish();
    void pollLoads();
    void pollLoad(const EndpointRoute &endpoint);
    void followVmList();
    void takeVmList(const VmList &list);
    bool watchesStore() const;

    Node &m_node;
    FiberThread &m_thread;
    const DaemonSettings &m_settings;
    std::vector<Address> m_seeds;
    Address m_udp;
    HttpPool m_pool;
    PeerServer m_peerServer;
    PeerClient m_peerClient;
    StewardService m_stewards;
    StoreClient m_store;
    IntentStore m_intents;
    ClaimStore m_claims;
    CommandEnvironment m_commands;
    std::unique_ptr<Membership> m_membership;
    std::unique_ptr<IntentRelay> m_relay;
    std::shared_ptr<const Intent> m_intent;
    MemberListPtr m_members;
};

} // namespace stackquay
