#include "net/http_server.h"

#include <atomic>
#include <map>
#include <optional>
#include <set>

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "net/fiber_socket.h"
#include "net/yield.h"

namespace stackquay {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Socket = FiberSocket::Socket;
using Acceptor = asio::basic_socket_acceptor<tcp, FiberSocket::Executor>;
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr unsigned StatusUnavailable = 503;
constexpr int ListenBacklog = 1024;
constexpr Millis AcceptRetryDelay{ 20 };
/// Connections accepted in a row before other fibers run.
constexpr size_t MaxAcceptsInARow = 64;
/// Readiness is asked for once a second: a refusal must still be known then.
constexpr Millis RefusalKnown{ 1'000 };
/// Read at once, beyond a head of the greatest length.
constexpr size_t ReadBytes = 8192;

std::string_view toStd(beast::string_view text)
{
    return { text.data(), text.size() };
}

auto makeChunk(std::string_view chunk)
{
    return http::make_chunk(asio::buffer(chunk.data(), chunk.size()));
}

void fillHeaders(http::fields &fields, const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers)
        fields.insert(header.m_name, header.m_value);
}

using Parser = http::request_parser<http::string_body>;

/// The request without its body. Only before the body is read: the parser adds trailer fields to
/// the header, where anyone could send those that only a header may have.
HttpRequest headOf(const http::request<http::string_body> &message)
{
    HttpRequest request;
    request.m_method = std::string(toStd(message.method_string()));
    request.m_target = std::string(toStd(message.target()));
    for (const auto &field : message)
        request.m_headers.push_back(
            { std::string(toStd(field.name_string())), std::string(toStd(field.value())) });
    return request;
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
    if (error == asio::error::operation_aborted)
        return StatusUnavailable;
    return 400;
}

std::string errorBody(unsigned status, std::string_view message)
{
    return fmt::format(R"({{"error":{{"message":"{}","type":"invalid_request_error","code":{}}}}})",
                       message, status);
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<State> {
    State(FiberThread &thread, HttpHandler handler, HttpServerLimits limits)
        : m_thread(thread)
        , m_handler(std::move(handler))
        , m_limits(limits)
        , m_acceptor(thread.context())
    { }

    FiberThread &m_thread;
    HttpHandler m_handler;
    HttpServerLimits m_limits;
    Acceptor m_acceptor;
    std::map<uint64_t, FiberSocket *> m_idle; ///< Waiting for a next request, longest first.
    uint64_t m_lastIdle = 0;
    std::atomic<TimePoint> m_refusedAt{}; ///< When a connection was last not to be taken.
    std::set<FiberSocket *> m_reading; ///< Of whose request a part has come.
    uint64_t m_requestsRead = 0;
    std::atomic<bool> m_draining{ false };
    std::atomic<bool> m_closing{ false }; ///< Each answer is the last of its connection.
    std::atomic<size_t> m_activeRequests{ 0 };
    std::atomic<size_t> m_connections{ 0 };

    void acceptLoop();
    bool hasRoom() const { return m_connections < m_limits.m_connections || !m_idle.empty(); }
    bool closeLongestIdle();
    bool awaitRoom();
    void acceptArrived(size_t most);
    void spawnServe(Socket socket);
    void handle(HttpExchange &exchange);
    void serve(Socket socket);
    bool awaitNext(FiberSocket &stream, beast::flat_buffer &buffer);
};

namespace {

/// Shared by an exchange and its hang-up watch, which may outlive it.
struct Hangup {
    std::function<void()> m_callback;
    bool m_active = true;
};

class Exchange : public HttpExchange
{
public:
    Exchange(FiberSocket &stream, beast::flat_buffer &readAhead, HttpRequest request,
             bool keepAlive, const HttpServerLimits &limits, const std::atomic<bool> &closing)
        : m_stream(stream)
        , m_readAhead(readAhead)
        , m_request(std::move(request))
        , m_keepAlive(keepAlive)
        , m_limits(limits)
        , m_closing(closing)
    { }

    ~Exchange() override { endWatch(); }

    const HttpRequest &request() const override { return m_request; }
    HttpRequest &request() override { return m_request; }

    Status respond(const HttpResponse &response) override
    {
        endWatch();
        m_started = true;
        m_finished = true;
        http::response<http::string_body> message;
        message.result(response.m_status);
        message.version(11);
        fillHeaders(message, response.m_headers);
        m_keepAlive = m_keepAlive && !m_closing;
        message.keep_alive(m_keepAlive);
        message.body() = response.m_body;
        message.prepare_payload();
        boost::system::error_code error;
        m_stream.expiresAfter(m_limits.m_writeTimeout);
        http::write(m_stream, message, error);
        return finishWrite(error);
    }

    Status startStream(unsigned status, const HttpHeaders &headers, std::string_view first) override
    {
        m_started = true;
        http::response<http::empty_body> message;
        message.result(status);
        message.version(11);
        fillHeaders(message, headers);
        m_keepAlive = m_keepAlive && !m_closing;
        message.keep_alive(m_keepAlive);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        serializer.split(true);
        boost::system::error_code error;
        m_stream.expiresAfter(m_limits.m_writeTimeout);
        serializer.next(error, [&](boost::system::error_code &, const auto &header) {
            if (first.empty())
                asio::write(m_stream, header, error);
            else
                asio::write(m_stream, beast::buffers_cat(header, makeChunk(first)), error);
        });
        return finishWrite(error);
    }

    Status write(std::string_view chunk) override
    {
        if (chunk.empty())
            return {};
        boost::system::error_code error;
        m_stream.expiresAfter(m_limits.m_writeTimeout);
        asio::write(m_stream, makeChunk(chunk), error);
        return finishWrite(error);
    }

    Status finish(std::string_view last) override
    {
        endWatch();
        m_finished = true;
        boost::system::error_code error;
        m_stream.expiresAfter(m_limits.m_writeTimeout);
        if (last.empty())
            asio::write(m_stream, http::make_chunk_last(), error);
        else
            asio::write(m_stream, beast::buffers_cat(makeChunk(last), http::make_chunk_last()),
                        error);
        return finishWrite(error);
    }

    void abort() override
    {
        endWatch();
        m_started = true;
        m_keepAlive = false;
        m_aborted = true;
        boost::system::error_code ignored;
        m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        m_stream.socket().close(ignored);
    }

    void onHangup(std::function<void()> callback) override
    {
        if (m_hangup) {
            m_hangup->m_callback = std::move(callback);
            return;
        }
        // A pipelined request already read ahead says that the caller is there.
        if (m_readAhead.size() > 0)
            return;
        m_hangup = std::make_shared<Hangup>();
        m_hangup->m_callback = std::move(callback);
        watch();
    }

    bool callerLeft() const override
    {
        char byte = 0;
        const int socket = m_stream.socket().native_handle();
        const ssize_t size = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN);
    }

    bool started() const override { return m_started; }
    bool keepAlive() const { return m_keepAlive && m_finished && !m_aborted; }

private:
    Status finishWrite(const boost::system::error_code &error)
    {
        if (!error)
            return {};
        m_keepAlive = false;
        return makeError(ErrorCode::Cancelled, "caller is gone: " + error.message());
    }

    void watch()
    {
        m_stream.socket().async_wait(
            Socket::wait_read, [this, hangup = m_hangup](const boost::system::error_code &error) {
                if (!hangup->m_active || error == asio::error::operation_aborted)
                    return;
                if (!error && callerSentMore())
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

    bool callerSentMore()
    {
        char byte = 0;
        const ssize_t size =
            ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size > 0;
    }

    void endWatch()
    {
        if (!m_hangup)
            return;
        m_hangup->m_active = false;
        m_hangup->m_callback = nullptr;
    }

    FiberSocket &m_stream;
    beast::flat_buffer &m_readAhead;
    HttpRequest m_request;
    bool m_keepAlive;
    const HttpServerLimits &m_limits;
    const std::atomic<bool> &m_closing;
    std::shared_ptr<Hangup> m_hangup;
    bool m_started = false;
    bool m_finished = false;
    bool m_aborted = false;
};

/// Waits for the first byte of a next request, for at most the idle timeout.
boost::system::error_code awaitRequest(FiberSocket &stream, beast::flat_buffer &buffer,
                                       Millis timeout)
{
    boost::system::error_code error;
    if (buffer.size() > 0)
        return error;
    stream.expiresAfter(timeout);
    const size_t size = stream.read_some(buffer.prepare(ReadBytes), error);
    buffer.commit(size);
    return error;
}

bool expectsContinue(const Parser &parser)
{
    return beast::iequals(parser.get()[http::field::expect], "100-continue");
}

void sendContinue(FiberSocket &stream, boost::system::error_code &error)
{
    const http::response<http::empty_body> message(http::status::continue_, 11);
    http::response_serializer<http::empty_body> serializer(message);
    http::write(stream, serializer, error);
}

/// Reads one request within the limits into @p request.
boost::system::error_code readRequest(FiberSocket &stream, beast::flat_buffer &buffer,
                                      Parser &parser, const HttpServerLimits &limits,
                                      HttpRequest &request)
{
    boost::system::error_code error;
    buffer.max_size(limits.m_headerBytes + ReadBytes);
    parser.header_limit(static_cast<uint32_t>(limits.m_headerBytes));
    parser.body_limit(limits.m_bodyBytes);
    stream.expiresAfter(limits.m_headerTimeout);
    http::read_header(stream, buffer, parser, error);
    if (error)
        return error;
    request = headOf(parser.get());
    if (expectsContinue(parser))
        sendContinue(stream, error);
    if (error)
        return error;
    stream.expiresAfter(limits.m_bodyTimeout);
    http::read(stream, buffer, parser, error);
    request.m_body = std::move(parser.get().body());
    return error;
}

void refuseMalformed(FiberSocket &stream, const boost::system::error_code &error,
                     const HttpServerLimits &limits)
{
    if (error == http::error::end_of_stream || error == asio::error::connection_reset)
        return;
    const unsigned status = statusOf(error);
    http::response<http::string_body> message;
    message.result(status);
    message.version(11);
    message.set(http::field::content_type, "application/json");
    if (status == StatusUnavailable)
        message.set(http::field::retry_after, "0");
    message.keep_alive(false);
    message.body() = errorBody(status, error.message());
    message.prepare_payload();
    boost::system::error_code ignored;
    stream.expiresAfter(limits.m_writeTimeout);
    http::write(stream, message, ignored);
}

} // namespace

/// The connection that waits longest for a request is the one whose caller misses it least.
bool HttpServer::State::closeLongestIdle()
{
    if (m_idle.empty())
        return false;
    m_idle.begin()->second->cancel();
    m_idle.erase(m_idle.begin());
    return true;
}

/// Room may come before the callers that wait lose patience. False if none will.
bool HttpServer::State::awaitRoom()
{
    while (m_connections >= m_limits.m_connections && !closeLongestIdle()) {
        m_refusedAt = Clock::now();
        if (!sleepFor(m_thread.context(), AcceptRetryDelay) || m_draining)
            return false;
    }
    return true;
}

void HttpServer::State::acceptLoop()
{
    while (!m_draining) {
        boost::system::error_code error;
        Socket socket(m_thread.context());
        m_acceptor.async_accept(socket, Yield{ error });
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            // Out of descriptors: let some end before the next try.
            closeLongestIdle();
            m_refusedAt = Clock::now();
            if (!sleepFor(m_thread.context(), AcceptRetryDelay))
                return;
            continue;
        }
        if (!awaitRoom())
            return;
        spawnServe(std::move(socket));
        // A busy thread comes back here late, and callers wait for one second only.
        acceptArrived(MaxAcceptsInARow);
    }
}

void HttpServer::State::spawnServe(Socket socket)
{
    ++m_connections;
    spawnFiber([self = shared_from_this(), shared = std::make_shared<Socket>(std::move(socket))] {
        self->serve(std::move(*shared));
        --self->m_connections;
    });
}

/// Takes connections that wait to be accepted, at most @p most and as far as there is room.
void HttpServer::State::acceptArrived(size_t most)
{
    boost::system::error_code error;
    for (; !error && most > 0 && m_connections < m_limits.m_connections; --most) {
        Socket socket(m_thread.context());
        m_acceptor.accept(socket, error);
        if (!error)
            spawnServe(std::move(socket));
    }
}

/// Waits for a request on a connection. False if none comes; during a drain, if none is here.
bool HttpServer::State::awaitNext(FiberSocket &stream, beast::flat_buffer &buffer)
{
    if (!m_draining) {
        const uint64_t place = ++m_lastIdle;
        m_idle.emplace(place, &stream);
        const auto error = awaitRequest(stream, buffer, m_limits.m_idleTimeout);
        m_idle.erase(place);
        if (!error)
            return true;
    }
    boost::system::error_code ignored;
    return m_draining && (buffer.size() > 0 || stream.socket().available(ignored) > 0);
}

/// An exception ends its own request, not the process with all others.
void HttpServer::State::handle(HttpExchange &exchange)
{
    try {
        m_handler(exchange);
    } catch (const std::exception &error) {
        DecisionLine("net", "request handler failed")
            .text("method", exchange.request().m_method)
            .text("error", error.what())
            .write();
        if (exchange.started())
            exchange.abort();
    }
}

void HttpServer::State::serve(Socket socket)
{
    boost::system::error_code error;
    socket.set_option(tcp::no_delay(true), error);
    FiberSocket stream(std::move(socket));
    beast::flat_buffer buffer;
    while (awaitNext(stream, buffer)) {
        ++m_activeRequests;
        Parser parser;
        HttpRequest request;
        m_reading.insert(&stream);
        error = readRequest(stream, buffer, parser, m_limits, request);
        m_reading.erase(&stream);
        if (error) {
            refuseMalformed(stream, error, m_limits);
            --m_activeRequests;
            break;
        }
        ++m_requestsRead;
        const bool keepAlive = parser.get().keep_alive();
        Exchange exchange(stream, buffer, std::move(request), keepAlive, m_limits, m_closing);
        handle(exchange);
        if (!exchange.started())
            exchange.respond({ 500,
                               { { "Content-Type", "application/json" } },
                               errorBody(500, "no answer was produced") });
        --m_activeRequests;
        if (!exchange.keepAlive())
            break;
    }
    stream.socket().shutdown(Socket::shutdown_both, error);
    stream.close();
}

HttpServer::HttpServer(FiberThread &thread, HttpHandler handler, HttpServerLimits limits)
    : m_state(std::make_shared<State>(thread, std::move(handler), limits))
{ }

HttpServer::~HttpServer() = default;

Result<Address> HttpServer::listen(const Address &address)
{
    const auto endpoint = toTcp(address);
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    boost::system::error_code error;
    const auto failed = [&] {
        return makeError(ErrorCode::Unavailable, fmt::format("cannot listen on {}: {}",
                                                             toString(address), error.message()));
    };
    Acceptor &acceptor = m_state->m_acceptor;
    if (acceptor.open(endpoint->protocol(), error))
        return failed();
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.set_option(ReusePort(true), error);
    if (acceptor.bind(*endpoint, error))
        return failed();
    boundSilence(acceptor.native_handle(), m_state->m_limits.m_silence);
    // For acceptArrived().
    if (acceptor.non_blocking(true, error) || acceptor.listen(ListenBacklog, error))
        return failed();
    Address bound = address;
    bound.m_port = acceptor.local_endpoint().port();
    m_state->m_thread.post([state = m_state] { state->acceptLoop(); });
    return bound;
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_state->m_thread.post([state = m_state, limits] { state->m_limits = limits; });
}

void HttpServer::closeAfterAnswers()
{
    m_state->m_closing = true;
}

void HttpServer::drain()
{
    m_state->m_closing = true;
    m_state->m_draining = true;
    m_state->m_thread.post([state = m_state] {
        boost::system::error_code ignored;
        // Closing the acceptor would reset them.
        state->acceptArrived(state->m_limits.m_connections);
        state->m_acceptor.close(ignored);
        for (const auto &[place, stream] : state->m_idle)
            stream->cancel();
    });
}

void HttpServer::refuseUnread()
{
    m_state->m_thread.post([state = m_state] {
        for (FiberSocket *stream : state->m_reading)
            stream->cancel();
    });
}

size_t HttpServer::activeRequests() const
{
    return m_state->m_activeRequests;
}

bool HttpServer::accepting() const
{
    const TimePoint refusedAt = m_state->m_refusedAt;
    return m_state->hasRoom() && Clock::now() - refusedAt > RefusalKnown;
}

size_t HttpServer::connections() const
{
    return m_state->m_connections;
}

size_t HttpServer::partlyReadRequests() const
{
    return m_state->m_reading.size();
}

uint64_t HttpServer::requestsRead() const
{
    return m_state->m_requestsRead;
}

} // namespace stackquay
