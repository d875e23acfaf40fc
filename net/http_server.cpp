#include "net/http_server.h"

#include <atomic>
#include <map>
#include <optional>
#include <set>

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include "net/error_body.h"
#include "net/http_exchange.h"
#include "net/request_reader.h"
#include "net/yield.h"

namespace stackquay {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using Socket = FiberSocket::Socket;
using Acceptor = asio::basic_socket_acceptor<tcp, FiberSocket::Executor>;
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr int ListenBacklog = 1024;
constexpr Millis AcceptRetryDelay{ 20 };
/// Connections accepted in a row before other fibers run.
constexpr size_t MaxAcceptsInARow = 64;
/// Readiness is asked for once a second: a refusal must still be known then.
constexpr Millis RefusalKnown{ 1'000 };

} // namespace

struct HttpServer::State : std::enable_shared_from_this<State> {
    State(FiberThread &thread, HttpHandler handler, HttpServerLimits limits,
          ClientConnections *clients)
        : m_thread(thread)
        , m_handler(std::move(handler))
        , m_limits(std::move(limits))
        , m_ownClients(thread, m_unlimited)
        , m_clients(clients ? *clients : m_ownClients)
        , m_acceptor(thread.context())
    { }

    FiberThread &m_thread;
    HttpHandler m_handler;
    HttpServerLimits m_limits;
    MemoryBudget m_unlimited;
    ClientConnections m_ownClients; ///< Unless it shares them with other servers.
    ClientConnections &m_clients;
    Acceptor m_acceptor;
    std::map<uint64_t, FiberSocket *> m_idle; ///< Waiting for a next request, longest first.
    uint64_t m_lastIdle = 0;
    std::atomic<TimePoint> m_refusedAt{}; ///< When a connection was last not to be taken.
    std::set<FiberSocket *> m_reading; ///< Of whose request a part has come.
    uint64_t m_requestsRead = 0;
    std::atomic<bool> m_draining{ false };
    std::atomic<bool> m_closing{ false }; ///< Each answer is the last of its connection.
    std::atomic<size_t> m_activeRequests{ 0 };
    std::atomic<size_t> m_connections{ 0 };

    void acceptLoop();
    bool hasRoom() const;
    bool closeLongestIdle();
    bool makeRoom();
    bool awaitRoom();
    void acceptArrived(size_t most);
    void spawnServe(Socket socket);
    void handle(HttpExchange &exchange);
    void serve(Socket socket);
    bool awaitNext(FiberSocket &stream, RequestReader &reader);
    bool serveNext(ClientConnection &connection, RequestReader &reader);
};

bool HttpServer::State::hasRoom() const
{
    return m_connections < m_limits.m_connections || !m_idle.empty() || m_clients.hasStalled(this);
}

/// The connection that waits longest for a request is the one whose caller misses it least.
bool HttpServer::State::closeLongestIdle()
{
    if (m_idle.empty())
        return false;
    m_idle.begin()->second->cancel();
    m_idle.erase(m_idle.begin());
    return true;
}

/// Closes a connection for the sake of others; false if all are in use.
bool HttpServer::State::makeRoom()
{
    return closeLongestIdle() || m_clients.closeStalled(this);
}

/// Room may come before the callers that wait lose patience. False if none will.
bool HttpServer::State::awaitRoom()
{
    while (m_connections >= m_limits.m_connections && !makeRoom()) {
        m_refusedAt = Clock::now();
        if (!sleepFor(m_thread.context(), AcceptRetryDelay) || m_draining)
            return false;
    }
    return true;
}

void HttpServer::State::acceptLoop()
{
    while (!m_draining) {
        boost::system::error_code error;
        Socket socket(m_thread.context());
        m_acceptor.async_accept(socket, Yield{ error });
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            // Out of descriptors: let some end before the next try.
            makeRoom();
            m_refusedAt = Clock::now();
            if (!sleepFor(m_thread.context(), AcceptRetryDelay))
                return;
            continue;
        }
        if (!awaitRoom())
            return;
        spawnServe(std::move(socket));
        // A busy thread comes back here late, and callers wait for one second only.
        acceptArrived(MaxAcceptsInARow);
    }
}

void HttpServer::State::spawnServe(Socket socket)
{
    ++m_connections;
    spawnFiber([self = shared_from_this(), shared = std::make_shared<Socket>(std::move(socket))] {
        self->serve(std::move(*shared));
        --self->m_connections;
    });
}

/// Takes connections that wait to be accepted, at most @p most and as far as there is room.
void HttpServer::State::acceptArrived(size_t most)
{
    boost::system::error_code error;
    for (; !error && most > 0 && m_connections < m_limits.m_connections; --most) {
        Socket socket(m_thread.context());
        m_acceptor.accept(socket, error);
        if (!error)
            spawnServe(std::move(socket));
    }
}

