#include "net/http_client.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "net/fiber_socket.h"
#include "net/http_target.h"
#include "net/piece_body.h"

namespace stackquay {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr size_t ReadBytes = 16 * 1024;
/// Of a head, of one chunk's header and of the trailers.
constexpr uint32_t HeaderLimit = 64 * 1024;
/// Responses with status 1xx before an answer. Servers send one or two of them.
constexpr size_t MaxInterimResponses = 16;
// Answers are read in pieces; the reader bounds what it keeps.
constexpr uint64_t BodyLimit = uint64_t(1) << 40;
/// A peer that states no idle timeout is trusted for this long.
constexpr Duration UnstatedIdleLimit = Seconds(3);
/// Silent connections to two addresses within this time are one event, that may have met all.
constexpr Duration SilenceSpan = Seconds(1);
/// A replacement is connected at once, or the peer is away.
constexpr Duration ReplaceTimeout = Seconds(1);
/// Of a stated timeout, this part is used: the rest covers both ways and a slow peer.
constexpr double IdleLimitShare = 0.6;

using Parser = http::response_parser<PieceBody>;

Error toError(const boost::system::error_code &error, std::string_view step)
{
    std::string message = fmt::format("{}: {}", step, error.message());
    if (error == beast::error::timeout)
        return { ErrorCode::DeadlineExceeded, std::move(message) };
    if (error == asio::error::operation_aborted)
        return { ErrorCode::Cancelled, std::move(message) };
    if (error.category() == http::make_error_code(http::error::bad_version).category()
        && error != http::error::end_of_stream && error != http::error::partial_message)
        return { ErrorCode::ProtocolError, std::move(message) };
    return { ErrorCode::Unavailable, std::move(message) };
}

/// The timeout that a Keep-Alive header states, as "timeout=5, max=100", less a margin.
std::optional<Duration> statedIdleLimit(std::string_view header)
{
    constexpr std::string_view Name = "timeout=";
    const size_t start = header.find(Name);
    if (start == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = header.substr(start + Name.size());
    int64_t seconds = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (error != std::errc())
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(Seconds(seconds) * IdleLimitShare);
}

bool isInterim(unsigned status)
{
    return http::to_status_class(status) == http::status_class::informational;
}

/// Whether the body is framed by nothing but its length, chunks or the connection's end: bodies in
/// another transfer coding are not decoded, and none is asked for.
bool isPlainlyFramed(const http::response_header<> &head)
{
    const auto [first, last] = head.equal_range(http::field::transfer_encoding);
    return std::all_of(first, last,
                       [](const auto &field) { return beast::iequals(field.value(), "chunked"); });
}

/// What is wrong with a head that the parser accepts.
boost::system::error_code checkHead(const http::response_header<> &head)
{
    // No request asks for another protocol.
    if (!isHttpStatus(head.result_int()) || head.result() == http::status::switching_protocols)
        return http::error::bad_status;
    if (!isPlainlyFramed(head))
        return http::error::bad_transfer_encoding;
    return {};
}

} // namespace

struct HttpConnection::State {
    explicit State(asio::io_context &context)
        : m_stream(FiberSocket::Socket(context))
    { }

    ~State() { close(); }

    FiberSocket m_stream;
    bool m_inExchange = false; ///< A request was sent, and its response is not complete.
    beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::string m_host;
    size_t m_bytesSent = 0;
    bool m_open = false;
    bool m_reusable = false;
    bool m_silent = false;
    bool m_refused = false;
    TimePoint m_sentAt{};
    TimePoint m_readAt{}; ///< When bytes were last read.
    TimePoint m_readBy{}; ///< When the read in progress times out.
    SilenceHandler m_silenceHandler;
    TimePoint m_bytesBy = TimePoint::max(); ///< When m_silenceHandler is called next.
    Duration m_idleLimit = UnstatedIdleLimit; ///< How long the peer surely keeps it open.
    TimePoint m_idleSince{};

    tl::unexpected<Error> fail(const boost::system::error_code &error, std::string_view step)
    {
        const bool waited = error == beast::error::timeout;
        if (m_open) {
            m_silent = error == asio::error::timed_out
                       || (waited && unacknowledgedBytes(m_stream.socket().native_handle()) > 0);
        }
        m_refused = error == asio::error::connection_refused;
        m_reusable = false;
        m_open = false;
        close();
        return tl::unexpected(toError(error, step));
    }

    /// Resets the connection if its request is given up: what the peer has not received yet would
    /// else still be delivered, after any delay, and run.
    void close()
    {
        boost::system::error_code ignored;
        if (m_inExchange)
            m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        m_inExchange = false;
        m_stream.close();
    }

