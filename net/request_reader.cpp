#include "net/request_reader.h"

#include <array>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "net/error_body.h"
#include "net/piece_body.h"

namespace stackquay {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned StatusUnavailable = 503;
/// Read at once, beyond a head of the greatest length.
constexpr size_t ReadBytes = 8192;
/// For a client that is told that memory or connections are short.
constexpr const char *RetryAfterShortage = "1";
/// Other VMs can serve the request now.
constexpr const char *RetryAfterDrain = "0";
constexpr Millis DiscardTime{ 500 };

std::string_view toStd(beast::string_view text)
{
    return { text.data(), text.size() };
}

unsigned statusOf(const boost::system::error_code &error)
{
    if (error == http::error::body_limit)
        return 413;
    // The parser keeps the trailers, or the header of a chunk, until it has them whole.
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return 431;
    if (error == beast::error::timeout)
        return 408;
    if (error == asio::error::operation_aborted || error == asio::error::no_buffer_space)
        return StatusUnavailable;
    return 400;
}

/// The request without its body. Only before the body is read: the parser adds trailer fields to
/// the header, where anyone could send those that only a header may have.
template<typename Message>
HttpRequest headOf(const Message &message)
{
    HttpRequest request;
    request.m_method = std::string(toStd(message.method_string()));
    request.m_target = std::string(toStd(message.target()));
    for (const auto &field : message)
        request.m_headers.push_back(
            { std::string(toStd(field.name_string())), std::string(toStd(field.value())) });
    return request;
}

/// Memory of a head while its request is in progress. Fields of a few bytes take many times as
/// much.
size_t headMemory(const HttpRequest &head)
{
    // As received, as they are passed on, and in the attempt.
    constexpr size_t Copies = 3;
    size_t bytes = head.m_target.size();
    for (const HttpHeader &field : head.m_headers)
        bytes += sizeof(field) + field.m_name.size() + field.m_value.size();
    return Copies * bytes;
}

void sendContinue(FiberSocket &stream, boost::system::error_code &error)
{
    const http::response<http::empty_body> message(http::status::continue_, 11);
    http::response_serializer<http::empty_body> serializer(message);
    http::write(stream, serializer, error);
}

} // namespace

struct RequestReader::Incoming {
    http::request_parser<PieceBody> m_parser;
    HttpRequest m_request;
    size_t m_headBytes = 0;
    TimePoint m_readBy{};
};

RequestReader::RequestReader(ClientConnection &connection, ClientConnections &connections)
    : m_connection(connection)
    , m_connections(connections)
{ }

boost::system::error_code RequestReader::awaitRequest(Millis timeout)
{
    ErrorValue error;
    if (hasReadAhead())
        return error;
    m_connection.m_stream.expiresAfter(timeout);
    const size_t size = m_connection.m_stream.read_some(m_buffer.prepare(ReadBytes), error);
    m_buffer.commit(size);
    return error;
}

tl::expected<IncomingRequest, boost::system::error_code>
RequestReader::read(const HttpServerLimits &limits)
{
    const PhaseScope reading(m_connection, ConnectionPhase::Reading);
    m_buffer.max_size(std::max(limits.m_headerBytes + ReadBytes, m_buffer.size()));
    Incoming incoming;
    ErrorValue error = readHead(incoming, limits);
    if (!error && !incoming.m_parser.is_done())
        error = readBody(incoming, limits);
    if (error)
        return tl::unexpected(error);
    incoming.m_request.m_body = std::move(incoming.m_parser.get().body());
    return IncomingRequest{ std::move(incoming.m_request), incoming.m_parser.keep_alive() };
}

boost::system::error_code RequestReader::readSome(Incoming &incoming)
{
    ErrorValue error;
    http::read_some(m_connection.m_stream, m_buffer, incoming.m_parser, error);
    // A read that had completed before the connection was chosen to give way does not fail.
    if (!error && m_connection.m_givesWay)
        return asio::error::operation_aborted;
    // A client whose bytes are always there lets no read time out.
    if (!error && Clock::now() >= incoming.m_readBy && !incoming.m_parser.is_done())
        return beast::error::timeout;
    return error;
}

