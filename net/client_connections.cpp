#include "net/client_connections.h"

namespace stackquay {

namespace {

/// A lost packet is sent again after 200 ms and more.
constexpr Millis StalledReadTime{ 500 };
/// A slow link takes some of a full send buffer within this time.
constexpr Millis StalledWriteTime{ 1'000 };
constexpr Millis MemoryRetryDelay{ 10 };

} // namespace

bool mayGiveWay(ConnectionPhase phase, Duration still)
{
    switch (phase) {
    case ConnectionPhase::Reading:
        return still >= StalledReadTime;
    case ConnectionPhase::Writing:
        return still >= StalledWriteTime;
    case ConnectionPhase::Discarding:
        return true;
    case ConnectionPhase::Idle:
    case ConnectionPhase::Serving:
        break;
    }
    return false;
}

ClientConnections::ClientConnections(FiberThread &thread, MemoryBudget &budget)
    : m_thread(thread)
    , m_budget(budget)
{ }

template<typename Condition>
ClientConnection *ClientConnections::findStalled(Condition condition) const
{
    const TimePoint now = Clock::now();
    ClientConnection *found = nullptr;
    for (ClientConnection *connection : m_connections) {
        const TimePoint progressAt = connection->m_stream.progressAt();
        if (!connection->m_givesWay && mayGiveWay(connection->m_phase, now - progressAt)
            && condition(*connection) && (!found || progressAt < found->m_stream.progressAt()))
            found = connection;
    }
    return found;
}

bool ClientConnections::awaitMemory(ClientConnection &owner, MemoryHold &hold, size_t bytes,
                                    const Wanted &wanted)
{
    if (hold.resize(bytes))
        return true;
    // The owner now waits for others, not for its client.
    const PhaseScope waiting(owner, ConnectionPhase::Serving);
    for (;;) {
        const bool freed = freeMemory(bytes - hold.bytes());
        if (owner.m_givesWay || (wanted ? !wanted() : !freed)
            || !sleepFor(m_thread.context(), MemoryRetryDelay))
            break;
        if (hold.resize(bytes))
            return true;
    }
    ++m_counters.m_refusedForMemory;
    return false;
}

bool ClientConnections::freeMemory(size_t bytes)
{
    size_t freed = 0;
    for (const ClientConnection *connection : m_connections)
        freed += connection->m_givesWay ? connection->charged() : 0;
    while (freed < bytes) {
        ClientConnection *stalled = findStalled(
            [](const ClientConnection &connection) { return connection.charged() > 0; });
        if (!stalled)
            break;
        ++m_counters.m_closedForMemory;
        freed += stalled->charged();
        stalled->m_givesWay = true;
        stalled->m_stream.cancel();
    }
    return freed > 0;
}

bool ClientConnections::hasStalled(const void *server) const
{
    return findStalled([server](const ClientConnection &connection) {
               return connection.m_server == server;
           })
           != nullptr;
}

bool ClientConnections::closeStalled(const void *server)
{
    ClientConnection *stalled = findStalled(
        [server](const ClientConnection &connection) { return connection.m_server == server; });
    if (!stalled)
        return false;
    ++m_counters.m_closedForRoom;
    stalled->m_givesWay = true;
    stalled->m_stream.cancel();
    return true;
}

void exportClientMemory(MetricsRegistry &registry, const MemoryBudget &budget,
                        std::vector<const ClientConnections *> threads)
{
    Gauge &used =
        registry.gauge("stackquay_client_memory_bytes",
                       "Memory held for clients beyond what is set aside for each connection.");
    Gauge &limit =
        registry.gauge("stackquay_client_memory_limit_bytes", "The most that it may be.");
    Counter &refused = registry.counter("stackquay_client_memory_refused_total",
                                        "Times that a request or answer found no memory.");
    Counter &closedForMemory = registry.counter(
        "stackquay_connections_closed_for_memory_total",
        "Connections without progress closed because memory for clients was short.");
    Counter &closedForRoom =
        registry.counter("stackquay_connections_closed_for_room_total",
                         "Connections without progress closed because all connections were taken.");
    registry.onCollect([&, threads = std::move(threads)] {
        const auto sum = [&threads](std::atomic<uint64_t> ClientConnectionCounters::*counter) {
            uint64_t total = 0;
            for (const ClientConnections *connections : threads)
                total += connections->counters().*counter;
            return total;
        };
        used.set(static_cast<double>(budget.used()));
        limit.set(static_cast<double>(budget.limit()));
        refused.set(sum(&ClientConnectionCounters::m_refusedForMemory));
        closedForMemory.set(sum(&ClientConnectionCounters::m_closedForMemory));
        closedForRoom.set(sum(&ClientConnectionCounters::m_closedForRoom));
    });
}

} // namespace stackquay
