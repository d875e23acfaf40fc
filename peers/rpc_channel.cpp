#include "peers/rpc_channel.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <fmt/format.h>

#include "peers/codec.h"

namespace stackquay {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr size_t LengthBytes = 4;

} // namespace

RpcChannel::RpcChannel(tcp::socket socket, const RpcLimits &limits, Duration idleTimeout,
                       std::shared_ptr<PeerTraffic> traffic)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_limits(limits)
    , m_idleTimeout(idleTimeout)
    , m_traffic(std::move(traffic))
{
    boost::system::error_code ignored;
    if (!m_socket.is_open())
        return;
    m_socket.set_option(tcp::no_delay(true), ignored);
    boundSilence(m_socket.native_handle(), m_limits.m_silence);
}

Status RpcChannel::connect(const Address &address, Duration timeout)
{
    const auto endpoint = toTcp(address);
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    closeAfter(timeout);
    boost::system::error_code error;
    m_socket.async_connect(*endpoint, Yield{ error });
    m_timer.cancel();
    if (error || !m_open) {
        close();
        return makeError(ErrorCode::Unavailable,
                         fmt::format("connect to {}: {}", toString(address), error.message()));
    }
    m_socket.set_option(tcp::no_delay(true), error);
    boundSilence(m_socket.native_handle(), m_limits.m_silence);
    return {};
}

Status RpcChannel::send(const RpcFrame &frame)
{
    if (!m_open)
        return makeError(ErrorCode::Unavailable, "the connection is closed");
    const std::string body = encodeMessage(frame);
    if (body.size() > m_limits.m_frameBytes)
        return makeError(ErrorCode::ResourceExhausted, "the message is too long");
    if (m_queued.size() + body.size() > m_limits.m_queuedBytes)
        return makeError(ErrorCode::ResourceExhausted, "the peer reads too slowly");
    char length[LengthBytes];
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(length),
                                 static_cast<uint32_t>(body.size()));
    m_queued.append(length, LengthBytes);
    m_queued += body;
    if (m_writing)
        return {};
    m_writing = true;
    spawnFiber([self = shared_from_this()] { self->writeQueued(); });
    return {};
}

void RpcChannel::writeQueued()
{
    std::string bytes;
    while (m_open && !m_queued.empty()) {
        bytes.clear();
        bytes.swap(m_queued);
        m_wroteAny = true;
        boost::system::error_code error;
        asio::async_write(m_socket, asio::buffer(bytes), Yield{ error });
        if (error) {
            close();
            break;
        }
        m_traffic->m_rpcBytesOut += bytes.size();
    }
    m_writing = false;
}

Status RpcChannel::readBytes(char *bytes, size_t size)
{
    boost::system::error_code error;
    asio::async_read(m_socket, asio::buffer(bytes, size), Yield{ error });
    if (!error && m_open)
        return {};
    close();
    return makeError(ErrorCode::Unavailable, "connection lost: " + error.message());
}

Result<RpcFrame> RpcChannel::receive()
{
    closeAfter(m_idleTimeout);
    unsigned char length[LengthBytes];
    Status status = readBytes(reinterpret_cast<char *>(length), LengthBytes);
    if (!status)
        return tl::unexpected(status.error());
    const size_t size = boost::endian::load_big_u32(length);
    if (size > m_limits.m_frameBytes) {
        close();
        return makeError(ErrorCode::ProtocolError,
                         fmt::format("frame of {} bytes exceeds the limit", size));
    }
    std::string body(size, '\0');
    status = readBytes(body.data(), size);
    if (!status)
        return tl::unexpected(status.error());
    m_traffic->m_rpcBytesIn += LengthBytes + size;
    auto frame = decodeMessage<RpcFrame>(body);
    if (frame && frame->m_version != Version)
        frame = makeError(ErrorCode::ProtocolError,
                          fmt::format("unknown frame version {}", frame->m_version));
    if (!frame)
        close();
    return frame;
}

void RpcChannel::closeAfter(Duration timeout)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (self && !error)
            self->close();
    });
}

void RpcChannel::close()
{
    m_open = false;
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace stackquay
