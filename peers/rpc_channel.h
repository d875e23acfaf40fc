/// One TCP connection between two daemons that carries frames both ways.
///
/// A frame is its length (four bytes, big endian) and then one msgpack value.
#pragma once

#include <chrono>
#include <deque>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include "net/net.h"
#include "peers/traffic.h"

namespace stackquay {

/// What a connection between daemons accepts.
struct RpcLimits {
    size_t m_frameBytes = 8 * 1024 * 1024;
    size_t m_queuedBytes = 32 * 1024 * 1024; ///< Unsent; a peer that reads slower is cut off.
    size_t m_callsInFlight = 4096; ///< Per connection.
    size_t m_connections = 4096;
    Millis m_clientIdle{ 60'000 }; ///< The client closes first, so that no call meets a close.
    Millis m_serverIdle{ 180'000 };
    /// A connection that brought nothing while a call waited so long for its answer takes no
    /// further call; the next opens another. A connection within a data centre takes a few ms, and
    /// a lost packet is sent again after 200.
    Millis m_replaceAfter{ 300 };
    SilenceBounds m_silence;
};

enum class RpcKind : uint8_t {
    Request = 0,
    Reply = 1,
    Failure = 2,
};

struct RpcFrame {
    uint8_t m_version = 0;
    RpcKind m_kind = RpcKind::Request;
    uint64_t m_callId = 0; ///< Chosen by the client; the answer repeats it.
    std::string m_method; ///< Requests: the name of the message type.
    uint8_t m_errorCode = 0; ///< Failures: an ErrorCode.
    std::string m_payload; ///< The encoded message; failures: the error's text.

    MSGPACK_DEFINE(m_version, m_kind, m_callId, m_method, m_errorCode, m_payload)
};

/// Used by the fibers of one thread only.
class RpcChannel : public std::enable_shared_from_this<RpcChannel>
{
public:
    static constexpr uint8_t Version = 1;

    RpcChannel(boost::asio::ip::tcp::socket socket, const RpcLimits &limits, Duration idleTimeout,
               std::shared_ptr<PeerTraffic> traffic);

    Status connect(const Address &address, Duration timeout);
    /// Queues a frame; a fiber of its own writes it. ResourceExhausted if too much is queued.
    Status send(const RpcFrame &frame);
    /// Waits for the next frame. Any error means that the connection is closed.
    Result<RpcFrame> receive();
    void close();
    bool open() const { return m_open; }
    /// Whether any frame was handed to the operating system.
    bool wroteAny() const { return m_wroteAny; }

private:
    void writeQueued();
    void closeAfter(Duration timeout);
    Status readBytes(char *bytes, size_t size);

    boost::asio::ip::tcp::socket m_socket;
    ClockTimer m_timer;
    const RpcLimits m_limits;
    const Duration m_idleTimeout;
    std::shared_ptr<PeerTraffic> m_traffic;
    std::string m_queued;
    bool m_open = true;
    bool m_writing = false;
    bool m_wroteAny = false;
};

} // namespace stackquay

MSGPACK_ADD_ENUM(stackquay::RpcKind)
