// A daemon that was told to stop: what its clients see until its process is gone.

#include <gtest/gtest.h>

#include "deployment.h"

namespace stackquay::platform {
namespace {

class DrainTest : public testing::Test
{
protected:
    void start(size_t plain, size_t models)
    {
        // A stream that outlasts any grace of these tests.
        m_deployment.declare(1, R"(,{"name":"slow","host":"host.example","pathPrefix":"/slow/",)"
                                R"("kind":"stream","timeoutMs":20000,"aimMs":200,"maxAttempts":2,)"
                                R"("priority":1,"service":"model","resumable":true,)"
                                R"("gapAimMs":100})");
        for (size_t i = 0; i < plain; ++i)
            m_deployment.addWorker("plain");
        for (size_t i = 0; i < models; ++i)
            m_deployment.addWorker("model");
        m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
    }

    WorkerStandin &worker(size_t index) { return **m_deployment.m_workers[index]; }
    RelayDaemon &daemon() { return *m_deployment.m_daemons[0]; }

    /// As the process does: drains to its end, then ends its threads.
    void endDaemon()
    {
        daemon().wait();
        m_deployment.m_daemons.clear();
    }

    size_t runsOf(const std::string &id) const
    {
        size_t runs = 0;
        for (const auto &one : m_deployment.m_workers) {
            for (const WorkerRun &run : (**one).runs())
                runs += run.m_requestId == id ? 1 : 0;
        }
        return runs;
    }

    size_t arrivals() const
    {
        size_t arrivals = 0;
        for (const auto &one : m_deployment.m_workers)
            arrivals += (**one).arrivals();
        return arrivals;
    }

    static ClientRequest streamRequest(const std::string &path = "/stream/x")
    {
        ClientRequest request;
        request.m_method = "POST";
        request.m_path = path;
        request.m_body = "prompt";
        request.m_promptTokens = 2'000;
        return request;
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
    std::vector<std::future<ClientAnswer>> answers;
    for (int i = 0; i < Connections; ++i) {
        ClientRequest request = streamRequest("/slow/x");
        request.m_id = "request-" + std::to_string(i);
        request.m_sendAfter = Step * i + Millis(1);
        answers.push_back(m_deployment.begin(request));
    }
    daemon().drain();
    endDaemon();
    size_t whole = 0;
    for (int i = 0; i < Connections; ++i) {
        const ClientAnswer answer = answers[i].get();
        const size_t runs = runsOf("request-" + std::to_string(i));
        SCOPED_TRACE(testing::Message() << "sent " << (Step * i).count() << " ms after SIGTERM: "
                                        << answer.m_status << ", " << runs << " runs");
        if (answer.m_status == 200) {
            EXPECT_TRUE(answer.m_whole);
            whole += answer.m_whole ? 1 : 0;
            continue;
        }
        EXPECT_EQ(runs, 0u);
        if (answer.m_status == 0)
            continue; // The connection was closed before the request was read.
        EXPECT_EQ(answer.m_status, 503u);
        EXPECT_NE(answer.header("Retry-After"), "");
        EXPECT_EQ(answer.header("Connection"), "close");
    }
    EXPECT_GT(whole, 15u); // The balancer still sends some for two seconds.
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

// From an incident: the attempt that the end of the process broke off counted as an endpoint's
// failure, and the stream was sent to a second endpoint in its last millisecond.
TEST_F(DrainTest, EndOfTheProcessSendsNothingToAnotherEndpointAndAnswersWhatItCan)
{
    m_deployment.m_bounds.m_grace = Seconds(4);
    start(2, 2);
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
    ASSERT_TRUE(eventually([&] { return arrivals() == 1; }));
    daemon().drain();
    std::this_thread::sleep_for(Millis(1'800));
    for (const size_t full : { 2, 3 }) { // Leaves idle connections to both engines.
        worker(5 - full).setEvents(6, Millis(2));
        worker(full).setMode(WorkerMode::Full);
        ASSERT_TRUE(m_deployment.call(streamRequest()).m_whole);
        worker(full).setMode(WorkerMode::Serve);
    }
    const size_t warm = arrivals();
    endDaemon();
    const ClientAnswer cut = stream.get();
    EXPECT_EQ(cut.m_status, 200u);
    EXPECT_FALSE(cut.m_whole);
    EXPECT_EQ(unanswered.get().m_status, 502u); // It may have run.
    EXPECT_EQ(arrivals(), warm);
}

} // namespace
} // namespace stackquay::platform