/// Waits for a request on a connection. False if none comes; during a drain, if none is here.
bool HttpServer::State::awaitNext(FiberSocket &stream, RequestReader &reader)
{
    if (!m_draining) {
        const uint64_t place = ++m_lastIdle;
        m_idle.emplace(place, &stream);
        const auto error = reader.awaitRequest(m_limits.m_idleTimeout);
        m_idle.erase(place);
        if (!error)
            return true;
    }
    boost::system::error_code ignored;
    return m_draining && (reader.hasReadAhead() || stream.socket().available(ignored) > 0);
}

/// An exception ends its own request, not the process with all others.
void HttpServer::State::handle(HttpExchange &exchange)
{
    try {
        m_handler(exchange);
    } catch (const std::exception &error) {
        DecisionLine("net", "request handler failed")
            .text("method", exchange.request().m_method)
            .text("error", error.what())
            .write();
        if (exchange.started())
            exchange.abort();
    }
}

/// Reads and answers a request; whether a next one may follow.
bool HttpServer::State::serveNext(ClientConnection &connection, RequestReader &reader)
{
    m_reading.insert(&connection.m_stream);
    auto incoming = reader.read(m_limits);
    m_reading.erase(&connection.m_stream);
    if (!incoming) {
        reader.endRequest();
        reader.refuse(incoming.error(), m_limits);
        if (!m_draining && !connection.m_givesWay)
            reader.discardRest();
        return false;
    }
    ++m_requestsRead;
    const PhaseScope serving(connection, ConnectionPhase::Serving);
    ServerExchange exchange(connection, m_clients, reader.hasReadAhead(), std::move(*incoming),
                            m_limits, m_closing);
    handle(exchange);
    if (!exchange.started())
        exchange.respond({ 500,
                           { { "Content-Type", "application/json" } },
                           errorBody(500, "no answer was produced") });
    return exchange.keepAlive();
}

void HttpServer::State::serve(Socket socket)
{
    boost::system::error_code error;
    socket.set_option(tcp::no_delay(true), error);
    ClientConnection connection(std::move(socket), m_clients.budget(), this);
    m_clients.add(connection);
    RequestReader reader(connection, m_clients);
    bool more = true;
    while (more && awaitNext(connection.m_stream, reader)) {
        ++m_activeRequests;
        more = serveNext(connection, reader);
        reader.endRequest();
        --m_activeRequests;
    }
    m_clients.remove(connection);
    connection.m_stream.socket().shutdown(Socket::shutdown_both, error);
    connection.m_stream.close();
}

HttpServer::HttpServer(FiberThread &thread, HttpHandler handler, HttpServerLimits limits,
                       ClientConnections *clients)
    : m_state(std::make_shared<State>(thread, std::move(handler), std::move(limits), clients))
{ }

HttpServer::~HttpServer() = default;

Result<Address> HttpServer::listen(const Address &address)
{
    const auto endpoint = toTcp(address);
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    boost::system::error_code error;
    const auto failed = [&] {
        return makeError(ErrorCode::Unavailable, fmt::format("cannot listen on {}: {}",
                                                             toString(address), error.message()));
    };
    Acceptor &acceptor = m_state->m_acceptor;
    if (acceptor.open(endpoint->protocol(), error))
        return failed();
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.set_option(ReusePort(true), error);
    if (acceptor.bind(*endpoint, error))
        return failed();
    boundSilence(acceptor.native_handle(), m_state->m_limits.m_silence);
    // Connections inherit it: the window that a client was once offered cannot be taken back.
    if (m_state->m_limits.m_receiveBytes > 0)
        acceptor.set_option(
            asio::socket_base::receive_buffer_size(m_state->m_limits.m_receiveBytes), error);
    // For acceptArrived().
    if (acceptor.non_blocking(true, error) || acceptor.listen(ListenBacklog, error))
        return failed();
    Address bound = address;
    bound.m_port = acceptor.local_endpoint().port();
    m_state->m_thread.post([state = m_state] { state->acceptLoop(); });
    return bound;
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_state->m_thread.post([state = m_state, limits] { state->m_limits = limits; });
}

void HttpServer::closeAfterAnswers()
{
    m_state->m_closing = true;
}

void HttpServer::drain()
{
    m_state->m_closing = true;
    m_state->m_draining = true;
    m_state->m_thread.post([state = m_state] {
        boost::system::error_code ignored;
        // Closing the acceptor would reset them.
        state->acceptArrived(state->m_limits.m_connections);
        state->m_acceptor.close(ignored);
        for (const auto &[place, stream] : state->m_idle)
            stream->cancel();
    });
}

void HttpServer::refuseUnread()
{
    m_state->m_thread.post([state = m_state] {
        for (FiberSocket *stream : state->m_reading)
            stream->cancel();
    });
}

size_t HttpServer::activeRequests() const
{
    return m_state->m_activeRequests;
}

bool HttpServer::accepting() const
{
    const TimePoint refusedAt = m_state->m_refusedAt;
    return m_state->hasRoom() && Clock::now() - refusedAt > RefusalKnown;
}

size_t HttpServer::connections() const
{
    return m_state->m_connections;
}

size_t HttpServer::partlyReadRequests() const
{
    return m_state->m_reading.size();
}

uint64_t HttpServer::requestsRead() const
{
    return m_state->m_requestsRead;
}

} // namespace stackquay
