/// The connections of clients on one thread, with what each holds of the memory budget. When memory
/// or connections run short, those whose clients make no progress are closed.
#pragma once

#include <functional>
#include <unordered_set>
#include <vector>

#include "net/fiber_socket.h"
#include "net/fiber_thread.h"
#include "net/memory_budget.h"

namespace stackquay {

/// What a connection waits for.
enum class ConnectionPhase {
    Idle, ///< For a next request.
    Reading, ///< For the rest of a request.
    Serving, ///< For its answer, which does not depend on its client.
    Writing, ///< Until its client takes bytes of the answer.
    Discarding, ///< For bytes of a request that was refused, so that the refusal is not lost.
};

/// Whether a connection may be closed for others, if its client has made no progress for @p still.
bool mayGiveWay(ConnectionPhase phase, Duration still);

struct ClientConnection {
    /// Set aside for each connection: for its read buffer, head and body, and for its answer.
    static constexpr size_t RequestAllowance = 24 * 1024;
    static constexpr size_t AnswerAllowance = 8 * 1024;

    /// @p server identifies the server that accepted it.
    ClientConnection(FiberSocket::Socket socket, MemoryBudget &budget, const void *server)
        : m_stream(std::move(socket))
        , m_request(budget, RequestAllowance)
        , m_answer(budget, AnswerAllowance)
        , m_server(server)
    { }

    size_t charged() const { return m_request.charged() + m_answer.charged(); }

    FiberSocket m_stream;
    MemoryHold m_request; ///< Read buffer, and head and body of the request in progress.
    MemoryHold m_answer; ///< What is buffered of its answer.
    const void *const m_server;
    ConnectionPhase m_phase = ConnectionPhase::Idle;
    bool m_givesWay = false; ///< It was chosen to be closed for others.
};

/// Sets the phase of a connection, and the earlier one at the end of the scope.
class PhaseScope
{
public:
    PhaseScope(ClientConnection &connection, ConnectionPhase phase)
        : m_connection(connection)
        , m_before(std::exchange(connection.m_phase, phase))
    { }
    ~PhaseScope() { m_connection.m_phase = m_before; }
    PhaseScope(const PhaseScope &) = delete;
    PhaseScope &operator=(const PhaseScope &) = delete;

private:
    ClientConnection &m_connection;
    const ConnectionPhase m_before;
};

/// Thread-safe.
struct ClientConnectionCounters {
    std::atomic<uint64_t> m_refusedForMemory{ 0 }; ///< Times that no memory could be had.
    std::atomic<uint64_t> m_closedForMemory{ 0 };
    std::atomic<uint64_t> m_closedForRoom{ 0 }; ///< Closed for connections of others.
};

/// Shared by the servers of one FiberThread, and used on it only, except for the counters.
class ClientConnections
{
public:
    /// @p budget may be shared by several threads. Both must outlive this.
    ClientConnections(FiberThread &thread, MemoryBudget &budget);

    void add(ClientConnection &connection) { m_connections.insert(&connection); }
    void remove(ClientConnection &connection) { m_connections.erase(&connection); }

    /// Whether to go on waiting for memory.
    using Wanted = std::function<bool()>;
    /// Resizes @p hold, one of @p owner's, to @p bytes. If the budget is short, connections whose
    /// clients make no progress give way, and the fiber waits while @p wanted, or, without it, only
    /// until those have been closed. False if there is not enough memory.
    bool awaitMemory(ClientConnection &owner, MemoryHold &hold, size_t bytes,
                     const Wanted &wanted = {});
    /// Closes the connection of @p server whose client has made no progress for longest. False if
    /// all make progress.
    bool closeStalled(const void *server);
    /// Whether closeStalled() would close one.
    bool hasStalled(const void *server) const;

    MemoryBudget &budget() { return m_budget; }
    const ClientConnectionCounters &counters() const { return m_counters; }

private:
    template<typename Condition>
    ClientConnection *findStalled(Condition condition) const;
    /// Whether closing connections will free memory.
    bool freeMemory(size_t bytes);

    FiberThread &m_thread;
    MemoryBudget &m_budget;
    std::unordered_set<ClientConnection *> m_connections;
    ClientConnectionCounters m_counters;
};

/// Shows what @p budget and the threads' connections count in @p registry. All must outlive it.
void exportClientMemory(MetricsRegistry &registry, const MemoryBudget &budget,
                        std::vector<const ClientConnections *> threads);

} // namespace stackquay
