/// A daemon that was told to stop: what its clients see until it is gone.
#include "daemon_fixture.h"

#include "tests/support/raw_exchange.h"

namespace stackquay {
namespace {

constexpr uint64_t EndlessTokens = 20'000; ///< An answer of minutes at an engine in real time.

/// What came for one request; status 0: the connection ended without an answer.
struct ClientAnswer {
    unsigned m_status = 0;
    HttpHeaders m_headers;
    std::string m_body;
    bool m_whole = false;

    std::string_view header(std::string_view name) const { return findHeader(m_headers, name); }
};

class DaemonDrainTest : public DaemonTest
{
protected:
    /// The only engine, in real time, with room for two endless answers.
    void declareSlowEngine()
    {
        EngineSettings settings;
        settings.m_limits.m_memoryTokens = 2 * EndlessTokens;
        m_slow = std::make_unique<Hosted<EngineStandin>>(settings);
        Intent only = intent();
        only.m_endpoints.erase(only.m_endpoints.begin(), only.m_endpoints.begin() + 2);
        only.m_endpoints.push_back(endpoint("slow", m_slow->address()));
        only.m_endpoints.back().m_models = { ModelId("hint-forge") };
        declare(only);
    }

    static HttpRequest completion(uint64_t tokens, bool stream, Millis deadline)
    {
        HttpRequest request;
        request.m_method = "POST";
        request.m_target = "/v1/completions";
        request.m_headers = { { "Authorization", "Bearer key" },
                              { "Stackquay-Deadline", std::to_string(deadline.count()) } };
        request.m_body =
            fmt::format(R"({{"model":"hint-forge","prompt":"a clue","max_tokens":{},"stream":{}}})",
                        tokens, stream);
        return request;
    }

    static HttpRequest submission(const std::string &key, Millis deadline)
    {
        HttpRequest request;
        request.m_method = "POST";
        request.m_target = "/service/entry-desk/submit";
        request.m_headers = { { "Authorization", "Bearer key" },
                              { "Idempotency-Key", key },
                              { "Stackquay-Deadline", std::to_string(deadline.count()) } };
        request.m_body = "grid";
        return request;
    }

    /// Opens a connection, uses it once, and sends @p request on it after @p delay. Returns when
    /// the connection is open.
    std::future<ClientAnswer> begin(Daemon &daemon, const HttpRequest &request,
                                    Millis delay = Millis(0))
    {
        auto answer = std::make_shared<std::promise<ClientAnswer>>();
        std::promise<void> opened;
        m_client.post([&, this, answer, request, delay, address = daemon.httpAddress()] {
            HttpConnection connection(m_client.context());
            const bool used = connection.connect(address, Seconds(5))
                              && exchange(connection, { "GET", "/healthz", {}, "" }).m_whole;
            EXPECT_TRUE(used);
            opened.set_value();
            if (delay > Millis(0) && !sleepFor(m_client.context(), delay))
                return;
            answer->set_value(exchange(connection, request));
        });
        opened.get_future().wait();
        return answer->get_future();
    }

    static ClientAnswer exchange(HttpConnection &connection, const HttpRequest &request)
    {
        ClientAnswer answer;
        if (!connection.send(request, Seconds(5)))
            return answer;
        const auto header = connection.readHeader(Seconds(30));
        if (!header)
            return answer;
        answer.m_status = header->m_status;
        answer.m_headers = header->m_headers;
        for (std::string piece;;) {
            if (!connection.readBody(piece, Seconds(30)))
                return answer;
            answer.m_whole = piece.empty();
            if (answer.m_whole)
                return answer;
            answer.m_body += piece;
        }
    }

    /// As the process does: drains to its end, then ends its threads.
    void endDaemon()
    {
        m_daemons.back()->wait();
        m_daemons.clear();
    }

    static void expectRefusal(const ClientAnswer &answer)
    {
        EXPECT_EQ(answer.m_status, 503u) << answer.m_body;
        EXPECT_EQ(answer.header("Stackquay-Outcome"), "not-run");
        EXPECT_NE(answer.header("Retry-After"), "");
        EXPECT_EQ(answer.header("Connection"), "close");
    }

