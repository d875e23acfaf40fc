#include "relay/vm_load_monitor.h"

#include <algorithm>

namespace stackquay {

namespace {

constexpr Millis SamplePeriod{ 100 };
constexpr Millis ReportPeriod{ 1'000 };

int64_t millis(Duration duration)
{
    return std::chrono::duration_cast<Millis>(duration).count();
}

} // namespace

VmLoadMonitor::VmLoadMonitor(FiberThread &thread, const HttpServer &clients,
                             ClientConnections &connections, RelayMetrics &metrics)
    : m_thread(thread)
    , m_clients(clients)
    , m_connections(connections)
    , m_metrics(metrics)
{ }

void VmLoadMonitor::start()
{
    m_reportedAt = Clock::now();
    for (;;) {
        const TimePoint due = Clock::now() + SamplePeriod;
        if (!sleepFor(m_thread.context(), SamplePeriod))
            return;
        sample(Clock::now() - due);
    }
}

void VmLoadMonitor::sample(Duration lag)
{
    m_maxLag = std::max(m_maxLag, lag);
    if (Clock::now() - m_reportedAt >= ReportPeriod)
        report();
}

void VmLoadMonitor::report()
{
    const TimePoint now = Clock::now();
    const ThreadTraffic &traffic = threadTraffic();
    const auto since = [this, &traffic](uint64_t ThreadTraffic::*counter) {
        return static_cast<int64_t>(traffic.*counter - m_reported.*counter);
    };
    m_metrics.m_lag.set(std::chrono::duration<double>(m_maxLag).count());
    m_metrics.m_connections.set(static_cast<double>(m_clients.connections()));
    m_metrics.m_partlyRead.set(static_cast<double>(m_clients.partlyReadRequests()));
    m_metrics.m_trafficReceived.set(traffic.m_received);
    m_metrics.m_trafficSent.set(traffic.m_sent);
    m_metrics.m_datagrams.set(traffic.m_datagrams);
    m_metrics.m_datagramBytes.set(traffic.m_datagramBytes);
    m_metrics.m_datagramsLost.set(traffic.m_datagramsLost);
    const uint64_t requests = m_clients.requestsRead();
    const ClientConnectionCounters &counters = m_connections.counters();
    const uint64_t refused = counters.m_refusedForMemory;
    const uint64_t closed = counters.m_closedForMemory + counters.m_closedForRoom;
    if (requests != m_requestsReported || refused != m_refusedReported
        || closed != m_closedReported) {
        DecisionLine("relay", "load of this VM")
            .number("read", static_cast<int64_t>(requests - m_requestsReported))
            .number("partly_read", static_cast<int64_t>(m_clients.partlyReadRequests()))
            .number("in_progress", static_cast<int64_t>(m_clients.activeRequests()))
            .number("connections", static_cast<int64_t>(m_clients.connections()))
            .number("held_kb", static_cast<int64_t>(m_connections.budget().used() / 1'000))
            .number("refused_for_memory", static_cast<int64_t>(refused - m_refusedReported))
            .number("closed_without_progress", static_cast<int64_t>(closed - m_closedReported))
            .number("lag_ms", millis(m_maxLag))
            .number("received_kb", since(&ThreadTraffic::m_received) / 1'000)
            .number("sent_kb", since(&ThreadTraffic::m_sent) / 1'000)
            .number("datagrams", since(&ThreadTraffic::m_datagrams))
            .number("datagrams_kb", since(&ThreadTraffic::m_datagramBytes) / 1'000)
            .number("datagrams_lost", since(&ThreadTraffic::m_datagramsLost))
            .number("ms", millis(now - m_reportedAt))
            .write();
    }
    m_requestsReported = requests;
    m_refusedReported = refused;
    m_closedReported = closed;
    m_reported = traffic;
    m_reportedAt = now;
    m_maxLag = {};
}

} // namespace stackquay
