#include "entry/traffic_worker.h"

namespace stackquay {

TrafficWorker::TrafficWorker(Node &node, const std::string &name)
    : m_node(node)
    , m_thread(name)
    , m_pool(m_thread.context())
    , m_peers(m_thread.context(), {}, node.m_peerTraffic)
    , m_random(std::random_device{}())
{ }

void TrafficWorker::failRequests()
{
    m_thread.post([this] {
        for (ActiveRequest *run : m_activeRequests)
            run->shutDown();
    });
}

} // namespace stackquay
