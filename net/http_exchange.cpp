#include "net/http_exchange.h"

#include <cassert>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/http_target.h"

namespace stackquay {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Socket = FiberSocket::Socket;

/// An answer that is ready is sent, also late: time for it beyond the deadline.
constexpr Millis MinWriteTime{ 2'000 };

auto makeChunk(std::string_view chunk)
{
    return http::make_chunk(asio::buffer(chunk.data(), chunk.size()));
}

} // namespace

/// Shared by an exchange and its hang-up watch, which may outlive it.
struct ServerExchange::Hangup {
    std::function<void()> m_callback;
    bool m_active = true;
};

ServerExchange::ServerExchange(ClientConnection &connection, ClientConnections &connections,
                               bool readAhead, IncomingRequest incoming,
                               const HttpServerLimits &limits, const std::atomic<bool> &closing)
    : m_connection(connection)
    , m_connections(connections)
    , m_stream(connection.m_stream)
    , m_readAhead(readAhead)
    , m_request(std::move(incoming.m_request))
    , m_keepAlive(incoming.m_keepAlive)
    , m_limits(limits)
    , m_closing(closing)
{ }

ServerExchange::~ServerExchange()
{
    endWatch();
}

/// Calls @p write with an error to set, within the time that the client has to take the bytes.
template<typename Write>
Status ServerExchange::send(Write write)
{
    const TimePoint now = Clock::now();
    const Duration useful =
        m_answerDeadline == TimePoint::max() ? Duration::max() : m_answerDeadline - now;
    m_stream.expiresAfter(
        std::min<Duration>(m_limits.m_writeTimeout, std::max<Duration>(useful, MinWriteTime)));
    const PhaseScope writing(m_connection, ConnectionPhase::Writing);
    boost::system::error_code error;
    if (m_connection.m_givesWay)
        error = asio::error::operation_aborted;
    else
        write(error);
    if (!error)
        return {};
    m_keepAlive = false;
    return makeError(ErrorCode::Cancelled, "caller is gone: " + error.message());
}

template<typename Message>
void ServerExchange::fillHead(Message &message, unsigned status, const HttpHeaders &headers)
{
    message.result(status);
    message.version(11);
    for (const HttpHeader &header : headers)
        message.insert(header.m_name, header.m_value);
    m_keepAlive = m_keepAlive && !m_closing;
    message.keep_alive(m_keepAlive);
}

Status ServerExchange::respond(const HttpResponse &response)
{
    const Status valid = checkFields(response.m_headers);
    if (!valid)
        return valid; // The server answers for the handler.
    endWatch();
    m_started = true;
    m_finished = true;
    http::response<http::span_body<const char>> message;
    fillHead(message, response.m_status, response.m_headers);
    message.body() = { response.m_body.data(), response.m_body.size() };
    message.prepare_payload();
    return send([&](boost::system::error_code &error) { http::write(m_stream, message, error); });
}

Status ServerExchange::startStream(unsigned status, const HttpHeaders &headers,
                                   std::string_view first)
{
    const Status valid = checkFields(headers);
    if (!valid)
        return valid; // The server answers for the handler.
    m_started = true;
    http::response<http::empty_body> message;
    fillHead(message, status, headers);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    serializer.split(true);
    return send([&](boost::system::error_code &error) {
        serializer.next(error, [&](boost::system::error_code &, const auto &header) {
            if (first.empty())
                asio::write(m_stream, header, error);
            else
                asio::write(m_stream, beast::buffers_cat(header, makeChunk(first)), error);
        });
    });
}

Status ServerExchange::write(std::string_view chunk)
{
    if (chunk.empty())
        return {};
    return send(
        [&](boost::system::error_code &error) { asio::write(m_stream, makeChunk(chunk), error); });
}

Status ServerExchange::finish(std::string_view last)
{
    endWatch();
    m_finished = true;
    return send([&](boost::system::error_code &error) {
        if (last.empty())
            asio::write(m_stream, http::make_chunk_last(), error);
        else
            asio::write(m_stream, beast::buffers_cat(makeChunk(last), http::make_chunk_last()),
                        error);
    });
}

void ServerExchange::abort()
{
    endWatch();
    m_started = true;
    m_keepAlive = false;
    m_aborted = true;
    boost::system::error_code ignored;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    m_stream.socket().close(ignored);
}

bool ServerExchange::changeAnswerMemory(ptrdiff_t bytes, const std::function<bool()> &wanted)
{
    MemoryHold &held = m_connection.m_answer;
    return m_connections.awaitMemory(m_connection, held, held.bytes() + static_cast<size_t>(bytes),
                                     wanted);
}

bool AnswerMemory::resize(size_t bytes, const std::function<bool()> &wanted)
{
    const auto change = static_cast<ptrdiff_t>(bytes) - static_cast<ptrdiff_t>(m_bytes);
    if (change != 0 && !m_exchange->changeAnswerMemory(change, wanted))
        return false;
    m_bytes = bytes;
    return true;
}

void AnswerMemory::release()
{
    const bool released = resize(0, {});
    assert(released);
    (void)released;
}

void ServerExchange::onHangup(std::function<void()> callback)
{
    if (m_hangup) {
        m_hangup->m_callback = std::move(callback);
        return;
    }
    // A pipelined request already read ahead says that the caller is there.
    if (m_readAhead)
        return;
    m_hangup = std::make_shared<Hangup>();
    m_hangup->m_callback = std::move(callback);
    watch();
}

bool ServerExchange::callerLeft() const
{
    return m_stream.readable() && !m_stream.hasBytes();
}

void ServerExchange::watch()
{
    m_stream.socket().async_wait(
        Socket::wait_read, [this, hangup = m_hangup](const boost::system::error_code &error) {
            if (!hangup->m_active || error == asio::error::operation_aborted)
                return;
            if (!error && m_stream.hasBytes())
                return;
            hangup->m_active = false;
            // The handler may return before the fiber runs: then nobody is to be told.
            spawnFiber([hangup] {
                const auto callback = hangup->m_callback;
                if (callback)
                    callback();
            });
        });
}

void ServerExchange::endWatch()
{
    if (!m_hangup)
        return;
    m_hangup->m_active = false;
    m_hangup->m_callback = nullptr;
}

} // namespace stackquay
