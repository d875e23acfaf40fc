#include "standin/fault_relay.h"

#include <algorithm>

#include <fmt/format.h>

namespace stackquay::standin {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr int ListenBacklog = 1024;
constexpr Millis AcceptRetryDelay{ 20 };

Status openOn(tcp::acceptor &acceptor, const tcp::endpoint &endpoint)
{
    boost::system::error_code error;
    if (!acceptor.open(endpoint.protocol(), error)) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
        acceptor.set_option(ReusePort(true), error);
        acceptor.bind(endpoint, error);
    }
    if (error)
        return makeError(ErrorCode::Unavailable, "cannot listen: " + error.message());
    return {};
}

Json toJson(const RelayStats &stats)
{
    return { { "listen", toString(stats.m_listen) },
             { "target", toString(stats.m_target) },
             { "mode", relayModeName(stats.m_mode) },
             { "accepted", stats.m_accepted },
             { "struck", stats.m_struck },
             { "open", stats.m_open },
             { "bytes_to_target", stats.m_bytesToTarget },
             { "bytes_from_target", stats.m_bytesFromTarget } };
}

} // namespace

/// One relayed target: its listening socket and connections, or its datagrams.
struct FaultRelay::Target : std::enable_shared_from_this<FaultRelay::Target> {
    Target(asio::io_context &context, const SourceOf &sourceOf)
        : m_context(context)
        , m_sourceOf(sourceOf)
        , m_placeholder(context)
        , m_acceptor(context)
        , m_shared(std::make_shared<RelayShared>())
    { }

    asio::io_context &m_context;
    const SourceOf &m_sourceOf;
    /// Bound but not listening: keeps the port while connections are refused.
    tcp::acceptor m_placeholder;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_endpoint;
    Address m_listen;
    std::shared_ptr<RelayShared> m_shared;
    std::map<size_t, std::shared_ptr<RelayShared>> m_bySource; ///< Those that are known.
    std::list<std::shared_ptr<RelayConnection>> m_connections;
    std::shared_ptr<UdpRelay> m_datagrams; ///< Of a UDP target, which uses no more than this.

    Status open(const Address &listen)
    {
        const auto endpoint = toTcp(listen);
        if (!endpoint)
            return tl::unexpected(endpoint.error());
        const Status held = openOn(m_placeholder, *endpoint);
        if (!held)
            return held;
        m_endpoint = m_placeholder.local_endpoint();
        m_listen = { listen.m_host, m_endpoint.port() };
        return startListening();
    }

    Status startListening()
    {
        const Status opened = openOn(m_acceptor, m_endpoint);
        if (!opened)
            return opened;
        boost::system::error_code error;
        m_acceptor.listen(ListenBacklog, error);
        if (error)
            return makeError(ErrorCode::Unavailable, "cannot listen: " + error.message());
        return {};
    }

    void acceptLoop()
    {
        for (;;) {
            boost::system::error_code error;
            tcp::socket socket(m_context);
            m_acceptor.async_accept(socket, Yield{ error });
            if (error == asio::error::operation_aborted || !m_acceptor.is_open())
                return;
            if (!error)
                start(std::move(socket));
            else if (!sleepFor(m_context, AcceptRetryDelay))
                return;
        }
    }

    void start(tcp::socket socket)
    {
        ++m_shared->m_accepted;
        const auto shared = sharedOf(socket);
        const auto connection =
            std::make_shared<RelayConnection>(m_context, std::move(socket), shared);
        const auto place = m_connections.insert(m_connections.end(), connection);
        spawnFiber([self = shared_from_this(), connection, place] {
            connection->run();
            self->m_connections.erase(place);
        });
    }

    std::shared_ptr<RelayShared> sharedOf(const tcp::socket &socket)
    {
        boost::system::error_code error;
        const auto from = socket.remote_endpoint(error);
        const auto source =
            error || !m_sourceOf ? std::nullopt : m_sourceOf(from.port(), m_endpoint.port());
        return source ? sharedOf(*source) : m_shared;
    }

    std::shared_ptr<RelayShared> sharedOf(size_t source)
    {
        auto &shared = m_bySource[source];
        if (!shared)
            shared = std::make_shared<RelayShared>(*m_shared);
        return shared;
    }

    void setSourceFault(const RelayFault &fault, size_t source)
    {
        sharedOf(source)->m_fault = fault;
        const auto connections = m_connections;
        for (const auto &connection : connections)
            connection->faultChanged();
    }

