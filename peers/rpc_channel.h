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

/// Limits of a connection between daemons.
struct RpcLimits {
    size_t m_frameBytes = 8 * 1024 * 1024;
    size_t m_queuedBytes = 32 * 1024 * 1024; ///< Unsent bytes; above this, send() fails.
    size_t m_callsInFlight = 4096; ///< Per connection.
    size_t m_connections = 4096;
    /// Shorter than the server's, so that no call is sent while the server closes.
    Millis m_clientIdle{ 60'000 };
    Millis m_serverIdle{ 180'000 };
    /// If a call times out after at least this time and no frame arrived meanwhile, the connection
    /// gets no new calls and the next call opens another. Connecting within a data centre takes a
    /// few ms, and TCP retransmits a lost packet after 200 ms.
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
    uint64_t m_callId = 0; ///< Chosen by the client; the reply repeats it.
    std::string m_method; ///< Requests: the name of the message type.
    uint8_t m_errorCode = 0; ///< Failures: an ErrorCode.
    std::string m_payload; ///< The encoded message; failures: the error's text.

    MSGPACK_DEFINE(m_version, m_kind, m_callId, m_method, m_errorCode, m_payload)
};

/// Sends and receives frames on one connection. Used by the fibers of one thread only.
class RpcChannel : public std::enable_shared_from_this<RpcChannel>
{
public:
    static constexpr uint8_t Version = 1;

    RpcChannel(boost::asio::ip::tcp::socket socket, const RpcLimits &limits, Duration idleTimeout,
               std::shared_ptr<PeerTraffic> traffic);

    Status connect(const Address &address, Duration timeout);
    /// Queues a frame; a separate fiber writes it. ResourceExhausted if the frame is too long or
    /// too many bytes are queued. Unavailable if the connection is closed.
    Status send(const RpcFrame &frame);
    /// Waits for the next frame. Any error means that the connection is closed.
    Result<RpcFrame> receive();
    void close();
    bool open() const { return m_open; }
    /// Whether any bytes were passed to the operating system.
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