    /// After the end of an answer the connection can be used again, unless bytes follow that belong
    /// to no request.
    void noteEnd()
    {
        m_inExchange = m_inExchange && !m_parser->is_done();
        m_reusable =
            m_parser->is_done() && m_parser->keep_alive() && m_open && m_buffer.size() == 0;
    }

    void beginResponse()
    {
        m_parser.emplace();
        m_parser->header_limit(HeaderLimit);
        m_parser->body_limit(BodyLimit);
    }

    /// Reads the head of the final response; interim responses before it are dropped.
    boost::system::error_code readFinalHead()
    {
        for (size_t interim = 0; interim <= MaxInterimResponses; ++interim) {
            while (!m_parser->is_header_done()) {
                const boost::system::error_code error = parseMore();
                if (error)
                    return error;
            }
            const auto &head = m_parser->get();
            const boost::system::error_code error = checkHead(head);
            if (error || !isInterim(head.result_int()))
                return error;
            beginResponse();
        }
        return http::error::header_limit;
    }

    /// Parses what was read before, or else reads more. An end of the connection ends only a body
    /// without announced length.
    boost::system::error_code parseMore()
    {
        boost::system::error_code error;
        if (m_buffer.size() > 0) {
            m_buffer.consume(m_parser->put(m_buffer.data(), error));
            if (error != http::error::need_more)
                return error;
            error = {};
            if (!m_parser->get().body().empty())
                return error;
            // The parser itself bounds the head only.
            if (m_buffer.size() > HeaderLimit)
                return http::error::header_limit;
        }
        m_buffer.commit(readSome(error));
        if (error == asio::error::eof) {
            // The parser would take an end before the first byte for an empty response.
            error = m_parser->got_some() ? boost::system::error_code() : http::error::end_of_stream;
            if (!error)
                m_parser->put_eof(error);
        }
        return error;
    }