    void setFault(const RelayFault &fault)
    {
        m_shared->m_fault = fault;
        for (const auto &[source, shared] : m_bySource)
            shared->m_fault = fault;
        if (m_datagrams)
            return;
        const auto connections = m_connections;
        for (const auto &connection : connections) {
            if (fault.m_mode == RelayMode::Silence)
                connection->silence();
            else
                connection->faultChanged();
        }
        if (fault.m_mode == RelayMode::Cut) {
            boost::system::error_code ignored;
            m_acceptor.close(ignored);
            return;
        }
        if (m_acceptor.is_open())
            return;
        const Status listening = startListening();
        if (!listening)
            log(LogPart::Standin)
                .error("Cannot listen again. error={}", listening.error().m_message);
        else
            spawnFiber([self = shared_from_this()] { self->acceptLoop(); });
    }

    RelayStats stats() const
    {
        return { m_listen,
                 m_shared->m_target,
                 m_shared->m_fault.m_mode,
                 m_shared->m_accepted,
                 m_shared->m_struck,
                 m_connections.size(),
                 m_shared->m_bytesToTarget,
                 m_shared->m_bytesFromTarget };
    }
};

FaultRelay::FaultRelay(FiberThread &thread)
    : m_thread(thread)
    , m_server(thread, [this](HttpExchange &exchange) { handle(exchange); })
{ }

FaultRelay::~FaultRelay() = default;

Result<Address> FaultRelay::addTarget(const Address &target, const Address &listen)
{
    const auto added = std::make_shared<Target>(m_thread.context(), m_sourceOf);
    added->m_shared->m_target = target;
    const Status opened = added->open(listen);
    if (!opened)
        return tl::unexpected(opened.error());
    m_targets.push_back(added);
    m_thread.post([added] { added->acceptLoop(); });
    return added->m_listen;
}

Result<Address> FaultRelay::addUdpTarget(const Address &target, const Address &listen)
{
    const auto added = std::make_shared<Target>(m_thread.context(), m_sourceOf);
    added->m_shared->m_target = target;
    added->m_datagrams = std::make_shared<UdpRelay>(m_thread.context(), added->m_shared);
    const auto bound = added->m_datagrams->open(listen);
    if (!bound)
        return bound;
    added->m_listen = *bound;
    m_targets.push_back(added);
    m_thread.post([relay = added->m_datagrams] { relay->run(); });
    return bound;
}

Result<Address> FaultRelay::listen(const Address &address)
{
    return m_server.listen(address);
}

void FaultRelay::setFault(RelayFault fault, std::optional<size_t> target)
{
    std::promise<void> done;
    m_thread.post([&] {
        applyFault(fault, target);
        done.set_value();
    });
    done.get_future().wait();
}

void FaultRelay::setSourceFault(RelayFault fault, size_t target, size_t source)
{
    std::promise<void> done;
    m_thread.post([&] {
        if (target < m_targets.size())
            m_targets[target]->setSourceFault(fault, source);
        done.set_value();
    });
    done.get_future().wait();
}

std::vector<RelayStats> FaultRelay::stats()
{
    std::promise<std::vector<RelayStats>> answer;
    m_thread.post([&] { answer.set_value(collectStats()); });
    return answer.get_future().get();
}

bool FaultRelay::applyFault(const RelayFault &fault, std::optional<size_t> target)
{
    if (target && *target >= m_targets.size())
        return false;
    for (size_t i = 0; i < m_targets.size(); ++i) {
        if (!target || *target == i)
            m_targets[i]->setFault(fault);
    }
    return true;
}

std::vector<RelayStats> FaultRelay::collectStats() const
{
    std::vector<RelayStats> all;
    for (const auto &target : m_targets)
        all.push_back(target->stats());
    return all;
}

void FaultRelay::handle(HttpExchange &exchange)
{
    const std::string_view path = exchange.request().path();
    const auto body = parseBody(exchange);
    if (!body || (path != "/mode" && path != "/admin/stats")) {
        respondError(exchange, body ? 404 : 400, body ? "not_found" : "not_json");
        return;
    }
    if (path == "/mode") {
        const auto mode = parseRelayMode(textMember(*body, "mode"));
        const std::string wayName = textMember(*body, "way");
        const auto way = parseRelayWay(wayName.empty() ? "both" : wayName);
        const int64_t index = intMember(*body, "target", -1);
        const auto target = index < 0 ? std::nullopt : std::optional<size_t>(index);
        const bool applied = mode && way
                             && applyFault({ *mode, Millis(intMember(*body, "delay_ms", 0)),
                                             intMember(*body, "count", 0), *way },
                                           target);
        if (!applied) {
            respondError(exchange, 400, "invalid_mode_or_target");
            return;
        }
    }
    Json targets = Json::array();
    for (const RelayStats &stats : collectStats())
        targets.push_back(toJson(stats));
    respondJson(exchange, 200, { { "targets", std::move(targets) } });
}

} // namespace stackquay::standin
