// Open connections that fall silent for good, without an end, while new ones work.

#include <gtest/gtest.h>

#include "peers/peers.h"
#include "relayed_test.h"

namespace stackquay::platform {
namespace {

/// From the silence to service on another connection.
constexpr Millis Target{ 1'000 };

struct PingReply {
    int m_number = 0;
    MSGPACK_DEFINE(m_number)
};

struct Ping {
    using Reply = PingReply;
    static constexpr std::string_view RpcName = "ping";
    int m_number = 0;
    MSGPACK_DEFINE(m_number)
};

class SilenceTest : public RelayedTest
{
protected:
    /// Workers behind the relay, and one daemon.
    void startWorkers(size_t workers, const std::string &service = "plain")
    {
        m_deployment.declare(1);
        for (size_t i = 0; i < workers; ++i) {
            HostedWorker &worker = m_deployment.addWorker(service);
            m_deployment.describe(worker, service, "ready", relayed(worker.address()));
        }
        m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
    }

    /// Silences the connections that are open now.
    void silence()
    {
        standin::RelayFault fault;
        fault.m_mode = standin::RelayMode::Silence;
        m_relay.setFault(fault);
        m_silentSince = Clock::now();
    }

    Millis sinceSilence() const
    {
        return std::chrono::duration_cast<Millis>(Clock::now() - m_silentSince);
    }

    /// Prints a measured time, for the commit and the pages.
    void report(std::string_view what, Millis time)
    {
        std::cout << "[ MEASURED ] " << what << ": " << time.count() << " ms\n";
    }

    WorkerStandin &worker(size_t index) { return **m_deployment.m_workers[index]; }

    /// Leaves @p connections idle connections to the workers.
    void warm(size_t connections, const std::string &path = "/safe/x")
    {
        std::vector<std::future<ClientAnswer>> answers;
        for (const auto &one : m_deployment.m_workers)
            (**one).setDelay(Millis(100));
        for (size_t i = 0; i < connections; ++i) {
            ClientRequest request;
            request.m_path = path;
            request.m_id = "warm-" + std::to_string(i);
            answers.push_back(m_deployment.begin(request));
        }
        for (auto &answer : answers)
            EXPECT_EQ(answer.get().m_status, 200u);
        for (const auto &one : m_deployment.m_workers)
            (**one).setDelay(Millis(0));
    }

    RelayViewPtr view(size_t daemon = 0)
    {
        return m_deployment.m_daemons[daemon]->node().m_view.load();
    }

    TimePoint m_silentSince{};
};

TEST_F(SilenceTest, UnsafeRequestIsNotSentOnAnIdleConnectionToAWorker)
{
    startWorkers(1);
    warm(4);
    std::this_thread::sleep_for(Millis(400));
    silence();
    const ClientAnswer answer = m_deployment.call(unsafeRequest());
    report("worker, request that may run once", sinceSilence());
    EXPECT_EQ(answer.m_status, 200u);
    EXPECT_LT(sinceSilence(), Target);
    EXPECT_EQ(m_deployment.totalRuns(), 5u);
}

// It may have run: neither sent again nor said not to have run.
TEST_F(SilenceTest, UnsafeRequestOnAConnectionThatFellSilentPromisesNothing)
{
    startWorkers(2);
    for (size_t i = 0; i < 2; ++i)
        worker(i).setDelay(Millis(300));
    auto sent = m_deployment.begin(unsafeRequest());
    ASSERT_TRUE(eventually([&] { return m_deployment.totalRuns() == 1; }));
    silence();
    const ClientAnswer answer = sent.get();
    report("worker, answer to a request that was under way", sinceSilence());
    EXPECT_TRUE(answer.m_status == 502 || answer.m_status == 504) << answer.m_status;
    EXPECT_EQ(m_deployment.totalRuns(), 1u);
}

TEST_F(SilenceTest, SafeRequestsAreServedOnNewConnectionsToTheSameWorker)
{
    startWorkers(1);
    warm(6);
    std::this_thread::sleep_for(Millis(400));
    silence();
    ClientRequest request;
    const ClientAnswer answer = m_deployment.call(request);
    report("worker, request that may be repeated", sinceSilence());
    EXPECT_EQ(answer.m_status, 200u);
    EXPECT_LT(sinceSilence(), Target);
    const TimePoint begun = Clock::now();
    EXPECT_EQ(m_deployment.call(request).m_status, 200u);
    EXPECT_LT(Clock::now() - begun, Millis(200)); // The other silent ones are not tried.
}

TEST_F(SilenceTest, NoRequestFailsWhereAllConnectionsToManyWorkersFallSilent)
{
    startWorkers(5);
    warm(20);
    std::this_thread::sleep_for(Millis(400));
    silence();
    std::vector<std::future<ClientAnswer>> answers;
    for (int i = 0; i < 20; ++i) {
        ClientRequest request;
        request.m_id = "request-" + std::to_string(i);
        answers.push_back(m_deployment.begin(request));
    }
    for (auto &answer : answers)
        EXPECT_EQ(answer.get().m_status, 200u);
    report("workers, last of 20 at once", sinceSilence());
    EXPECT_LT(sinceSilence(), Target);
    // None is left out for it.
    answers.clear();
    for (const auto &one : m_deployment.m_workers)
        (**one).setDelay(Millis(100));
    for (int i = 0; i < 20; ++i)
        answers.push_back(m_deployment.begin({}));
    std::set<std::string> serving;
    for (auto &answer : answers)
        serving.insert(answer.get().header("X-Worker"));
    EXPECT_EQ(serving.size(), 5u);
}

TEST_F(SilenceTest, StreamIsResumedOnANewConnection)
{
    startWorkers(2, "model");
    for (size_t i = 0; i < 2; ++i)
        worker(i).setEvents(6, Millis(1));
    for (int i = 0; i < 6; ++i)
        EXPECT_TRUE(m_deployment.call(streamRequest()).m_whole);
    for (size_t i = 0; i < 2; ++i)
        worker(i).setEvents(40, Millis(20));
    auto stream = m_deployment.begin(streamRequest());
    std::this_thread::sleep_for(Millis(300));
    silence();
    const ClientAnswer answer = stream.get();
    report("worker, stream resumed and ended, of which 520 ms are its rest", sinceSilence());
    EXPECT_TRUE(answer.m_whole);
    EXPECT_EQ(answer.m_body, eventsText(1, 40));
    EXPECT_LT(sinceSilence(), Target + Millis(900));
}

TEST_F(SilenceTest, MemoryIsReservedOnNewConnections)
{
    startWorkers(6, "model");
    ClientRequest request = streamRequest("/long/x");
    request.m_promptTokens = 250'000;
    ASSERT_TRUE(m_deployment.call(request).m_whole);
    std::this_thread::sleep_for(Millis(500));
    silence();
    const ClientAnswer answer = m_deployment.call(request);
    report("workers, prompt that needs memory reserved", sinceSilence());
    EXPECT_TRUE(answer.m_whole);
    EXPECT_LT(sinceSilence(), Target);
}

TEST_F(SilenceTest, SilentWatchIsReplacedAndLosesNothing)
{
    m_deployment.declare(1);
    HostedWorker &one = m_deployment.addWorker("plain");
    m_deployment.addDaemon(relayed(m_deployment.m_store.address()));
    ASSERT_TRUE(m_deployment.awaitReady());
    // The watch is at another point of its wait each time.
    for (int round = 0; round < 4; ++round) {
        SCOPED_TRACE(round);
        std::this_thread::sleep_for(Millis(1'300 + 450 * round));
        silence();
        m_deployment.describe(one, "plain", "draining");
        EXPECT_TRUE(eventually([&] { return view()->m_pools.empty(); }, Seconds(12)));
        report("store, change of an endpoint heard", sinceSilence());
        // The kernel probes once a second, and gives up at the second probe.
        EXPECT_LT(sinceSilence(), Millis(2'300));
        m_deployment.describe(one, "plain", "ready");
        EXPECT_TRUE(eventually([&] { return !view()->m_pools.empty(); }, Seconds(12)));
    }
}

TEST_F(SilenceTest, ProofOfRoutesIsReadOnANewConnection)
{
    m_deployment.declare(1);
    m_deployment.addWorker("plain");
    m_deployment.addDaemon(relayed(m_deployment.m_store.address()));
    ASSERT_TRUE(m_deployment.awaitReady());
    std::this_thread::sleep_for(Millis(1'000));
    silence();
    const uint64_t version = 2;
    m_deployment.declare(version);
    EXPECT_TRUE(eventually([&] { return view()->m_routes->m_version == version; }, Seconds(12)));
    report("store, new routes heard", sinceSilence());
    EXPECT_LT(sinceSilence(), Millis(2'000));
    EXPECT_TRUE(eventually([&] { return view()->m_proof.m_provedAt > m_silentSince; }));
    report("store, routes proved", sinceSilence());
    EXPECT_LT(sinceSilence(), Millis(2'300));
}

TEST_F(SilenceTest, ChannelToAPeerIsReplaced)
{
    FiberThread server("server");
    FiberThread client("client");
    PeerServer answers(server);
    answers.handle<Ping>(
        [](const Ping &ping) -> Result<PingReply> { return PingReply{ ping.m_number }; });
    const Address address = relayed(*answers.listen(Address{}));
    server.start();
    client.start();
    PeerClient calls(client.context());
    const auto ping = [&](int number) {
        std::promise<bool> done;
        client.post([&, number] {
            const auto reply = calls.call<Ping>(address, { number }, Millis(400));
            done.set_value(reply && reply->m_number == number);
        });
        return done.get_future().get();
    };
    EXPECT_TRUE(ping(1));
    EXPECT_TRUE(ping(2));
    silence();
    bool served = false;
    for (int i = 3; i < 15 && !served; ++i)
        served = ping(i);
    report("peer, call answered", sinceSilence());
    EXPECT_TRUE(served);
    EXPECT_LT(sinceSilence(), Target);
    for (FiberThread *thread : { &client, &server }) {
        thread->stop();
        thread->join();
    }
}

TEST_F(SilenceTest, WorkForAClientThatFellSilentEnds)
{
    m_deployment.declare(1, R"(,{"name":"slow","host":"host.example","pathPrefix":"/slow/",)"
                            R"("kind":"stream","timeoutMs":20000,"aimMs":200,"maxAttempts":2,)"
                            R"("priority":1,"service":"model","resumable":true,)"
                            R"("gapAimMs":100})");
    m_deployment.addWorker("model");
    worker(0).setEvents(1'000, Millis(20));
    m_deployment.addDaemon();
    ASSERT_TRUE(m_deployment.awaitReady());
    ClientRequest request = streamRequest("/slow/x");
    request.m_deadline = Seconds(20);
    request.m_via = relayed(m_deployment.m_daemons[0]->clientsAddress());
    auto stream = m_deployment.begin(request);
    ASSERT_TRUE(eventually([&] { return m_deployment.totalRuns() == 1; }));
    std::this_thread::sleep_for(Millis(200));
    silence();
    EXPECT_TRUE(eventually([&] { return worker(0).runs().at(0).m_cancelled; }, Seconds(9)));
    report("client, its work ended", sinceSilence());
    EXPECT_LT(sinceSilence(), m_deployment.m_bounds.m_recoveryTime + Millis(800));
}

} // namespace
} // namespace stackquay::platform
