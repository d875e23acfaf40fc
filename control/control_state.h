/// The control thread's state: the declared intent, the live VMs, and the routing view made of
/// them.
#pragma once

#include "control/daemon_settings.h"
#include "entry/entry.h"
#include "store/store.h"

namespace stackquay {

/// Used on the control thread only; publishes to Node::m_view.
class ControlState
{
public:
    ControlState(Node &node, FiberThread &thread, const DaemonSettings &settings,
                 std::vector<Address> platform);

    /// Starts the fibers that follow the store. On the thread.
    void start();
    /// Sets the live VMs of the data centre, this one among them.
    void setPeers(std::vector<PeerRoute> peers);
    /// Takes an intent; an older or equal revision is ignored.
    void applyIntent(const IntentState &state);

    StoreClient &store() { return m_store; }
    IntentStore &intents() { return m_intents; }
    uint64_t revision() const { return m_intent ? m_intent->m_revision : 0; }

private:
    void publish();
    void pollLoads();
    void pollLoad(const EndpointRoute &endpoint);

    Node &m_node;
    FiberThread &m_thread;
    Millis m_loadPollInterval;
    HttpPool m_pool;
    StoreClient m_store;
    IntentStore m_intents;
    std::shared_ptr<const Intent> m_intent;
    std::vector<PeerRoute> m_peers;
    LeavingEndpoints m_leaving;
};

} // namespace stackquay
