#include "peers/rpc.h"

namespace stackquay {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr Millis ConnectTimeout{ 2'000 };

/// A call that waits for its reply. Stored on the stack of the calling fiber.
struct PendingCall {
    explicit PendingCall(asio::io_context &context)
        : m_timer(context)
    { }

    ClockTimer m_timer; ///< Ends the wait at the deadline, or when the reply cancels it.
    bool m_done = false;
    Result<std::string> m_reply;

    void complete(Result<std::string> reply)
    {
        m_done = true;
        m_reply = std::move(reply);
        m_timer.cancel();
    }

    void wait(Duration timeout)
    {
        m_timer.expires_after(timeout);
        boost::system::error_code error;
        m_timer.async_wait(Yield{ error });
        if (m_done)
            return;
        if (error)
            complete(makeError(ErrorCode::Cancelled, "the thread is stopping"));
        else
            complete(makeError(ErrorCode::DeadlineExceeded, "no reply from the peer in time"));
    }
};

Result<std::string> toReply(RpcFrame frame)
{
    if (frame.m_kind == RpcKind::Reply)
        return std::move(frame.m_payload);
    const bool known = frame.m_errorCode <= static_cast<uint8_t>(ErrorCode::Internal);
    const ErrorCode code =
        known ? static_cast<ErrorCode>(frame.m_errorCode) : ErrorCode::ProtocolError;
    return makeError(code, std::move(frame.m_payload));
}

/// The calls in flight on one connection.
struct Connection : std::enable_shared_from_this<Connection> {
    std::shared_ptr<RpcChannel> m_channel;
    std::unordered_map<uint64_t, PendingCall *> m_pending;
    std::vector<RpcFrame> m_unsentFrames; ///< Queued until the connection is open.
    TimePoint m_lastFrameAt{}; ///< When the last frame was received.
    bool m_connected = false;
    bool m_closed = false;
    bool m_retired = false; ///< Gets no new calls; closed after its last one.

    Status send(const RpcFrame &frame)
    {
        if (m_connected)
            return m_channel->send(frame);
        m_unsentFrames.push_back(frame);
        return {};
    }

    void run(const Address &address)
    {
        const Status connected = m_channel->connect(address, ConnectTimeout);
        if (!connected) {
            fail(connected.error());
            return;
        }
        m_connected = true;
        for (const RpcFrame &frame : m_unsentFrames)
            m_channel->send(frame);
        m_unsentFrames.clear();
        for (;;) {
            Result<RpcFrame> frame = m_channel->receive();
            if (!frame) {
                fail({ ErrorCode::OutcomeUnknown, frame.error().m_message });
                return;
            }
            m_lastFrameAt = Clock::now();
            const auto call = m_pending.find(frame->m_callId);
            if (call != m_pending.end())
                call->second->complete(toReply(std::move(*frame)));
        }
    }

    void fail(const Error &error)
    {
        m_closed = true;
        m_channel->close();
        for (const auto &[callId, call] : m_pending)
            call->complete(tl::unexpected(error));
    }
};

} // namespace

struct PeerClient::State : std::enable_shared_from_this<State> {
    State(asio::io_context &context, RpcLimits limits, std::shared_ptr<PeerTraffic> traffic)
        : m_context(context)
        , m_limits(limits)
        , m_traffic(std::move(traffic))
    { }

    asio::io_context &m_context;
    RpcLimits m_limits;
    std::shared_ptr<PeerTraffic> m_traffic;
    std::map<Address, std::shared_ptr<Connection>> m_connections;
    uint64_t m_lastCallId = 0;

    std::shared_ptr<Connection> connectionTo(const Address &address)
    {
        std::shared_ptr<Connection> &slot = m_connections[address];
        if (slot && !slot->m_closed)
            return slot;
        slot = std::make_shared<Connection>();
        slot->m_channel = std::make_shared<RpcChannel>(tcp::socket(m_context), m_limits,
                                                       m_limits.m_clientIdle, m_traffic);
        spawnFiber([self = shared_from_this(), connection = slot, address] {
            connection->run(address);
            const auto current = self->m_connections.find(address);
            if (current != self->m_connections.end() && current->second == connection)
                self->m_connections.erase(current);
        });
        return slot;
    }

    /// Makes the next call open another connection; calls in flight may still complete on this one.
    void retire(const Address &address, const std::shared_ptr<Connection> &connection)
    {
        connection->m_retired = true;
        const auto current = m_connections.find(address);
        if (current != m_connections.end() && current->second == connection)
            m_connections.erase(current);
    }
};

PeerClient::PeerClient(asio::io_context &context, RpcLimits limits,
                       std::shared_ptr<PeerTraffic> traffic)
    : m_state(std::make_shared<State>(
        context, limits, traffic ? std::move(traffic) : std::make_shared<PeerTraffic>()))
{ }

PeerClient::~PeerClient()
{
    for (const auto &[address, connection] : m_state->m_connections)
        connection->m_channel->close();
}

size_t PeerClient::connections() const
{
    return m_state->m_connections.size();
}

Result<std::string> PeerClient::callRaw(const Address &address, std::string_view name,
                                        std::string payload, Duration timeout)
{
    const auto state = m_state;
    ++state->m_traffic->m_rpcCalls;
    RpcFrame frame;
    frame.m_version = RpcChannel::Version;
    frame.m_callId = ++state->m_lastCallId;
    frame.m_method = std::string(name);
    frame.m_payload = std::move(payload);
    const TimePoint startedAt = Clock::now();
    const auto connection = state->connectionTo(address);
    PendingCall call(state->m_context);
    connection->m_pending.emplace(frame.m_callId, &call);
    const Status sent = connection->send(frame);
    if (!sent)
        call.complete(tl::unexpected(sent.error()));
    if (!call.m_done)
        call.wait(timeout);
    connection->m_pending.erase(frame.m_callId);
    const bool unanswered =
        !call.m_reply && call.m_reply.error().m_code == ErrorCode::DeadlineExceeded;
    const bool silent = connection->m_lastFrameAt < startedAt
                        && Clock::now() - startedAt >= state->m_limits.m_replaceAfter;
    if (unanswered && silent)
        state->retire(address, connection);
    if (connection->m_retired && connection->m_pending.empty())
        connection->m_channel->close();
    if (!call.m_reply)
        ++state->m_traffic->m_rpcFailed;
    return std::move(call.m_reply);
}

} // namespace stackquay
