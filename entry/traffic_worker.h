/// One traffic thread and the objects that only this thread uses.
#pragma once

#include <unordered_set>

#include "entry/node.h"
#include "net/net.h"
#include "peers/peers.h"

namespace stackquay {

/// A request in progress. Used on its traffic thread only.
class ActiveRequest
{
public:
    virtual ~ActiveRequest() = default;

    /// Fails the request at once because the process shuts down. The client is told whether the
    /// request may have run.
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
    /// The requests in progress. Call on the thread only.
    std::unordered_set<ActiveRequest *> &activeRequests() { return m_activeRequests; }
    /// Calls shutDown() of all requests in progress. Thread-safe.
    void failRequests();

private:
    Node &m_node;
    FiberThread m_thread;
    HttpPool m_pool;
    PeerClient m_peers;
    RandomEngine m_random;
    RoundRobinState m_roundRobin;
    std::unordered_set<ActiveRequest *> m_activeRequests;
};

} // namespace stackquay