    size_t readSome(boost::system::error_code &error)
    {
        for (;;) {
            m_stream.expiresAfter(std::min(m_readBy, m_bytesBy) - Clock::now());
            const size_t size = m_stream.read_some(m_buffer.prepare(ReadBytes), error);
            if (size > 0)
                m_readAt = Clock::now();
            if (error != beast::error::timeout || Clock::now() >= m_readBy || !m_silenceHandler)
                return size;
            const std::optional<TimePoint> next = m_silenceHandler();
            if (!next || !m_open) {
                error = asio::error::operation_aborted;
                return 0;
            }
            m_bytesBy = *next;
        }
    }
};

HttpConnection::HttpConnection(asio::io_context &context)
    : m_state(std::make_shared<State>(context))
{ }

HttpConnection::~HttpConnection() = default;

Status HttpConnection::connect(const Address &address, Duration timeout,
                               const SilenceBounds &silence)
{
    const auto endpoint = toTcp(address);
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    const auto state = m_state;
    state->m_stream.expiresAfter(timeout);
    boost::system::error_code error = state->m_stream.connect(*endpoint);
    if (error)
        return state->fail(error, "connect to " + toString(address));
    state->m_stream.socket().set_option(tcp::no_delay(true), error);
    boundSilence(state->m_stream.socket().native_handle(), silence);
    state->m_host = toString(address);
    state->m_open = true;
    return {};
}

Status HttpConnection::send(const HttpRequest &request, Duration timeout)
{
    return send(request, request.m_body, timeout);
}

Status HttpConnection::send(const HttpRequest &request, std::string_view body, Duration timeout)
{
    const auto state = m_state;
    state->m_bytesSent = 0;
    const Status valid = checkRequestHead(request);
    if (!valid)
        return valid;
    http::request<http::span_body<const char>> message;
    message.method_string(request.m_method);
    message.target(request.m_target);
    message.version(11);
    message.set(http::field::host, state->m_host);
    for (const HttpHeader &header : request.m_headers) {
        // A list may be sent as several headers of one name; there is only one host.
        if (http::string_to_field(header.m_name) == http::field::host)
            message.set(http::field::host, header.m_value);
        else
            message.insert(header.m_name, header.m_value);
    }
    message.body() = beast::span<const char>(body.data(), body.size());
    // prepare_payload() throws if a method may have no body, such as TRACE.
    if (body.empty())
        message.prepare_payload();
    else
        message.content_length(body.size());
    state->m_reusable = false;
    state->m_inExchange = true;
    state->beginResponse();
    boost::system::error_code error;
    state->m_sentAt = Clock::now();
    state->m_stream.expiresAfter(timeout);
    state->m_bytesSent = http::write(state->m_stream, message, error);
    if (error)
        return state->fail(error, "send");
    return {};
}

Result<HttpResponse> HttpConnection::readHeader(Duration timeout)
{
    const auto state = m_state;
    state->m_readBy = Clock::now() + timeout;
    const boost::system::error_code error = state->readFinalHead();
    if (error)
        return state->fail(error, "read header");
    // Several chunks that came together make one piece.
    state->m_parser->eager(true);
    HttpResponse response;
    response.m_status = state->m_parser->get().result_int();
    for (const auto &field : state->m_parser->get())
        response.m_headers.push_back(
            { std::string(field.name_string()), std::string(field.value()) });
    if (const auto limit = statedIdleLimit(findHeader(response.m_headers, "Keep-Alive")))
        state->m_idleLimit = *limit;
    state->noteEnd();
    return response;
}

Status HttpConnection::readBody(std::string &piece, Duration timeout)
{
    const auto state = m_state;
    Parser &parser = *state->m_parser;
    std::string &body = parser.get().body();
    piece.clear();
    body.swap(piece);
    state->m_readBy = Clock::now() + timeout;
    while (body.empty() && !parser.is_done()) {
        const boost::system::error_code error = state->parseMore();
        if (error)
            return state->fail(error, "read body");
    }
    body.swap(piece);
    state->noteEnd();
    return {};
}

Result<std::string> HttpConnection::readWhole(Duration timeout, size_t limit,
                                              const ReserveMemory &reserve)
{
    const auto state = m_state;
    const TimePoint deadline = Clock::now() + timeout;
    std::string whole;
    std::string piece;
    const auto announced = state->m_parser->content_length_remaining();
    if (announced.value_or(0) > limit)
        return state->fail(http::error::body_limit, "read body");
    const auto makeRoom = [&](size_t bytes) {
        if (bytes <= whole.capacity())
            return true;
        const size_t capacity = std::min(std::max(bytes, 2 * whole.capacity()), limit);
        if (reserve && !reserve(capacity))
            return false;
        whole.reserve(capacity);
        return true;
    };
    const auto noMemory = [&] {
        cancel();
        return makeError(ErrorCode::ResourceExhausted, "no memory for the body");
    };
    if (reserve && !makeRoom(announced.value_or(0)))
        return noMemory();
    for (;;) {
        const Status status =
            readBody(piece, std::max<Duration>(deadline - Clock::now(), Millis(1)));
        if (!status)
            return tl::unexpected(status.error());
        if (piece.empty())
            return whole;
        if (piece.size() > limit - whole.size())
            return state->fail(http::error::body_limit, "read body");
        if (!makeRoom(whole.size() + piece.size()))
            return noMemory();
        whole += piece;
        // A peer whose bytes are always there already lets no read time out.
        if (Clock::now() >= deadline && !state->m_parser->is_done())
            return state->fail(beast::error::timeout, "read body");
    }
}

void HttpConnection::cancel()
{
    m_state->m_open = false;
    m_state->m_reusable = false;
    m_state->close();
}

void HttpConnection::setSilenceHandler(SilenceHandler handler)
{
    m_state->m_silenceHandler = std::move(handler);
    m_state->m_bytesBy = TimePoint::max();
}

void HttpConnection::expectBytesBy(TimePoint time)
{
    m_state->m_bytesBy = time;
}

bool HttpConnection::awaitReadable(Duration timeout)
{
    const auto state = m_state;
    state->m_stream.expiresAfter(timeout);
    return state->m_open && state->m_stream.waitReadable();
}

void HttpConnection::stopAwaiting()
{
    m_state->m_stream.cancel();
}

size_t HttpConnection::bytesSent() const
{
    return m_state->m_bytesSent;
}

bool HttpConnection::reusable() const
{
    return m_state->m_open && m_state->m_reusable;
}

bool HttpConnection::alive() const
{
    if (!m_state->m_open || Clock::now() - m_state->m_idleSince > m_state->m_idleLimit)
        return false;
    // Nothing may come between answers: an end or a stray byte makes the connection useless.
    return !readable();
}

bool HttpConnection::readable() const
{
    return m_state->m_open && m_state->m_stream.readable();
}

bool HttpConnection::hasBytes() const
{
    return m_state->m_open && m_state->m_stream.hasBytes();
}

bool HttpConnection::unacknowledged() const
{
    return m_state->m_open && unacknowledgedBytes(m_state->m_stream.socket().native_handle()) > 0;
}

bool HttpConnection::reused() const
{
    return m_state->m_idleSince != TimePoint{};
}

bool HttpConnection::responseEndsWithConnection() const
{
    return m_state->m_parser->need_eof();
}

Duration HttpConnection::idleFor() const
{
    return Clock::now() - m_state->m_idleSince;
}

bool HttpConnection::silent() const
{
    return m_state->m_silent;
}

bool HttpConnection::refused() const
{
    return m_state->m_refused;
}

uint16_t HttpConnection::localPort() const
{
    boost::system::error_code error;
    const auto local = m_state->m_stream.socket().local_endpoint(error);
    return error ? uint16_t(0) : local.port();
}

TimePoint HttpConnection::sentAt() const
{
    return m_state->m_sentAt;
}

TimePoint HttpConnection::lastReadAt() const
{
    return m_state->m_readAt;
}

void HttpConnection::beginIdle()
{
    m_state->m_idleSince = Clock::now();
}

HttpPool::HttpPool(asio::io_context &context, size_t idlePerAddress, const SilenceBounds &silence)
    : m_context(context)
    , m_idlePerAddress(idlePerAddress)
    , m_silence(silence)
{ }

Result<std::unique_ptr<HttpConnection>> HttpPool::acquire(const Address &address, Duration timeout,
                                                          bool fresh, Duration longestIdle)
{
    if (threadStopping())
        return makeError(ErrorCode::Cancelled, "the thread is stopping");
    auto &idle = m_idle[toString(address)];
    // The last one was used last.
    while (!fresh && !idle.empty() && idle.back()->idleFor() <= longestIdle) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->alive())
            return connection;
    }
    auto connection = std::make_unique<HttpConnection>(m_context);
    const Status status = connection->connect(address, timeout, m_silence);
    if (!status)
        return tl::unexpected(status.error());
    return connection;
}