    /// Waits until a call is at the service.
    static void awaitServiceCall(Daemon &daemon)
    {
        EndpointRoute route;
        route.m_id = EndpointId("s1");
        awaitEvent(
            [&] { return daemon.node().m_endpoints.views({ route })[0].m_ownInFlight == 1; });
    }

    /// Calls to the slow engine so far.
    uint64_t engineCalls()
    {
        const auto stats = (*m_slow)->stats();
        return stats.m_accepted + stats.m_refused;
    }

    std::unique_ptr<Hosted<EngineStandin>> m_slow;
};

TEST_F(DaemonDrainTest, OpenConnectionsGetAWholeAnswerOrNothingIsRun)
{
    m_drainLag = Millis(400);
    m_drainTimeout = Millis(2'000);
    declareSlowEngine();
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    constexpr Millis Step{ 25 };
    constexpr int Connections = 40;
    std::vector<std::future<ClientAnswer>> answers;
    for (int i = 0; i < Connections; ++i)
        answers.push_back(
            begin(daemon, completion(6, i % 2 == 0, Millis(1'500)), Step * i + Millis(1)));
    daemon.drain();
    endDaemon();
    uint64_t whole = 0;
    for (int i = 0; i < Connections; ++i) {
        const ClientAnswer answer = answers[i].get();
        SCOPED_TRACE(testing::Message() << "sent " << (Step * i).count() << " ms after SIGTERM");
        if (answer.m_status == 0)
            continue; // The connection was closed before the request was read.
        if (answer.m_status != 200) {
            expectRefusal(answer);
            continue;
        }
        EXPECT_TRUE(answer.m_whole);
        ++whole;
    }
    EXPECT_GE(whole, 14u); // The balancer still sends some for the lag.
    EXPECT_EQ(engineCalls(), whole);
}

TEST_F(DaemonDrainTest, RequestAfterTheBalancersNoticeIsRefusedAtOnce)
{
    m_drainLag = Millis(200);
    declareSlowEngine();
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    auto stream = begin(daemon, completion(200, true, Seconds(20)));
    awaitEvent([&] { return daemon.node().m_entryMetrics.tokens() > 0; });
    const uint64_t before = engineCalls();
    auto late = begin(daemon, completion(5, false, Seconds(10)), Millis(400));
    auto lateStream = begin(daemon, completion(5, true, Seconds(10)), Millis(400));
    auto lateSubmission = begin(daemon, submission("k1", Seconds(10)), Millis(400));
    const TimePoint begun = Clock::now();
    daemon.drain();
    for (auto *refused : { &late, &lateStream, &lateSubmission })
        expectRefusal(refused->get());
    EXPECT_LT(Clock::now() - begun, Millis(700));
    EXPECT_EQ(engineCalls(), before);
    EXPECT_EQ(m_service->stats().m_total, 0u);
    EXPECT_TRUE(stream.get().m_whole);
    endDaemon();
}

TEST_F(DaemonDrainTest, RequestThatCannotEndInTheDrainIsRefused)
{
    m_drainLag = Millis(1'000);
    m_drainTimeout = Millis(1'500);
    declareSlowEngine();
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    auto longOne = begin(daemon, completion(EndlessTokens, true, Seconds(60)), Millis(100));
    auto longCall = begin(daemon, submission("k1", Seconds(60)), Millis(100));
    auto shortOne = begin(daemon, completion(5, true, Millis(1'000)), Millis(100));
    daemon.drain();
    expectRefusal(longOne.get());
    expectRefusal(longCall.get());
    EXPECT_TRUE(shortOne.get().m_whole);
    endDaemon();
    EXPECT_EQ(engineCalls(), 1u);
    EXPECT_EQ(m_service->stats().m_total, 0u);
}

TEST_F(DaemonDrainTest, EndOfTheDrainAnswersEachRequestAndSendsNothing)
{
    m_drainTimeout = Millis(500);
    declareSlowEngine();
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    auto whole = begin(daemon, completion(EndlessTokens, false, Seconds(600)));
    awaitEvent([&] { return daemon.node().m_entryMetrics.tokens() > 0; });
    auto stream = begin(daemon, completion(EndlessTokens / 2, true, Seconds(600)));
    awaitEvent([&] { return engineCalls() == 2; });
    // Leaves an idle connection to the engine, which has no room for the next one.
    ASSERT_EQ(complete(daemon, 2, false).m_status, 200u);
    auto waiting = begin(daemon, completion(EndlessTokens - 100, false, Seconds(600)));
    std::this_thread::sleep_for(Millis(300)); // Asked by then, and told to wait.
    const uint64_t before = engineCalls();
    daemon.drain();
    endDaemon();
    expectRefusal(waiting.get());
    EXPECT_EQ(engineCalls(), before);
    const ClientAnswer failed = whole.get();
    EXPECT_EQ(failed.m_status, 502u) << failed.m_body;
    EXPECT_EQ(failed.header("Stackquay-Outcome"), "may-have-run");
    const ClientAnswer cut = stream.get();
    EXPECT_EQ(cut.m_status, 200u);
    EXPECT_FALSE(cut.m_whole);
    EXPECT_NE(cut.m_body.find(R"("error")"), std::string::npos);
}

TEST_F(DaemonDrainTest, EndOfTheDrainKeepsTheOutcomeOfASubmission)
{
    m_drainTimeout = Millis(500);
    declare(intent());
    m_service->setFault({ standin::ServiceFaultMode::Hang, 0 });
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    auto call = begin(daemon, submission("k1", Seconds(600)));
    awaitServiceCall(daemon);
    daemon.drain();
    endDaemon();
    const ClientAnswer failed = call.get();
    EXPECT_EQ(failed.m_status, 502u) << failed.m_body;
    EXPECT_EQ(failed.header("Stackquay-Outcome"), "may-have-run");
    Daemon &next = startDaemon("vm-2");
    awaitView(next, 1);
    const ClientAnswer again = begin(next, submission("k1", Seconds(10))).get();
    EXPECT_EQ(again.header("Stackquay-Outcome"), "may-have-run") << again.m_body;
    EXPECT_EQ(again.m_status, 409u);
}

// Nobody has seen it, so that a client may send it elsewhere; a cut connection would not tell so.
TEST_F(DaemonDrainTest, RequestOfWhichAPartHasComeIsRefusedAtTheEnd)
{
    m_drainLag = Millis(100);
    m_drainTimeout = Millis(500);
    declare(intent());
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    auto answer = beginRawExchange(m_client, daemon.httpAddress(),
                                   "POST /v1/completions HTTP/1.1\r\nHost: host.example\r\n"
                                   "Authorization: Bearer key\r\nContent-Length: 100\r\n\r\nhalf");
    std::this_thread::sleep_for(Millis(100));
    daemon.drain();
    daemon.wait();
    // Here the process ends, without destroying anything.
    ASSERT_EQ(answer.wait_for(Millis(200)), std::future_status::ready);
    const std::string text = answer.get();
    EXPECT_EQ(text.substr(0, 12), "HTTP/1.1 503");
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
}

TEST_F(DaemonDrainTest, SecondDrainEndsCallsAndWaitingRequestsAtOnce)
{
    declareSlowEngine();
    m_service->setFault({ standin::ServiceFaultMode::Hang, 0 });
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    auto first = begin(daemon, completion(EndlessTokens, true, Seconds(600)));
    auto second = begin(daemon, completion(EndlessTokens / 2, true, Seconds(600)));
    awaitEvent([&] { return engineCalls() == 2; });
    auto waiting = begin(daemon, completion(EndlessTokens - 100, false, Seconds(600)));
    auto call = begin(daemon, submission("k1", Seconds(600)));
    awaitServiceCall(daemon);
    std::this_thread::sleep_for(Millis(300)); // The engine has refused by then; it waits again.
    const uint64_t before = engineCalls();
    daemon.drain();
    const TimePoint begun = Clock::now();
    daemon.drain();
    expectRefusal(waiting.get());
    EXPECT_LT(Clock::now() - begun, Millis(700));
    const ClientAnswer failed = call.get();
    EXPECT_EQ(failed.m_status, 502u) << failed.m_body;
    EXPECT_EQ(failed.header("Stackquay-Outcome"), "may-have-run");
    EXPECT_LT(Clock::now() - begun, Millis(1'000));
    EXPECT_FALSE(first.get().m_whole);
    EXPECT_FALSE(second.get().m_whole);
    endDaemon();
    EXPECT_EQ(engineCalls(), before);
}

} // namespace
} // namespace stackquay
