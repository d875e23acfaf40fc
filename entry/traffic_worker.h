/// One traffic thread with what belongs to it alone.
#pragma once

#include <unordered_set>

#include "entry/node.h"
#include "net/net.h"
#include "peers/peers.h"

namespace stackquay {

/// A request in progress. Used on its thread.
class ActiveRequest
{
public:
    virtual ~ActiveRequest() = default;

    /// Fails the request at once and truthfully, as the process ends.
    virtual void shutDown() = 0;
};

class TrafficWorker
{
public:
    TrafficWorker(Node &node, const std::string &name);

    Node &node() { return m_node; }
    FiberThread &thread() { return m_thread; }
    HttpPool &pool() { return m_pool; }
    PeerClient &peers() { return m_peers; }
    RandomEngine &random() { return m_random; }
    RoundRobinState &roundRobin() { return m_roundRobin; }
    /// The requests in progress. On the thread.
    std::unordered_set<ActiveRequest *> &runs() { return m_runs; }
    /// Fails all requests in progress at once and truthfully. Any thread.
    void failRequests();

private:
    Node &m_node;
    FiberThread m_thread;
    HttpPool m_pool;
    PeerClient m_peers;
    RandomEngine m_random;
    RoundRobinState m_roundRobin;
    std::unordered_set<ActiveRequest *> m_runs;
};

} // namespace stackquay