void HttpPool::release(const Address &address, std::unique_ptr<HttpConnection> connection)
{
    auto &idle = m_idle[toString(address)];
    if (!connection->reusable() || idle.size() >= m_idlePerAddress)
        return;
    connection->beginIdle();
    idle.push_back(std::move(connection));
}

void HttpPool::dropIdle(std::vector<std::unique_ptr<HttpConnection>> &idle, TimePoint unusedSince)
{
    const Duration longest = Clock::now() - unusedSince;
    std::erase_if(idle,
                  [longest](const auto &connection) { return connection->idleFor() > longest; });
}

void HttpPool::noteSilent(const Address &address, const HttpConnection &connection)
{
    const TimePoint now = Clock::now();
    const std::string name = toString(address);
    const bool together = m_silentAt != TimePoint{} && now - m_silentAt < SilenceSpan;
    if (together && m_silentAddress != name) {
        for (auto &[other, idle] : m_idle)
            dropIdle(idle, connection.sentAt());
    } else {
        dropIdle(m_idle[name], connection.sentAt());
    }
    m_silentAddress = name;
    m_silentAt = now;
}

void HttpPool::forget(const Address &address)
{
    m_idle.erase(toString(address));
}

namespace {

Result<HttpResponse> callOnce(HttpConnection &connection, const HttpRequest &request,
                              size_t bodyLimit, TimePoint deadline, TimePoint firstBy)
{
    const auto left = [&] { return std::max<Duration>(deadline - Clock::now(), Millis(1)); };
    const Status sent = connection.send(request, left());
    if (!sent)
        return tl::unexpected(sent.error());
    auto response = connection.readHeader(
        std::min<Duration>(left(), std::max<Duration>(firstBy - Clock::now(), Millis(1))));
    if (!response)
        return response;
    auto body = connection.readWhole(left(), bodyLimit);
    if (!body)
        return tl::unexpected(body.error());
    response->m_body = std::move(*body);
    return response;
}

} // namespace

Result<HttpResponse> HttpPool::call(const Address &address, const HttpRequest &request,
                                    HttpCallOptions options, bool repeatable)
{
    TimePoint deadline = Clock::now() + options.m_timeout;
    auto connection = acquire(address, options.m_timeout, !repeatable);
    if (!connection)
        return tl::unexpected(connection.error());
    const bool reused = (*connection)->reused();
    const bool bounded = reused && options.m_replaceAfter > Duration::zero();
    const TimePoint firstBy = bounded ? Clock::now() + options.m_replaceAfter : TimePoint(deadline);
    auto response = callOnce(**connection, request, options.m_bodyLimit, deadline, firstBy);
    if (!response) {
        const ErrorCode code = response.error().m_code;
        const bool silent = (*connection)->silent() || code == ErrorCode::DeadlineExceeded;
        if (silent)
            noteSilent(address, **connection);
        const bool closed = reused && code == ErrorCode::Unavailable;
        if (!repeatable || !(silent || closed) || Clock::now() >= deadline)
            return response;
        if (options.m_anew)
            deadline = Clock::now() + options.m_timeout;
        connection =
            acquire(address, std::min<Duration>(deadline - Clock::now(), ReplaceTimeout), true);
        if (!connection)
            return tl::unexpected(connection.error());
        response = callOnce(**connection, request, options.m_bodyLimit, deadline, deadline);
    }
    if (response)
        release(address, std::move(*connection));
    return response;
}

} // namespace stackquay
