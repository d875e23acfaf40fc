// Endpoints that pause for longer than an attempt may be silent, and then go on.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "deployment.h"

namespace stackquay::platform {
namespace {

constexpr Millis Pause{ 1'300 };
constexpr Millis ClientPatience{ 2'000 };
/// From the end of a request to the end of all work for it.
constexpr Millis CancelTime{ 500 };
constexpr size_t Daemons = 6;
/// A part of them takes the strict streams; it has slots for all streams and their repeats.
constexpr size_t Engines = 10;
constexpr Millis Gap{ 20 };

/// A resumable stream whose deadline is far beyond the pause.
std::string slowRoute(Millis timeout)
{
    return fmt::format(R"(,{{"name":"slow","host":"host.example","pathPrefix":"/slow/",)"
                       R"("kind":"stream","timeoutMs":{},"aimMs":500,"maxAttempts":2,)"
                       R"("priority":1,"service":"model","resumable":true,"gapAimMs":100}})",
                       timeout.count());
}

class PausedEndpointsTest : public testing::Test
{
protected:
    void start(size_t daemons, size_t engines, size_t services = 0)
    {
        m_deployment.declare(1, slowRoute(Millis(10'000)));
        for (size_t i = 0; i < engines; ++i)
            m_deployment.addWorker("model")->setEvents(m_events, Gap);
        for (size_t i = 0; i < services; ++i)
            m_deployment.addWorker("plain");
        for (size_t i = 0; i < daemons; ++i)
            m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
        ASSERT_TRUE(m_deployment.awaitPeers());
    }

    /// Each of the daemons may repeat one request to a service.
    void startWithOneRetryEach(size_t engines, size_t services = 0)
    {
        constexpr double Slack = 14;
        m_deployment.m_bounds.m_retrySlack = Slack;
        start(Daemons, engines, services);
    }

    WorkerStandin &worker(size_t index) { return **m_deployment.m_workers[index]; }

    void setPaused(bool paused)
    {
        for (size_t i = 0; i < m_deployment.m_workers.size(); ++i)
            worker(i).setPaused(paused);
    }

    void pauseAll(const std::function<void()> &meanwhile = [] {})
    {
        const TimePoint until = Clock::now() + Pause;
        setPaused(true);
        meanwhile();
        std::this_thread::sleep_until(until);
        setPaused(false);
    }

    /// A request with the next id, sent to the next daemon.
    void begin(ClientRequest request)
    {
        request.m_id = fmt::format("request-{}", m_answers.size());
        request.m_deadline = Seconds(10);
        const size_t daemon = m_answers.size() % m_deployment.m_daemons.size();
        m_answers.push_back(m_deployment.begin(request, daemon));
    }

    /// One at a time for each daemon: of many at once some are refused as too late.
    void beginStreams(size_t streams, const std::string &path = "/slow/x")
    {
        for (size_t i = 0; i < streams; ++i) {
            begin(streamRequest(path));
            if (m_answers.size() % m_deployment.m_daemons.size() == 0)
                awaitRuns();
        }
        awaitRuns();
    }

    /// Waits until all requests have reached their endpoints.
    void awaitRuns()
    {
        EXPECT_TRUE(eventually([&] { return m_deployment.totalRuns() >= m_answers.size(); }));
    }

    static void awaitFirstEvents() { std::this_thread::sleep_for(Gap * 8); }

    /// Expects whole answers to all requests, and prints how many there are.
    void expectWholeAnswers()
    {
        size_t whole = 0;
        for (size_t i = 0; i < m_answers.size(); ++i) {
            SCOPED_TRACE(i);
            const ClientAnswer answer = m_answers[i].get();
            EXPECT_EQ(answer.m_status, 200u) << answer.m_body;
            EXPECT_TRUE(answer.m_whole);
            if (answer.header("X-Worker").empty()) {
                EXPECT_EQ(answer.m_body, eventsText(1, m_events));
            }
            whole += answer.m_status == 200 && answer.m_whole ? 1 : 0;
        }
        std::cout << fmt::format("[ MEASURED ] whole answers: {} of {}; runs: {}\n", whole,
                                 m_answers.size(), m_deployment.totalRuns());
    }

    std::vector<WorkerRun> runs() const
    {
        std::vector<WorkerRun> all;
        for (const auto &one : m_deployment.m_workers) {
            const std::vector<WorkerRun> runs = (**one).runs();
            all.insert(all.end(), runs.begin(), runs.end());
        }
        return all;
    }

    uint32_t m_events = 80; ///< Of each stream.
    /// The engine that has the only run.
    size_t runningEngine() const
    {
        for (size_t i = 0; i < m_deployment.m_workers.size(); ++i) {
            if (!(**m_deployment.m_workers[i]).runs().empty())
                return i;
        }
        ADD_FAILURE() << "no run";
        return 0;
    }

    /// Whether no run goes on, and all but @p whole of them were cancelled.
    bool othersCancelled(size_t whole) const
    {
        const std::vector<WorkerRun> all = runs();
        const auto ended = [](const WorkerRun &run) { return run.m_until != TimePoint{}; };
        const auto cancelled = [](const WorkerRun &run) { return run.m_cancelled; };
        return std::all_of(all.begin(), all.end(), ended)
               && std::count_if(all.begin(), all.end(), cancelled) + whole == all.size();
    }

    Deployment m_deployment;
    std::vector<std::future<ClientAnswer>> m_answers;
};

// Users' engines stopped for 1.2 s and went on. Each stream was given up for a repeat, of which the
// budget allowed a few, and the others were cut.
TEST_F(PausedEndpointsTest, StreamsAreNotCutWhileAllEndpointsPause)
{
    constexpr size_t Streams = 30;
    startWithOneRetryEach(Engines);
    beginStreams(Streams);
    awaitFirstEvents();
    pauseAll();
    expectWholeAnswers();
}

// The same before the first event: answered 502, and nobody else could have served them.
TEST_F(PausedEndpointsTest, RequestsWithoutAnEventAreNotFailedWhileAllEndpointsPause)
{
    constexpr size_t OfEachKind = 18;
    startWithOneRetryEach(Engines, 4);
    pauseAll([&] {
        beginStreams(OfEachKind);
        for (size_t i = 0; i < OfEachKind; ++i)
            begin({});
    });
    expectWholeAnswers();
}

TEST_F(PausedEndpointsTest, RequestThatMayRunOnceRunsOnceWhileItsEndpointPauses)
{
    m_events = 20;
    startWithOneRetryEach(2, 2);
    beginStreams(1, "/once/x");
    awaitFirstEvents();
    pauseAll([&] {
        beginStreams(1, "/once/x");
        begin(unsafeRequest());
    });
    expectWholeAnswers();
    EXPECT_EQ(m_deployment.totalRuns(), 3u);
}

// Waits that have begun go on under a new configuration.
TEST_F(PausedEndpointsTest, ConfigurationChangesDuringAPauseCutNothing)
{
    constexpr size_t Streams = 30;
    startWithOneRetryEach(Engines);
    beginStreams(Streams);
    awaitFirstEvents();
    pauseAll([&] {
        std::this_thread::sleep_for(Millis(300));
        m_deployment.declare(2, slowRoute(Millis(12'000)));
    });
    expectWholeAnswers();
    EXPECT_EQ(m_deployment.m_daemons[0]->node().m_view.load()->m_routes->m_version, 2u);
}

// A repeat that waits for an endpoint to speak again would leave the client without events.
TEST_F(PausedEndpointsTest, StreamIsResumedElsewhereWhileItsEndpointStaysSilent)
{
    m_events = 10;
    start(1, 3);
    for (size_t i = 0; i < 3; ++i)
        worker(i).setMode(WorkerMode::SilentMidway);
    beginStreams(1);
    const size_t silent = runningEngine();
    for (size_t i = 0; i < 3; ++i) {
        if (i != silent)
            worker(i).setMode(WorkerMode::Serve);
    }
    const ClientAnswer answer = m_answers[0].get();
    EXPECT_TRUE(answer.m_whole);
    EXPECT_EQ(answer.m_body, eventsText(1, m_events));
    EXPECT_LT(answer.m_took, ClientPatience);
    EXPECT_EQ(m_deployment.totalRuns(), 2u);
    EXPECT_TRUE(eventually([&] { return worker(silent).runs().at(0).m_cancelled; }, CancelTime));
    EXPECT_TRUE(eventually([&] { return othersCancelled(1); }, CancelTime));
}

// The client would get events twice, or engines would go on with work for nobody.
TEST_F(PausedEndpointsTest, AnswersOfTwoRunsAreNotMixedWhereASilentEndpointGoesOn)
{
    start(1, 2);
    beginStreams(1);
    awaitFirstEvents();
    WorkerStandin &paused = worker(runningEngine());
    paused.setPaused(true);
    std::this_thread::sleep_for(Pause);
    paused.setPaused(false);
    expectWholeAnswers();
    EXPECT_TRUE(eventually([&] { return othersCancelled(1); }, CancelTime));
}

// The same where the endpoints of both attempts go on at the same time.
TEST_F(PausedEndpointsTest, AnswersOfTwoRunsAreNotMixedWhereBothEndpointsGoOn)
{
    constexpr size_t Streams = 8;
    start(1, 6);
    beginStreams(Streams);
    awaitFirstEvents();
    pauseAll();
    expectWholeAnswers();
    EXPECT_TRUE(eventually([&] { return othersCancelled(Streams); }, CancelTime));
}

// Engines would go on with work for a client that has left.
TEST_F(PausedEndpointsTest, ClientThatLeavesEndsBothAttempts)
{
    constexpr Millis LeaveAfter{ 1'600 };
    start(1, 4, 2);
    ClientRequest stream = streamRequest("/slow/x");
    stream.m_leaveAfter = LeaveAfter;
    begin(stream);
    awaitRuns();
    awaitFirstEvents();
    setPaused(true);
    begin(stream);
    ClientRequest safe;
    safe.m_leaveAfter = LeaveAfter;
    begin(safe);
    const TimePoint leftAt = Clock::now() + LeaveAfter;
    awaitRuns();
    EXPECT_FALSE(othersCancelled(0));
    EXPECT_TRUE(eventually([&] { return othersCancelled(0); }, leftAt + CancelTime - Clock::now()));
    std::cout << fmt::format("[ MEASURED ] runs for 3 requests: {}\n", m_deployment.totalRuns());
    for (auto &answer : m_answers)
        EXPECT_FALSE(answer.get().m_whole);
    EXPECT_TRUE(othersCancelled(0)); // Nothing was sent after they left.
}

} // namespace
} // namespace stackquay::platform
