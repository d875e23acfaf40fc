/// Reports, once a second while requests come, how loaded this VM itself is: what it has read and
/// not, how late its timers fire, and what its traffic thread sends and receives.
#pragma once

#include "net/net.h"
#include "relay/relay_metrics.h"

namespace stackquay {

/// Used on the traffic thread only.
class VmLoadMonitor
{
public:
    /// @p clients takes the clients' requests, on @p connections. @p thread is the traffic thread,
    /// and must be stopped before the monitor is destroyed.
    VmLoadMonitor(FiberThread &thread, const HttpServer &clients, ClientConnections &connections,
                  RelayMetrics &metrics);

    /// Starts to report.
    void start();

private:
    void sample(Duration lag);
    void report();

    FiberThread &m_thread;
    const HttpServer &m_clients;
    ClientConnections &m_connections;
    RelayMetrics &m_metrics;
    ThreadTraffic m_reported; ///< At the last report.
    uint64_t m_requestsReported = 0;
    /// What the ClientConnectionCounters were at the last report.
    uint64_t m_refusedReported = 0;
    uint64_t m_closedReported = 0;
    Duration m_maxLag{}; ///< Since the last report.
    TimePoint m_reportedAt{};
};

} // namespace stackquay
