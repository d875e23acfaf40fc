/// Typed calls between daemons over TCP.
///
/// A request type names itself and its reply:
///
///     struct Ping {
///         using Reply = Pong;
///         static constexpr std::string_view RpcName = "ping";
///         MSGPACK_DEFINE(...)
///     };
///
/// The server answers it with server.handle<Ping>([](const Ping &) -> Result<Pong> {...}), and a
/// client calls client.call<Ping>(address, ping, Millis(200)).
#pragma once

#include <functional>
#include <map>
#include <unordered_map>

#include "peers/codec.h"
#include "peers/rpc_channel.h"

namespace stackquay {

/// Serves RPC calls on one FiberThread, each in its own fiber.
class PeerServer
{
public:
    /// @p thread must outlive the server, and be stopped before it is destroyed.
    explicit PeerServer(FiberThread &thread, RpcLimits limits = {},
                        std::shared_ptr<PeerTraffic> traffic = nullptr);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Registers the handler of a request type. Call before listen(). The handler may block its
    /// fiber.
    template<typename Request, typename Handler>
    void handle(Handler handler)
    {
        addHandler(Request::RpcName, [handler = std::move(handler)](const std::string &payload) {
            return answer<Request>(handler, payload);
        });
    }

    /// Binds and starts accepting connections. With port 0 the kernel chooses one. Returns the
    /// bound address.
    Result<Address> listen(const Address &address);
    /// Stops accepting and closes all connections. Call on the thread.
    void close();

private:
    using RawHandler = std::function<Result<std::string>(const std::string &)>;
    struct State;

    template<typename Request, typename Handler>
    static Result<std::string> answer(const Handler &handler, const std::string &payload)
    {
        const Result<Request> request = decodeMessage<Request>(payload);
        if (!request)
            return tl::unexpected(request.error());
        const Result<typename Request::Reply> reply = handler(*request);
        if (!reply)
            return tl::unexpected(reply.error());
        return encodeMessage(*reply);
    }

    void addHandler(std::string_view name, RawHandler handler);

    std::shared_ptr<State> m_state;
};

/// Calls other daemons from the fibers of one thread. Keeps one connection per address, shared by
/// all calls in flight to it.
class PeerClient
{
public:
    /// @p context is the FiberThread's; the client must be destroyed before it.
    explicit PeerClient(boost::asio::io_context &context, RpcLimits limits = {},
                        std::shared_ptr<PeerTraffic> traffic = nullptr);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Makes one call. Errors: Unavailable: it was not sent; OutcomeUnknown: the connection was
    /// lost after sending; DeadlineExceeded: no answer within @p timeout (sent or not);
    /// ProtocolError; or the error that the handler returned.
    template<typename Request, typename Reply = typename Request::Reply>
    Result<Reply> call(const Address &address, const Request &request, Duration timeout)
    {
        const Result<std::string> reply =
            callRaw(address, Request::RpcName, encodeMessage(request), timeout);
        if (!reply)
            return tl::unexpected(reply.error());
        return decodeMessage<Reply>(*reply);
    }

    /// Number of connections, including those being opened.
    size_t connections() const;

private:
    struct State;

    Result<std::string> callRaw(const Address &address, std::string_view name, std::string payload,
                                Duration timeout);

    std::shared_ptr<State> m_state;
};

} // namespace stackquay
