#include <array>
#include <future>
#include <thread>

#include <boost/asio/write.hpp>
#include <boost/fiber/future.hpp>
#include <gtest/gtest.h>

#include "net/net.h"
#include "tests/support/raw_endpoint.h"

namespace stackquay {
namespace {

/// A server and a client on a thread each.
class HttpTest : public testing::Test
{
protected:
    void serve(HttpHandler handler, HttpServerLimits limits = {})
    {
        m_server = std::make_unique<HttpServer>(m_serverThread, std::move(handler), limits);
        const auto bound = m_server->listen(Address{});
        ASSERT_TRUE(bound);
        m_address = *bound;
        m_serverThread.start();
        m_clientThread.start();
    }

    void onClient(std::function<void()> function)
    {
        std::promise<void> done;
        m_clientThread.post([&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    /// A client may have its answer before the server waits for the connection's next request.
    void awaitIdle()
    {
        while (m_server->activeRequests() > 0)
            std::this_thread::yield();
        std::promise<void> waiting;
        m_serverThread.post([&] { waiting.set_value(); });
        waiting.get_future().wait();
    }

    /// The head of an answer by @p peer, which never ends it, times out at its deadline.
    void expectHeadEndsAtItsDeadline(const Address &peer)
    {
        constexpr Millis Timeout{ 300 };
        m_clientThread.start();
        onClient([&] {
            HttpConnection connection(m_clientThread.context());
            ASSERT_TRUE(connection.connect(peer, Seconds(5)));
            ASSERT_TRUE(connection.send({ "GET", "/", {}, "" }, Seconds(5)));
            const TimePoint startedAt = Clock::now();
            const auto header = connection.readHeader(Timeout);
            ASSERT_FALSE(header);
            EXPECT_EQ(header.error().m_code, ErrorCode::DeadlineExceeded);
            EXPECT_LT(Clock::now() - startedAt, Timeout * 3);
        });
    }

    void TearDown() override
    {
        m_clientThread.stop();
        m_clientThread.join();
        m_serverThread.stop();
        m_serverThread.join();
    }

    FiberThread m_serverThread{ "server" };
    FiberThread m_clientThread{ "client" };
    std::unique_ptr<HttpServer> m_server;
    Address m_address;
};

TEST_F(HttpTest, AnswersWholeAndReusesConnection)
{
    serve([](HttpExchange &exchange) {
        exchange.respond({ 200, {}, exchange.request().m_body + "!" });
    });
    onClient([&] {
        HttpPool pool(m_clientThread.context());
        for (int i = 0; i < 3; ++i) {
            const auto response = pool.call(m_address, { "POST", "/x", {}, "hello" });
            ASSERT_TRUE(response) << toString(response.error());
            EXPECT_EQ(response->m_body, "hello!");
        }
        EXPECT_EQ(m_server->connections(), 1u);
    });
}

TEST_F(HttpTest, StreamsChunksAndTellsCleanEndFromCut)
{
    serve([](HttpExchange &exchange) {
        if (exchange.request().path() == "/together") {
            ASSERT_TRUE(exchange.startStream(200, {}, "one"));
            ASSERT_TRUE(exchange.finish("two"));
            return;
        }
        ASSERT_TRUE(exchange.startStream(200, {}));
        ASSERT_TRUE(exchange.write("one"));
        ASSERT_TRUE(exchange.write("two"));
        if (exchange.request().path() == "/whole")
            exchange.finish();
        else
            exchange.abort();
    });
    onClient([&] {
        for (const std::string path : { "/whole", "/together", "/cut" }) {
            const bool whole = path != "/cut";
            HttpConnection connection(m_clientThread.context());
            ASSERT_TRUE(connection.connect(m_address, Seconds(5)));
            ASSERT_TRUE(connection.send({ "GET", path, {}, "" }, Seconds(5)));
            const auto header = connection.readHeader(Seconds(5));
            if (!header && !whole)
                continue; // The reset may overtake the header.
            ASSERT_TRUE(header);
            const auto body = connection.readWhole(Seconds(5));
            EXPECT_EQ(body.has_value(), whole);
            if (whole) {
                EXPECT_EQ(*body, "onetwo");
            }
        }
    });
}

/// Callers give up a connection that is not served after one second.
TEST_F(HttpTest, ConnectionsThatArriveTogetherAreTakenInTimeByABusyThread)
{
    constexpr size_t Connections = 100;
    constexpr Millis Work{ 20 };
    serve([](HttpExchange &exchange) { exchange.respond({ 200, {}, "" }); });
    std::atomic<bool> busy{ true };
    m_serverThread.post([&] {
        while (busy && sleepFor(m_serverThread.context(), Millis(0)))
            std::this_thread::sleep_for(Work);
    });
    std::atomic<size_t> answered{ 0 };
    for (size_t i = 0; i < Connections; ++i) {
        m_clientThread.post([&] {
            HttpConnection connection(m_clientThread.context());
            if (connection.connect(m_address, Seconds(1))
                && connection.send({ "GET", "/x", {}, "" }, Seconds(1))
                && connection.readHeader(Seconds(1)))
                ++answered;
        });
    }
    std::this_thread::sleep_for(Millis(1'500));
    EXPECT_EQ(answered, Connections);
    busy = false;
}

// The failure: the answer was taken for whole, as its end is that of the connection.
TEST_F(HttpTest, AskingWhetherAConnectionIsReadableHidesNoReset)
{
    RawEndpoint endpoint;
    endpoint.setAnswer("HTTP/1.1 200 OK\r\n\r\nan answer", RawEnd::Reset);
    m_clientThread.start();
    onClient([&] {
        HttpConnection connection(m_clientThread.context());
        ASSERT_TRUE(connection.connect(endpoint.address(), Seconds(5)));
        ASSERT_TRUE(connection.send({ "GET", "/", {}, "" }, Seconds(5)));
        ASSERT_TRUE(connection.readHeader(Seconds(5)));
        std::string piece;
        ASSERT_TRUE(connection.readBody(piece, Seconds(5)));
        ASSERT_EQ(piece, "an answer");
        ASSERT_TRUE(connection.awaitReadable(Seconds(5)));
        EXPECT_TRUE(connection.readable());
        EXPECT_FALSE(connection.hasBytes());
        EXPECT_FALSE(connection.readBody(piece, Seconds(5)));
    });
}

TEST_F(HttpTest, HangupReachesTheHandler)
{
    std::promise<void> hungUp;
    serve([&](HttpExchange &exchange) {
        boost::fibers::promise<void> gone;
        exchange.onHangup([&] { gone.set_value(); });
        exchange.startStream(200, {});
        gone.get_future().wait();
        exchange.abort();
        hungUp.set_value();
    });
    onClient([&] {
        HttpConnection connection(m_clientThread.context());
        ASSERT_TRUE(connection.connect(m_address, Seconds(5)));
        ASSERT_TRUE(connection.send({ "GET", "/", {}, "" }, Seconds(5)));
        ASSERT_TRUE(connection.readHeader(Seconds(5)));
        connection.cancel();
    });
    hungUp.get_future().wait();
}

// The failure: TRACE with a body ended the process, by an exception of the HTTP library.
TEST_F(HttpTest, TraceWithABodyIsSent)
{
    serve([](HttpExchange &exchange) {
        exchange.respond({ 200, {}, exchange.request().m_method + exchange.request().m_body });
    });
    onClient([this] {
        HttpConnection connection(m_clientThread.context());
        ASSERT_TRUE(connection.connect(m_address, Seconds(5)));
        ASSERT_TRUE(connection.send({ "TRACE", "/", {}, "b" }, Seconds(5)));
        ASSERT_TRUE(connection.readHeader(Seconds(5)));
        EXPECT_EQ(connection.readWhole(Seconds(5), 100).value_or(""), "TRACEb");
    });
}

// The failure: an exception in a handler ended the process, and with it the requests of all others.
TEST_F(HttpTest, ExceptionInAHandlerEndsItsRequestOnly)
{
    serve([](HttpExchange &exchange) {
        if (exchange.request().m_target == "/stream")
            exchange.startStream(200, {});
        if (exchange.request().m_target != "/sound")
            throw std::runtime_error("a fault of the handler");
        exchange.respond({ 200, {}, "sound" });
    });
    onClient([this] {
        for (const char *target : { "/whole", "/stream", "/sound" }) {
            HttpConnection connection(m_clientThread.context());
            ASSERT_TRUE(connection.connect(m_address, Seconds(5)));
            ASSERT_TRUE(connection.send({ "GET", target, {}, "" }, Seconds(5)));
            const auto header = connection.readHeader(Seconds(5));
            ASSERT_TRUE(header) << target;
            const auto body = connection.readWhole(Seconds(5), 1'000);
            if (target == std::string("/whole"))
                EXPECT_EQ(header->m_status, 500u);
            else if (target == std::string("/stream"))
                EXPECT_FALSE(body) << "it must not look complete";
            else
                EXPECT_EQ(body.value_or(""), "sound");
        }
    });
}

// A value with a line break would add a field, or an answer, to what the client reads.
TEST_F(HttpTest, AnswerWithAMalformedFieldIsNotSent)
{
    serve([](HttpExchange &exchange) {
        const HttpHeaders added{ { "X-A", "b\r\nX-Added: 1" } };
        EXPECT_FALSE(exchange.request().path() == "/whole"
                         ? exchange.respond({ 200, added, "ok" })
                         : exchange.startStream(200, added, "ok"));
    });
    onClient([&] {
        HttpPool pool(m_clientThread.context());
        for (const char *target : { "/whole", "/stream" }) {
            const auto response = pool.call(m_address, { "GET", target, {}, "" });
            ASSERT_TRUE(response) << toString(response.error());
            EXPECT_EQ(response->m_status, 500u);
            EXPECT_EQ(findHeader(response->m_headers, "X-Added"), "");
        }
    });
}

TEST_F(HttpTest, OversizedBodyGets413)
{
    HttpServerLimits limits;
    limits.m_bodyBytes = 10;
    serve([](HttpExchange &exchange) { exchange.respond({}); }, limits);
    onClient([&] {
        HttpPool pool(m_clientThread.context());
        const auto response = pool.call(m_address, { "POST", "/", {}, std::string(100, 'x') });
        ASSERT_TRUE(response) << toString(response.error());
        EXPECT_EQ(response->m_status, 413u);
    });
}

TEST_F(HttpTest, UnfinishedHeaderGets408)
{
    HttpServerLimits limits;
    limits.m_headerTimeout = Millis(20);
    serve([](HttpExchange &exchange) { exchange.respond({}); }, limits);
    onClient([&] {
        FiberSocket socket(FiberSocket::Socket(m_clientThread.context()));
        ASSERT_FALSE(socket.connect(*toTcp(m_address)));
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer("GET / HTT", 9), error);
        ASSERT_FALSE(error);
        std::string answer(1'000, ' ');
        socket.expiresAfter(Seconds(10));
        answer.resize(socket.read_some(boost::asio::buffer(answer), error));
        EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 408") << error.message();
    });
}

TEST_F(HttpTest, SilentPeerTimesOutAndLaterCallsWork)
{
    boost::fibers::promise<void> release;
    serve([&](HttpExchange &exchange) {
        if (exchange.request().path() == "/wait")
            release.get_future().wait();
        exchange.respond({ 200, {}, "late" });
    });
    onClient([&] {
        HttpPool pool(m_clientThread.context());
        const auto late = pool.call(m_address, { "GET", "/wait", {}, "" }, { Millis(20) });
        ASSERT_FALSE(late);
        EXPECT_EQ(late.error().m_code, ErrorCode::DeadlineExceeded);
        // The timer of a short call must not end a longer one that follows.
        const auto next = pool.call(m_address, { "GET", "/", {}, "" });
        EXPECT_TRUE(next);
        release.set_value();
    });
}

TEST_F(HttpTest, ReaderThatTakesNothingIsCut)
{
    HttpServerLimits limits;
    limits.m_writeTimeout = Millis(20);
    std::promise<Status> cut;
    serve(
        [&](HttpExchange &exchange) {
            exchange.startStream(200, {});
            const std::string chunk(1'000'000, 'x');
            Status status;
            while (status)
                status = exchange.write(chunk);
            cut.set_value(status);
        },
        limits);
    onClient([&] {
        HttpConnection connection(m_clientThread.context());
        ASSERT_TRUE(connection.connect(m_address, Seconds(5)));
        ASSERT_TRUE(connection.send({ "GET", "/", {}, "" }, Seconds(5)));
        EXPECT_FALSE(cut.get_future().get());
    });
}

TEST_F(HttpTest, LargeBodiesGoBothWays)
{
    serve([](HttpExchange &exchange) { exchange.respond({ 200, {}, exchange.request().m_body }); });
    onClient([&] {
        HttpPool pool(m_clientThread.context());
        const std::string body(8'000'000, 'x');
        const auto response = pool.call(m_address, { "POST", "/", {}, body });
        ASSERT_TRUE(response) << toString(response.error());
        EXPECT_EQ(response->m_body, body);
    });
}

TEST_F(HttpTest, DrainLetsTheRequestInProgressEnd)
{
    std::promise<void> entered;
    boost::fibers::promise<void> release;
    serve([&](HttpExchange &exchange) {
        entered.set_value();
        release.get_future().wait();
        exchange.respond({ 200, {}, "done" });
    });
    std::promise<Result<HttpResponse>> answer;
    m_clientThread.post([&] {
        HttpPool pool(m_clientThread.context());
        answer.set_value(pool.call(m_address, { "GET", "/", {}, "" }));
    });
    entered.get_future().wait();
    m_server->drain();
    release.set_value();
    const auto response = answer.get_future().get();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->m_body, "done");
}

TEST(AddressTest, ParsesAndRefuses)
{
    EXPECT_EQ(toString(*parseAddress("127.0.0.1:80")), "127.0.0.1:80");
    for (const char *text : { "", "127.0.0.1", "127.0.0.1:", "host:80", "127.0.0.1:99999", ":1",
                              "fe80::1%eth0:80", "fe80::1%\r\nX-Added: 1:80" })
        EXPECT_FALSE(parseAddress(text)) << text;
}

TEST(HttpRequestTest, QueryValues)
{
    HttpRequest request;
    request.m_target = "/a/b?x=1&y=&z";
    EXPECT_EQ(request.path(), "/a/b");
    EXPECT_EQ(request.query("x"), "1");
    EXPECT_TRUE(request.query("y").empty());
    EXPECT_TRUE(request.query("none").empty());
}

TEST_F(HttpTest, HangupIsNotToldOnceTheHandlerHasReturned)
{
    // The handler returns in the same turn of the loop in which the hang-up is seen: while the
    // thread is held the caller closes, and the handler is ready before the close is looked for.
    constexpr Millis HoldTime{ 10 };
    std::atomic<int> told{ 0 };
    std::atomic<int> toldLate{ 0 };
    std::atomic<int> returned{ 0 };
    serve([&](HttpExchange &exchange) {
        const auto over = std::make_shared<bool>(false);
        exchange.onHangup([&, over] {
            ++told;
            if (*over)
                ++toldLate;
        });
        boost::fibers::promise<void> held;
        m_serverThread.post([&] {
            std::this_thread::sleep_for(HoldTime);
            held.set_value();
        });
        held.get_future().wait();
        *over = true;
        ++returned;
    });
    constexpr int Tries = 20;
    onClient([&] {
        for (int i = 0; i < Tries; ++i) {
            HttpConnection connection(m_clientThread.context());
            ASSERT_TRUE(connection.connect(m_address, Seconds(5)));
            ASSERT_TRUE(connection.send({ "GET", "/", {}, "" }, Seconds(5)));
            ASSERT_TRUE(sleepFor(m_clientThread.context(), Millis(1)));
            connection.cancel();
            while (returned <= i)
                ASSERT_TRUE(sleepFor(m_clientThread.context(), Millis(1)));
        }
    });
    EXPECT_EQ(toldLate, 0) << "of " << told << " times told";
}

TEST_F(HttpTest, WholeBodiesEndAtTheirLimit)
{
    constexpr size_t Limit = 100'000;
    serve([](HttpExchange &exchange) {
        const HttpRequest &request = exchange.request();
        const std::string body(std::stoul(request.m_body), 'a');
        if (request.path() == "/length") {
            exchange.respond({ 200, {}, body });
            return;
        }
        ASSERT_TRUE(exchange.startStream(200, {}));
        if (exchange.write(body))
            exchange.finish();
    });
    onClient([&] {
        for (const std::string path : { "/length", "/chunks" }) {
            HttpPool pool(m_clientThread.context());
            HttpCallOptions options;
            options.m_bodyLimit = Limit;
            const auto fits =
                pool.call(m_address, { "POST", path, {}, std::to_string(Limit) }, options);
            ASSERT_TRUE(fits) << toString(fits.error());
            EXPECT_EQ(fits->m_body.size(), Limit);
            const auto beyond =
                pool.call(m_address, { "POST", path, {}, std::to_string(Limit + 1) }, options);
            ASSERT_FALSE(beyond);
            EXPECT_EQ(beyond.error().m_code, ErrorCode::ProtocolError);
            const auto next = pool.acquire(m_address, Seconds(5));
            ASSERT_TRUE(next);
            EXPECT_FALSE((*next)->reused());
        }
    });
}

/// Each read finds bytes, so that none of them waits for its time-out.
TEST_F(HttpTest, WholeBodiesEndAtTheirDeadlineThoughBytesAreAlwaysThere)
{
    constexpr Millis Timeout{ 300 };
    serve([](HttpExchange &exchange) {
        const std::string chunk(1'000, 'a');
        ASSERT_TRUE(exchange.startStream(200, {}));
        while (exchange.write(chunk)) { }
    });
    onClient([&] {
        HttpConnection connection(m_clientThread.context());
        ASSERT_TRUE(connection.connect(m_address, Seconds(5)));
        ASSERT_TRUE(connection.send({ "GET", "/", {}, "" }, Seconds(5)));
        ASSERT_TRUE(connection.readHeader(Seconds(5)));
        const TimePoint startedAt = Clock::now();
        const auto body = connection.readWhole(Timeout, size_t(1) << 30);
        ASSERT_FALSE(body);
        EXPECT_EQ(body.error().m_code, ErrorCode::DeadlineExceeded);
        EXPECT_LT(Clock::now() - startedAt, Timeout * 3);
    });
}

/// Sends what it is told to the first connection, piece by piece, until the peer closes it.
class RawPeer
{
public:
    RawPeer(std::string start, std::string repeated, Millis pause)
        : m_thread([this, start = std::move(start), repeated = std::move(repeated), pause] {
            boost::asio::ip::tcp::socket socket = m_acceptor.accept();
            std::array<char, 4096> request;
            boost::system::error_code error;
            socket.read_some(boost::asio::buffer(request), error);
            boost::asio::write(socket, boost::asio::buffer(start), error);
            while (!error) {
                boost::asio::write(socket, boost::asio::buffer(repeated), error);
                std::this_thread::sleep_for(pause);
            }
        })
    { }
    ~RawPeer() { m_thread.join(); }
    RawPeer(const RawPeer &) = delete;
    RawPeer &operator=(const RawPeer &) = delete;

    Address address() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor{ m_context,
                                               { boost::asio::ip::address_v4::loopback(), 0 } };
    std::thread m_thread;
};

TEST_F(HttpTest, EndOfAConnectionWithoutAByteIsNoAnswer)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
    const Address address{ "127.0.0.1", acceptor.local_endpoint().port() };
    std::thread peer([&acceptor] {
        tcp::socket socket = acceptor.accept();
        std::array<char, 4096> request;
        boost::system::error_code error;
        socket.read_some(boost::asio::buffer(request), error);
    });
    m_clientThread.start();
    onClient([&] {
        HttpConnection connection(m_clientThread.context());
        ASSERT_TRUE(connection.connect(address, Seconds(5)));
        ASSERT_TRUE(connection.send({ "GET", "/", {}, "" }, Seconds(5)));
        const auto header = connection.readHeader(Seconds(5));
        ASSERT_FALSE(header);
        EXPECT_EQ(header.error().m_code, ErrorCode::Unavailable);
    });
    peer.join();
}

TEST_F(HttpTest, HeadsThatComeAByteAtATimeEndAtTheirDeadline)
{
    const RawPeer peer("HTTP/1.1 200 OK\r\nX-Filler: ", "a", Millis(5));
    expectHeadEndsAtItsDeadline(peer.address());
}

TEST_F(HttpTest, InterimResponsesThatComeSlowlyEndAtTheirDeadline)
{
    const RawPeer peer("", "HTTP/1.1 102 Processing\r\n\r\n", Millis(50));
    expectHeadEndsAtItsDeadline(peer.address());
}

TEST_F(HttpTest, EndlessChunkHeadersAreProtocolErrors)
{
    const RawPeer peer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;name=",
                       std::string(1'000, 'a'), Millis(0));
    m_clientThread.start();
    onClient([&] {
        HttpConnection connection(m_clientThread.context());
        ASSERT_TRUE(connection.connect(peer.address(), Seconds(5)));
        ASSERT_TRUE(connection.send({ "GET", "/", {}, "" }, Seconds(5)));
        ASSERT_TRUE(connection.readHeader(Seconds(5)));
        const auto body = connection.readWhole(Seconds(5));
        ASSERT_FALSE(body);
        EXPECT_EQ(body.error().m_code, ErrorCode::ProtocolError);
    });
}

TEST_F(HttpTest, BytesAfterAnAnswerEndTheConnectionsUse)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context,
                                            { boost::asio::ip::address_v4::loopback(), 0 });
    m_address = { "127.0.0.1", acceptor.local_endpoint().port() };
    std::thread peer([&] {
        boost::asio::ip::tcp::socket socket = acceptor.accept();
        std::array<char, 4096> request;
        boost::system::error_code error;
        socket.read_some(boost::asio::buffer(request), error);
        boost::asio::write(socket,
                           boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2"
                                                           "\r\n\r\nokHTTP/1.1 200 OK\r\n")),
                           error);
        socket.read_some(boost::asio::buffer(request), error);
    });
    m_clientThread.start();
    onClient([&] {
        HttpConnection connection(m_clientThread.context());
        ASSERT_TRUE(connection.connect(m_address, Seconds(5)));
        ASSERT_TRUE(connection.send({ "GET", "/", {}, "" }, Seconds(5)));
        ASSERT_TRUE(connection.readHeader(Seconds(5)));
        const auto body = connection.readWhole(Seconds(5));
        ASSERT_TRUE(body);
        EXPECT_EQ(*body, "ok");
        EXPECT_FALSE(connection.reusable());
    });
    peer.join();
}

TEST_F(HttpTest, ConnectionIsNotReusedNearItsStatedIdleTimeout)
{
    serve([](HttpExchange &exchange) {
        exchange.respond({ 200, { { "Keep-Alive", "timeout=1" } }, "ok" });
    });
    onClient([&] {
        HttpPool pool(m_clientThread.context());
        ASSERT_TRUE(pool.call(m_address, { "GET", "/", {}, "" }));
        ASSERT_TRUE(pool.call(m_address, { "GET", "/", {}, "" }));
        EXPECT_EQ(m_server->connections(), 1u);
        ASSERT_TRUE(sleepFor(m_clientThread.context(), Millis(700)));
        const auto fresh = pool.acquire(m_address, Seconds(1));
        ASSERT_TRUE(fresh);
        EXPECT_FALSE((*fresh)->reused());
    });
}

TEST_F(HttpTest, HeadersOfOneNameAllArrive)
{
    serve([](HttpExchange &exchange) {
        std::string values;
        for (const HttpHeader &header : exchange.request().m_headers) {
            if (header.m_name == "X-List")
                values += header.m_value + ";";
        }
        exchange.respond({ 200, {}, values });
    });
    onClient([&] {
        HttpPool pool(m_clientThread.context());
        const auto answer =
            pool.call(m_address, { "GET", "/", { { "X-List", "a" }, { "X-List", "b" } }, "" });
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->m_body, "a;b;");
    });
}

TEST_F(HttpTest, AnswersAnnounceTheCloseAndConnectionsAreStillAccepted)
{
    serve([](HttpExchange &exchange) { exchange.respond({ 200, {}, "ok" }); });
    m_server->closeAfterAnswers();
    onClient([&] {
        for (int i = 0; i < 2; ++i) {
            HttpConnection connection(m_clientThread.context());
            ASSERT_TRUE(connection.connect(m_address, Seconds(5)));
            ASSERT_TRUE(connection.send({ "GET", "/", {}, "" }, Seconds(5)));
            const auto header = connection.readHeader(Seconds(5));
            ASSERT_TRUE(header);
            EXPECT_EQ(findHeader(header->m_headers, "Connection"), "close");
            EXPECT_EQ(connection.readWhole(Seconds(5)).value_or(""), "ok");
            EXPECT_FALSE(connection.reusable());
        }
    });
}

// A drain closes idle connections; a request may just be arriving on one.
TEST_F(HttpTest, RequestThatArrivesWhileIdleConnectionsAreClosedIsAnswered)
{
    serve([](HttpExchange &exchange) { exchange.respond({ 200, {}, "ok" }); });
    HttpConnection connection(m_clientThread.context());
    onClient([&] {
        ASSERT_TRUE(connection.connect(m_address, Seconds(5)));
        ASSERT_TRUE(connection.send({ "GET", "/", {}, "" }, Seconds(5)));
        ASSERT_TRUE(connection.readHeader(Seconds(5)));
        ASSERT_EQ(connection.readWhole(Seconds(5)).value_or(""), "ok");
    });
    awaitIdle();
    // The request comes in just before the server closes the connection, and is not read before.
    std::promise<void> queued;
    std::promise<void> serverWaits;
    std::promise<void> arrived;
    m_serverThread.post([&] { queued.get_future().wait(); });
    m_serverThread.post([&] {
        serverWaits.set_value();
        arrived.get_future().wait();
    });
    m_server->drain();
    queued.set_value();
    serverWaits.get_future().wait();
    onClient([&] { ASSERT_TRUE(connection.send({ "GET", "/", {}, "" }, Seconds(5))); });
    arrived.set_value();
    onClient([&] {
        const auto header = connection.readHeader(Seconds(5));
        ASSERT_TRUE(header) << toString(header.error());
        EXPECT_EQ(findHeader(header->m_headers, "Connection"), "close");
        EXPECT_EQ(connection.readWhole(Seconds(5)).value_or(""), "ok");
        connection.cancel();
    });
}

TEST_F(HttpTest, StoppingThreadSendsNothing)
{
    std::atomic<int> calls{ 0 };
    serve([&](HttpExchange &exchange) {
        ++calls;
        exchange.respond({ 200, {}, "ok" });
    });
    std::promise<void> begun;
    std::promise<Result<HttpResponse>> answer;
    m_clientThread.post([&] {
        HttpPool pool(m_clientThread.context());
        ASSERT_TRUE(pool.call(m_address, { "GET", "/", {}, "" })); // Leaves an idle connection.
        begun.set_value();
        EXPECT_FALSE(sleepFor(m_clientThread.context(), Seconds(60)));
        answer.set_value(pool.call(m_address, { "GET", "/", {}, "" }));
    });
    begun.get_future().wait();
    m_clientThread.stop();
    m_clientThread.join();
    const auto late = answer.get_future().get();
    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().m_code, ErrorCode::Cancelled);
    // A later connection is served after what came on an earlier one.
    FiberThread other("other");
    other.start();
    std::promise<void> done;
    other.post([&] {
        HttpPool pool(other.context());
        EXPECT_TRUE(pool.call(m_address, { "GET", "/", {}, "" }));
        done.set_value();
    });
    done.get_future().wait();
    other.stop();
    other.join();
    EXPECT_EQ(calls, 2);
}

TEST(FiberThreadTest, CallToAStoppedThreadEndsInsteadOfWaitingForEver)
{
    FiberThread caller("caller");
    FiberThread called("called");
    caller.start();
    called.start();
    called.stop();
    called.join();
    const auto result = std::make_shared<std::promise<Result<int>>>();
    auto future = result->get_future();
    caller.post([&called, result] { result->set_value(runOn<int>(called, [] { return 1; })); });
    ASSERT_EQ(future.wait_for(Seconds(10)), std::future_status::ready);
    const Result<int> answer = future.get();
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().m_code, ErrorCode::Unavailable);
    caller.stop();
    caller.join();
}

} // namespace
} // namespace stackquay