boost::system::error_code RequestReader::readHead(Incoming &incoming,
                                                  const HttpServerLimits &limits)
{
    incoming.m_parser.header_limit(static_cast<uint32_t>(limits.m_headerBytes));
    incoming.m_parser.body_limit(limits.m_bodyBytes);
    incoming.m_readBy = Clock::now() + limits.m_headerTimeout;
    m_connection.m_stream.expiresAfter(limits.m_headerTimeout);
    while (!incoming.m_parser.is_header_done()) {
        const ErrorValue error = readSome(incoming);
        if (error)
            return error;
        if (!hold(incoming, 0))
            return asio::error::no_buffer_space;
    }
    incoming.m_request = headOf(incoming.m_parser.get());
    incoming.m_headBytes = headMemory(incoming.m_request);
    if (!hold(incoming, 0))
        return asio::error::no_buffer_space;
    return {};
}

boost::system::error_code RequestReader::readBody(Incoming &incoming,
                                                  const HttpServerLimits &limits)
{
    ErrorValue error;
    auto &parser = incoming.m_parser;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
        sendContinue(m_connection.m_stream, error);
    if (error)
        return error;
    const std::optional<Duration> useful =
        limits.m_usefulTime ? limits.m_usefulTime(incoming.m_request) : std::nullopt;
    const Duration timeout =
        std::min(useful.value_or(limits.m_bodyTimeout), Duration(limits.m_bodyTimeout));
    incoming.m_readBy = Clock::now() + timeout;
    m_connection.m_stream.expiresAfter(timeout);
    parser.eager(true);
    const size_t most = parser.content_length().value_or(limits.m_bodyBytes);
    while (!parser.is_done()) {
        error = readSome(incoming);
        if (error)
            return error;
        if (!growBody(incoming, parser.is_done() ? parser.get().body().size() : most))
            return asio::error::no_buffer_space;
    }
    return {};
}

bool RequestReader::hold(const Incoming &incoming, size_t bodyBytes)
{
    return m_connections.awaitMemory(m_connection, m_connection.m_request,
                                     m_buffer.capacity() + incoming.m_headBytes + bodyBytes);
}

/// Makes room for the next read of a body that will have @p most bytes at most.
bool RequestReader::growBody(Incoming &incoming, size_t most)
{
    std::string &body = incoming.m_parser.get().body();
    const size_t next = std::min(body.size() + ReadBytes, most);
    size_t capacity = body.capacity();
    // Small ones grow by themselves, so that a client that sends little claims little.
    if (next > capacity && body.size() > ReadBytes)
        capacity = std::min(std::max(2 * capacity, next), most);
    if (!hold(incoming, capacity))
        return false;
    body.reserve(capacity);
    return true;
}

void RequestReader::endRequest()
{
    if (m_buffer.capacity() > ReadBytes)
        m_buffer.shrink_to_fit();
    m_connection.m_answer.release();
    m_connection.m_request.resize(
        std::min(m_buffer.capacity(), ClientConnection::RequestAllowance));
}

void RequestReader::refuse(const ErrorValue &error, const HttpServerLimits &limits)
{
    if (error == http::error::end_of_stream || error == asio::error::connection_reset)
        return;
    const unsigned status = statusOf(error);
    const bool isShort = error == asio::error::no_buffer_space || m_connection.m_givesWay;
    http::response<http::string_body> message;
    message.result(status);
    message.version(11);
    message.set(http::field::content_type, "application/json");
    if (status == StatusUnavailable)
        message.set(http::field::retry_after, isShort ? RetryAfterShortage : RetryAfterDrain);
    message.keep_alive(false);
    message.body() =
        errorBody(status, isShort ? "memory or connections are short" : error.message());
    message.prepare_payload();
    ErrorValue ignored;
    m_connection.m_stream.expiresAfter(limits.m_writeTimeout);
    const PhaseScope writing(m_connection, ConnectionPhase::Discarding);
    http::write(m_connection.m_stream, message, ignored);
}

void RequestReader::discardRest()
{
    const PhaseScope discarding(m_connection, ConnectionPhase::Discarding);
    ErrorValue error;
    FiberSocket &stream = m_connection.m_stream;
    stream.socket().shutdown(FiberSocket::Socket::shutdown_send, error);
    const TimePoint until = Clock::now() + DiscardTime;
    stream.expiresAfter(DiscardTime);
    std::array<char, ReadBytes> unread;
    while (!error && Clock::now() < until)
        stream.read_some(asio::buffer(unread), error);
}

} // namespace stackquay
