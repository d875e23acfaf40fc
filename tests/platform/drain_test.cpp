// A daemon that was told to stop: what its clients see until its process is gone.

#include <gtest/gtest.h>

#include "deployment.h"

namespace stackquay::platform {
namespace {

class DrainTest : public testing::Test
{
protected:
    /// Streams that may outlast any grace of these tests, but for a shorter @p timeout.
    static void declareWithSlowRoutes(Deployment &deployment, uint64_t version = 1,
                                      Millis timeout = Millis(20'000))
    {
        const std::string slow = std::to_string(timeout.count());
        deployment.declare(version,
                           R"(,{"name":"slow","host":"host.example","pathPrefix":"/slow/",)"
                           R"("kind":"stream","timeoutMs":)"
                               + slow
                               + R"(,"aimMs":200,"maxAttempts":2,)"
                                 R"("priority":1,"service":"model","resumable":true,)"
                                 R"("gapAimMs":100},)"
                                 R"({"name":"heavy","host":"host.example","pathPrefix":"/heavy/",)"
                                 R"("kind":"stream","timeoutMs":20000,"aimMs":200,"maxAttempts":2,)"
                                 R"("priority":1,"service":"heavy","resumable":true,)"
                                 R"("gapAimMs":100})");
    }

    void start(size_t plain, size_t models, size_t heavy = 0)
    {
        declareWithSlowRoutes(m_deployment);
        for (size_t i = 0; i < plain; ++i)
            m_deployment.addWorker("plain");
        for (size_t i = 0; i < models; ++i)
            m_deployment.addWorker("model");
        for (size_t i = 0; i < heavy; ++i)
            m_deployment.addWorker("heavy");
        m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
    }

    WorkerStandin &worker(size_t index) { return **m_deployment.m_workers[index]; }
    RelayDaemon &daemon() { return *m_deployment.m_daemons[0]; }

    /// Sends @p request on as many connections, each one @p step after the one before it, under ids
    /// that idOf() gives.
    std::vector<std::future<ClientAnswer>> beginEvery(Millis step, int connections,
                                                      ClientRequest request)
    {
        std::vector<std::future<ClientAnswer>> answers;
        for (int i = 0; i < connections; ++i) {
            request.m_id = idOf(i);
            request.m_sendAfter = step * i + Millis(1);
            answers.push_back(m_deployment.begin(request));
        }
        return answers;
    }

    static std::string idOf(int connection) { return "request-" + std::to_string(connection); }

    /// For traces: the answer on one connection of beginEvery().
    static testing::Message describe(Millis step, int connection, const ClientAnswer &answer,
                                     size_t runs)
    {
        return testing::Message() << "sent " << (step * connection).count()
                                  << " ms after SIGTERM: " << answer.m_status << ", " << runs
                                  << " runs";
    }

    /// As the process does: drains to its end, then ends its threads.
    void endDaemon()
    {
        daemon().wait();
        m_deployment.m_daemons.clear();
    }

    size_t arrivals() const
    {
        size_t arrivals = 0;
        for (const auto &one : m_deployment.m_workers)
            arrivals += (**one).arrivals();
        return arrivals;
    }

    Deployment m_deployment;
};

// From an incident: a stream was taken on an open connection 3.0 s after SIGTERM, and cut when the
// process ended.
TEST_F(DrainTest, OpenConnectionsGetAWholeAnswerOrNothingIsRun)
{
    start(0, 4);
    for (size_t i = 0; i < 4; ++i)
        worker(i).setEvents(30, Millis(50));
    constexpr Millis Step{ 100 };
    constexpr int Connections = 48;
    auto answers = beginEvery(Step, Connections, streamRequest("/slow/x"));
    daemon().drain();
    endDaemon();
    size_t whole = 0;
    for (int i = 0; i < Connections; ++i) {
        const ClientAnswer answer = answers[i].get();
        const size_t runs = m_deployment.runsOf(idOf(i));
        SCOPED_TRACE(describe(Step, i, answer, runs));
        if (answer.m_status == 200) {
            EXPECT_TRUE(answer.m_whole);
            whole += answer.m_whole ? 1 : 0;
            continue;
        }
        EXPECT_EQ(runs, 0u);
        EXPECT_LT(answer.m_took, Millis(200));
        if (answer.m_status == 0)
            continue; // The connection was closed before the request was read.
        EXPECT_EQ(answer.m_status, 503u);
        EXPECT_NE(answer.header("Retry-After"), "");
        EXPECT_EQ(answer.header("Connection"), "close");
    }
    EXPECT_GT(whole, 20u); // The balancer still sends some for two seconds.
}

TEST_F(DrainTest, RequestAfterTheBalancersNoticeIsRefusedAtOnce)
{
    start(1, 1);
    worker(1).setEvents(60, Millis(50));
    ClientRequest stream = streamRequest();
    stream.m_sendAfter = Millis(2'800);
    ClientRequest plain;
    plain.m_id = "request-2";
    plain.m_sendAfter = Millis(2'800);
    auto refusedStream = m_deployment.begin(stream);
    auto refusedPlain = m_deployment.begin(plain);
    const TimePoint begun = Clock::now();
    daemon().drain();
    for (auto *refused : { &refusedStream, &refusedPlain }) {
        const ClientAnswer answer = refused->get();
        EXPECT_EQ(answer.m_status, 503u);
        EXPECT_NE(answer.header("Retry-After"), "");
        EXPECT_EQ(answer.header("Connection"), "close");
    }
    EXPECT_LT(Clock::now() - begun, Millis(3'100));
    EXPECT_EQ(arrivals(), 0u);
    endDaemon();
}

// Requests that may run once are not cut without an answer at the end of the grace, however long
// their endpoints take.
TEST_F(DrainTest, RequestsThatMayRunOnceAreAnsweredOrNotSent)
{
    m_deployment.m_bounds.m_grace = Seconds(5);
    start(3, 0);
    ClientRequest first;
    first.m_id = "first";
    ASSERT_EQ(m_deployment.call(first).m_status, 200u);
    worker(0).setMode(WorkerMode::Silent);
    worker(1).setDelay(Millis(700));
    worker(2).setDelay(Millis(1'900));
    constexpr Millis Step{ 50 };
    constexpr int Connections = 100;
    auto answers = beginEvery(Step, Connections, unsafeRequest());
    daemon().drain();
    endDaemon();
    size_t sent = 0;
    for (int i = 0; i < Connections; ++i) {
        const ClientAnswer answer = answers[i].get();
        const size_t runs = m_deployment.runsOf(idOf(i));
        SCOPED_TRACE(describe(Step, i, answer, runs));
        sent += runs;
        EXPECT_LE(runs, 1u);
        if (runs == 0)
            EXPECT_TRUE(answer.m_status == 0 || answer.m_status == 503);
        else
            EXPECT_TRUE(answer.m_status == 200 || answer.m_status == 502 || answer.m_status == 504);
        EXPECT_TRUE(answer.m_status == 0 || answer.m_whole);
    }
    EXPECT_GT(sent, 10u);
}

// From a second record of the same moments: a route's timeout had changed while the VM drained, and
// the stream came 3,006 ms after SIGTERM. What is taken so late, as its timeout lies within the
// grace, ends by that timeout and reaches no second endpoint.
TEST_F(DrainTest, RouteMadeShorterWhileTheVmDrainsLetsNothingOutlastTheGrace)
{
    m_deployment.m_bounds.m_grace = Seconds(8);
    start(0, 4);
    for (size_t i = 0; i < 4; ++i)
        worker(i).setEvents(90, Millis(50));
    ClientRequest before = streamRequest("/slow/x");
    before.m_deadline = Seconds(20);
    ClientRequest after = before;
    after.m_id = "request-2";
    after.m_sendAfter = Millis(3'006);
    // While the first one lasts, the process goes on.
    auto early = m_deployment.begin(before);
    auto late = m_deployment.begin(after);
    ASSERT_TRUE(eventually([this] { return arrivals() == 1; }));
    const TimePoint begun = Clock::now();
    daemon().drain();
    // A second less than the stream lasts, and as much as is left of the grace.
    constexpr Millis Shorter{ 3'500 };
    constexpr Millis Grace{ 7'300 };
    declareWithSlowRoutes(m_deployment, 2, Shorter);
    EXPECT_TRUE(early.get().m_whole);
    const ClientAnswer answer = late.get();
    EXPECT_LT(Clock::now() - begun, Grace);
    EXPECT_EQ(answer.m_status, 200u);
    EXPECT_FALSE(answer.m_whole);
    EXPECT_EQ(m_deployment.runsOf(after.m_id), 1u);
    endDaemon();
    EXPECT_EQ(m_deployment.runsOf(after.m_id), 1u);
}

// From an incident: the attempt that the end of the process broke off counted as an endpoint's
// failure, and the stream was sent to a second endpoint in its last millisecond.
TEST_F(DrainTest, EndOfTheProcessSendsNothingToAnotherEndpointAndAnswersWhatItCan)
{
    m_deployment.m_bounds.m_grace = Seconds(4);
    start(2, 2);
    // The daemon learns how long answers of the service take.
    ASSERT_EQ(m_deployment.call({}).m_status, 200u);
    const size_t before = arrivals();
    worker(0).setMode(WorkerMode::Silent);
    worker(1).setMode(WorkerMode::Silent);
    worker(2).setEvents(1'000, Millis(50));
    worker(3).setEvents(1'000, Millis(50));
    ClientRequest request = streamRequest("/slow/x");
    request.m_deadline = Seconds(20);
    auto stream = m_deployment.begin(request);
    ClientRequest entry;
    entry.m_method = "POST";
    entry.m_path = "/unsafe/x";
    entry.m_id = "request-2";
    entry.m_sendAfter = Millis(1'500); // Its route gives it 2.5 s; the process ends before.
    auto unanswered = m_deployment.begin(entry);
    ASSERT_TRUE(eventually([&] { return arrivals() == before + 1; }));
    daemon().drain();
    std::this_thread::sleep_for(Millis(1'800));
    for (const size_t full : { 2, 3 }) { // Leaves idle connections to both engines.
        worker(5 - full).setEvents(6, Millis(2));
        worker(full).setMode(WorkerMode::Full);
        ASSERT_TRUE(m_deployment.call(streamRequest()).m_whole);
        worker(full).setMode(WorkerMode::Serve);
    }
    const size_t warm = arrivals();
    daemon().wait();
    // Both have heard how it ended, while the threads still run.
    EXPECT_EQ(stream.wait_for(Millis(100)), std::future_status::ready);
    EXPECT_EQ(unanswered.wait_for(Millis(100)), std::future_status::ready);
    m_deployment.m_daemons.clear();
    const ClientAnswer cut = stream.get();
    EXPECT_EQ(cut.m_status, 200u);
    EXPECT_FALSE(cut.m_whole);
    EXPECT_EQ(unanswered.get().m_status, 502u); // It may have run.
    EXPECT_EQ(arrivals(), warm);
}

// An answer of 100 tokens is declared to take 2 s there, and may take twice that.
TEST_F(DrainTest, RequestThatCannotEndInTheGraceIsRefusedAtOnce)
{
    m_deployment.m_bounds.m_grace = Seconds(4);
    start(0, 0, 1);
    daemon().drain();
    ASSERT_TRUE(eventually([&] { return m_deployment.readyStatus() == 503; }));
    const TimePoint begun = Clock::now();
    ClientRequest request = streamRequest("/heavy/x");
    request.m_deadline = Seconds(20);
    const ClientAnswer answer = m_deployment.call(request);
    EXPECT_LT(Clock::now() - begun, Millis(200));
    EXPECT_EQ(answer.m_status, 503u);
    EXPECT_NE(answer.header("Retry-After"), "");
    EXPECT_EQ(arrivals(), 0u);
    endDaemon();
}

// From a day of rolling stops: an engine fell silent 3 s after SIGTERM, and the stream was cut
// though another engine could have gone on with it.
TEST_F(DrainTest, StreamThatItsEndpointLeavesIsResumedElsewhere)
{
    for (const WorkerMode mode : { WorkerMode::CutMidway, WorkerMode::SilentMidway }) {
        SCOPED_TRACE(static_cast<int>(mode));
        Deployment deployment;
        deployment.m_bounds.m_grace = Seconds(6);
        declareWithSlowRoutes(deployment);
        for (int i = 0; i < 2; ++i) {
            deployment.addWorker("heavy")->setEvents(60, Millis(40));
            (**deployment.m_workers.back()).setMode(mode);
        }
        deployment.addDaemon();
        ASSERT_TRUE(deployment.awaitReady());
        ClientRequest request = streamRequest("/heavy/x");
        request.m_deadline = Seconds(20);
        auto answer = deployment.begin(request);
        const auto arrived = [&] {
            return (**deployment.m_workers[0]).arrivals() + (**deployment.m_workers[1]).arrivals()
                   == 1;
        };
        ASSERT_TRUE(eventually(arrived));
        for (const auto &one : deployment.m_workers)
            (**one).setMode(WorkerMode::Serve);
        deployment.m_daemons[0]->drain();
        const ClientAnswer whole = answer.get();
        EXPECT_EQ(whole.m_status, 200u);
        EXPECT_TRUE(whole.m_whole);
        EXPECT_EQ(whole.m_body, eventsText(1, 60));
        deployment.m_daemons[0]->wait();
    }
}

// A slow answer is better than one that is broken off for a repeat that the budget refuses.
TEST_F(DrainTest, SilenceEndsNoStreamThatMayNotBeRepeated)
{
    m_deployment.m_bounds.m_retrySlack = 0;
    m_deployment.m_bounds.m_retryRatio = 0;
    start(0, 1);
    worker(0).setEvents(3, Millis(1'200));
    ClientRequest request = streamRequest("/slow/x");
    request.m_deadline = Seconds(20);
    const ClientAnswer answer = m_deployment.call(request);
    EXPECT_TRUE(answer.m_whole);
    EXPECT_EQ(answer.m_body, eventsText(1, 3));
}

// Nobody has seen it, so "not run" is true; a client never repeats what is called malformed.
TEST_F(DrainTest, RequestOfWhichAPartHasComeIsRefusedAtTheEnd)
{
    m_deployment.m_bounds.m_grace = Seconds(4);
    start(1, 0);
    auto answer = m_deployment.beginRaw("POST /unsafe/x HTTP/1.1\r\nHost: host.example\r\n"
                                        "Content-Length: 100\r\n\r\nhalf");
    std::this_thread::sleep_for(Millis(100));
    daemon().drain();
    endDaemon();
    const std::string text = answer.get();
    EXPECT_EQ(text.substr(0, 12), "HTTP/1.1 503");
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
    EXPECT_EQ(arrivals(), 0u);
}

} // namespace
} // namespace stackquay::platform
