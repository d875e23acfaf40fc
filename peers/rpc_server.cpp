#include <set>

#include <fmt/format.h>

#include "peers/rpc.h"

namespace stackquay {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr int ListenBacklog = 256;
constexpr Millis AcceptRetryDelay{ 20 };

RpcFrame failureFrame(const Error &error)
{
    RpcFrame frame;
    frame.m_kind = RpcKind::Failure;
    frame.m_errorCode = static_cast<uint8_t>(error.m_code);
    frame.m_payload = error.m_message;
    return frame;
}

RpcFrame toFrame(Result<std::string> reply, uint64_t callId)
{
    RpcFrame frame;
    if (reply) {
        frame.m_kind = RpcKind::Reply;
        frame.m_payload = std::move(*reply);
    } else {
        frame = failureFrame(reply.error());
    }
    frame.m_version = RpcChannel::Version;
    frame.m_callId = callId;
    return frame;
}

} // namespace

struct PeerServer::State : std::enable_shared_from_this<State> {
    State(FiberThread &thread, RpcLimits limits, std::shared_ptr<PeerTraffic> traffic)
        : m_thread(thread)
        , m_limits(limits)
        , m_traffic(std::move(traffic))
        , m_acceptor(thread.context())
    { }

    FiberThread &m_thread;
    RpcLimits m_limits;
    std::shared_ptr<PeerTraffic> m_traffic;
    std::map<std::string, RawHandler, std::less<>> m_handlers;
    tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<RpcChannel>> m_channels;
    bool m_closed = false;

    void acceptLoop();
    void serve(const std::shared_ptr<RpcChannel> &channel);
    Result<std::string> answer(const RpcFrame &request) const;
};

void PeerServer::State::acceptLoop()
{
    while (!m_closed) {
        boost::system::error_code error;
        tcp::socket socket(m_thread.context());
        m_acceptor.async_accept(socket, Yield{ error });
        if (m_closed || error == asio::error::operation_aborted)
            return;
        if (error || m_channels.size() >= m_limits.m_connections) {
            if (!sleepFor(m_thread.context(), AcceptRetryDelay))
                return;
            continue;
        }
        auto channel = std::make_shared<RpcChannel>(std::move(socket), m_limits,
                                                    m_limits.m_serverIdle, m_traffic);
        m_channels.insert(channel);
        spawnFiber([self = shared_from_this(), channel] {
            self->serve(channel);
            self->m_channels.erase(channel);
        });
    }
}

void PeerServer::State::serve(const std::shared_ptr<RpcChannel> &channel)
{
    const auto inFlight = std::make_shared<size_t>(0);
    for (;;) {
        Result<RpcFrame> frame = channel->receive();
        if (!frame)
            return;
        if (frame->m_kind != RpcKind::Request) {
            channel->close();
            return;
        }
        if (*inFlight >= m_limits.m_callsInFlight) {
            channel->send(toFrame(makeError(ErrorCode::ResourceExhausted, "too many calls"),
                                  frame->m_callId));
            continue;
        }
        ++*inFlight;
        spawnFiber([self = shared_from_this(), channel, inFlight, request = std::move(*frame)] {
            RpcFrame reply = toFrame(self->answer(request), request.m_callId);
            --*inFlight;
            const Status sent = channel->send(reply);
            if (!sent && channel->open())
                channel->send(toFrame(tl::unexpected(sent.error()), request.m_callId));
        });
    }
}

Result<std::string> PeerServer::State::answer(const RpcFrame &request) const
{
    ++m_traffic->m_rpcServed;
    const auto handler = m_handlers.find(request.m_method);
    if (handler == m_handlers.end())
        return makeError(ErrorCode::InvalidArgument,
                         fmt::format("unknown RPC method '{}'", request.m_method));
    return handler->second(request.m_payload);
}

PeerServer::PeerServer(FiberThread &thread, RpcLimits limits, std::shared_ptr<PeerTraffic> traffic)
    : m_state(std::make_shared<State>(
        thread, limits, traffic ? std::move(traffic) : std::make_shared<PeerTraffic>()))
{ }

PeerServer::~PeerServer() = default;

void PeerServer::addHandler(std::string_view name, RawHandler handler)
{
    m_state->m_handlers.insert_or_assign(std::string(name), std::move(handler));
}

Result<Address> PeerServer::listen(const Address &address)
{
    const auto endpoint = toTcp(address);
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    tcp::acceptor &acceptor = m_state->m_acceptor;
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(ListenBacklog, error);
    if (error)
        return makeError(ErrorCode::Unavailable, fmt::format("cannot listen on {}: {}",
                                                             toString(address), error.message()));
    Address bound = address;
    bound.m_port = acceptor.local_endpoint().port();
    m_state->m_thread.post([state = m_state] { state->acceptLoop(); });
    return bound;
}

void PeerServer::close()
{
    m_state->m_closed = true;
    boost::system::error_code ignored;
    m_state->m_acceptor.close(ignored);
    for (const auto &channel : m_state->m_channels)
        channel->close();
}

} // namespace stackquay
