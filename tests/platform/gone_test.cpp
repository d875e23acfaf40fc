// Clients that left before their request was read, placed or sent: it reaches no endpoint.
// Endpoints that have gone while an attempt waits there.

#include <sys/socket.h>

#include <netinet/in.h>
#include <unistd.h>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "relayed_test.h"

namespace stackquay::platform {
namespace {

class GoneTest : public RelayedTest
{
protected:
    /// As "/long/", with a timeout that outlasts pauses.
    static constexpr const char *SlowRoute =
        R"(,{"name":"slow","host":"host.example","pathPrefix":"/slow/",)"
        R"("kind":"stream","timeoutMs":12000,"aimMs":200,"maxAttempts":2,)"
        R"("priority":1,"service":"model","resumable":true,"gapAimMs":1000})";

    void start(size_t workers, const std::string &service, bool behindRelay = false,
               const std::string &extraRoutes = "")
    {
        m_deployment.declare(1, extraRoutes);
        for (size_t i = 0; i < workers; ++i) {
            HostedWorker &worker = m_deployment.addWorker(service);
            if (behindRelay)
                m_deployment.describe(worker, service, "ready", relayed(worker.address()));
        }
        m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
    }

    /// Keeps the daemon's thread of requests busy.
    void hold(Millis time)
    {
        m_deployment.m_daemons[0]->node().m_thread.post(
            [time] { std::this_thread::sleep_for(time); });
    }

    static ClientRequest leaving(Millis after)
    {
        ClientRequest request;
        request.m_method = "POST";
        request.m_path = "/unsafe/x";
        request.m_body = "entry";
        request.m_leaveAfter = after;
        return request;
    }

    uint32_t arrivals() const
    {
        uint32_t arrivals = 0;
        for (const auto &one : m_deployment.m_workers)
            arrivals += (**one).arrivals();
        return arrivals;
    }

    WorkerStandin &worker(size_t index) { return **m_deployment.m_workers[index]; }

    void setModes(WorkerMode mode)
    {
        for (size_t i = 0; i < m_deployment.m_workers.size(); ++i)
            worker(i).setMode(mode);
    }

    /// Waits until an endpoint has the only request; its index.
    size_t awaitArrival()
    {
        EXPECT_TRUE(eventually([&] { return arrivals() == 1; }));
        for (size_t i = 0; i < m_deployment.m_workers.size(); ++i) {
            if (worker(i).arrivals() > 0)
                return i;
        }
        return 0;
    }

    /// Removes the entry of the endpoint @p gone; the others serve.
    TimePoint removeEntry(size_t gone)
    {
        for (size_t i = 0; i < m_deployment.m_workers.size(); ++i) {
            if (i != gone)
                worker(i).setMode(WorkerMode::Serve);
        }
        m_deployment.m_store->remove("servers", worker(gone).id());
        return Clock::now();
    }

    void forbidRetries()
    {
        m_deployment.m_bounds.m_retrySlack = 0;
        m_deployment.m_bounds.m_retryRatio = 0;
    }

    bool allReleased() const
    {
        return std::all_of(m_deployment.m_workers.begin(), m_deployment.m_workers.end(),
                           [](const auto &one) { return (**one).reservations().empty(); });
    }
};

/// A host without power: it has taken one connection, and answers no packet any more.
class DarkHost
{
public:
    DarkHost()
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        const auto *bound = reinterpret_cast<const sockaddr *>(&address);
        // The queue of connections that are not accepted has one place.
        if (::bind(m_socket, bound, size) != 0 || ::listen(m_socket, 0) != 0)
            std::abort();
        ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
        m_address = { "127.0.0.1", ntohs(address.sin_port) };
    }

    ~DarkHost() { ::close(m_socket); }
    DarkHost(const DarkHost &) = delete;
    DarkHost &operator=(const DarkHost &) = delete;

    const Address &address() const { return m_address; }

private:
    int m_socket;
    Address m_address;
};

TEST_F(GoneTest, RequestThatWaitedToBeReadReachesNoEndpoint)
{
    start(1, "plain");
    ClientRequest staying;
    ASSERT_EQ(m_deployment.call(staying).m_status, 200u); // Leaves an idle connection.
    hold(Millis(700));
    std::this_thread::sleep_for(Millis(20));
    std::vector<std::future<ClientAnswer>> left;
    for (int i = 0; i < 10; ++i) {
        ClientRequest request = leaving(Millis(100));
        request.m_path = "/safe/x"; // May go on the idle connection, without a wait.
        left.push_back(m_deployment.begin(request));
    }
    for (auto &answer : left)
        answer.get();
    std::this_thread::sleep_for(Millis(800));
    EXPECT_EQ(arrivals(), 1u);
    EXPECT_EQ(m_deployment.call(staying).m_status, 200u);
}

TEST_F(GoneTest, ClientThatLeavesWhileMemoryIsReservedReachesNoEndpoint)
{
    start(6, "model", true);
    standin::RelayFault fault;
    fault.m_mode = standin::RelayMode::Delay;
    fault.m_delay = Millis(60);
    m_relay.setFault(fault);
    ClientRequest request = leaving(Millis(100));
    request.m_path = "/long/x";
    request.m_promptTokens = 250'000;
    m_deployment.call(request);
    std::this_thread::sleep_for(Millis(300));
    EXPECT_EQ(arrivals(), 0u);
    // What was reserved is released, and nothing more is reserved.
    EXPECT_TRUE(eventually(
        [&] {
            return std::all_of(m_deployment.m_workers.begin(), m_deployment.m_workers.end(),
                               [](const auto &one) { return (**one).reservations().empty(); });
        },
        Millis(1'000)));
}

TEST_F(GoneTest, ClientThatLeavesWhileARepeatIsPlacedReachesNoOtherEndpoint)
{
    start(2, "plain");
    for (const auto &one : m_deployment.m_workers)
        (**one).setMode(WorkerMode::Silent); // The repeat is due after 400 ms.
    ClientRequest request;
    request.m_leaveAfter = Millis(200);
    m_deployment.call(request);
    std::this_thread::sleep_for(Millis(600));
    EXPECT_EQ(arrivals(), 1u);
}

/// Of the four seconds after which unused memory must be free, an ended engine's entry in the store
/// takes three to expire.
constexpr Millis LeftToRelease{ 900 };

// Users' engines went dark under a prompt that others held memory for. Its VM knew that the engine
// was gone, and kept the memory until it had waited out the silence.
TEST_F(GoneTest, PromptWithoutFirstEventLeavesAnEngineThatIsGone)
{
    start(6, "model");
    for (const auto &one : m_deployment.m_workers)
        (**one).setMode(WorkerMode::Silent);
    ClientRequest request = streamRequest("/long/x", 250'000);
    request.m_deadline = Seconds(20);
    auto answer = m_deployment.begin(request);
    ASSERT_TRUE(eventually([&] { return arrivals() == 1; }));
    for (const auto &one : m_deployment.m_workers) {
        if ((**one).arrivals() > 0)
            m_deployment.m_store->remove("servers", (**one).id());
        else
            (**one).setMode(WorkerMode::Serve);
    }
    const TimePoint removed = Clock::now();
    EXPECT_EQ(answer.get().m_status, 200u);
    EXPECT_LT(Clock::now() - removed, LeftToRelease);
}

// The same once its first events have come: the stream is resumed elsewhere, each event once.
TEST_F(GoneTest, StreamWithFirstEventsLeavesAnEngineThatIsGone)
{
    start(3, "model");
    setModes(WorkerMode::SilentMidway);
    auto answer = m_deployment.begin(streamRequest("/long/x"));
    const TimePoint removed = removeEntry(awaitArrival());
    const ClientAnswer whole = answer.get();
    EXPECT_EQ(whole.m_status, 200u);
    EXPECT_TRUE(whole.m_whole);
    EXPECT_EQ(whole.m_body, eventsText(1, 6));
    EXPECT_LT(Clock::now() - removed, LeftToRelease);
}

// The process came back under its id: gone, and still in the directory.
TEST_F(GoneTest, StreamLeavesAProcessThatWasReplacedUnderItsId)
{
    start(3, "model");
    setModes(WorkerMode::SilentMidway);
    auto answer = m_deployment.begin(streamRequest("/long/x"));
    const size_t gone = awaitArrival();
    for (size_t i = 0; i < 3; ++i) {
        if (i != gone)
            worker(i).setMode(WorkerMode::Serve);
    }
    m_deployment.describeProcess(*m_deployment.m_workers[gone], "model", 2'000);
    const TimePoint replaced = Clock::now();
    EXPECT_EQ(answer.get().m_body, eventsText(1, 6));
    EXPECT_LT(Clock::now() - replaced, LeftToRelease);
}

// Without a repeat nothing can come any more: the answer is due at once, and promises nothing.
TEST_F(GoneTest, StreamThatMayNotBeRepeatedEndsWithItsEngine)
{
    forbidRetries();
    start(6, "model");
    setModes(WorkerMode::Silent);
    ClientRequest request = streamRequest("/long/x", 250'000);
    request.m_deadline = Seconds(20);
    auto answer = m_deployment.begin(request);
    const TimePoint removed = removeEntry(awaitArrival());
    EXPECT_EQ(answer.get().m_status, 502u);
    EXPECT_LT(Clock::now() - removed, LeftToRelease);
    EXPECT_TRUE(eventually([&] { return allReleased(); }, Millis(500)));
    EXPECT_EQ(arrivals(), 1u);
}

TEST_F(GoneTest, RequestThatMayRunOnceEndsWithItsService)
{
    DarkHost dark;
    m_deployment.declare(1);
    HostedWorker &service = m_deployment.addWorker("plain");
    m_deployment.describe(service, "plain", "ready", dark.address());
    m_deployment.addDaemon();
    ASSERT_TRUE(m_deployment.awaitReady());
    auto answer = m_deployment.begin(unsafeRequest());
    std::this_thread::sleep_for(Millis(200));
    m_deployment.m_store->remove("servers", service->id());
    const TimePoint removed = Clock::now();
    EXPECT_EQ(answer.get().m_status, 502u);
    EXPECT_LT(Clock::now() - removed, Millis(1'200));
}

// An endpoint that leaves finishes its requests after its entry was removed, and one that is cut
// off from the store alone loses its entry while it serves.
TEST_F(GoneTest, EngineThatAnswersFinishesAfterItsEntryIsRemoved)
{
    start(3, "model");
    for (size_t i = 0; i < 3; ++i)
        worker(i).setEvents(3, Millis(600));
    auto answer = m_deployment.begin(streamRequest("/long/x"));
    const size_t first = awaitArrival();
    removeEntry(first);
    EXPECT_EQ(answer.get().m_body, eventsText(1, 3));
    EXPECT_EQ(arrivals(), 1u);
    EXPECT_GT(worker(first).reports(), 0u);
}

TEST_F(GoneTest, ServiceThatAnswersFinishesAfterItsEntryIsRemoved)
{
    forbidRetries();
    start(1, "plain");
    worker(0).setDelay(Millis(1'500));
    auto answer = m_deployment.begin(unsafeRequest());
    removeEntry(awaitArrival());
    EXPECT_EQ(answer.get().m_status, 200u);
    EXPECT_EQ(arrivals(), 1u);
}

// An entry expires shortly before memory must be free, and VMs hear of it later still.
TEST_F(GoneTest, MemoryIsReleasedInTimeWhileTheSilentEngineIsStillListed)
{
    forbidRetries();
    start(6, "model", false, SlowRoute);
    setModes(WorkerMode::Silent);
    ClientRequest request = streamRequest("/slow/x", 250'000);
    request.m_deadline = Seconds(12);
    auto answer = m_deployment.begin(request);
    awaitArrival();
    const TimePoint silent = Clock::now();
    EXPECT_TRUE(
        eventually([&] { return allReleased(); }, m_deployment.m_bounds.m_memoryReleaseTime));
    std::cout << "[ MEASURED ] memory held for a silent engine: "
              << std::chrono::duration_cast<Millis>(Clock::now() - silent).count() << " ms\n";
    EXPECT_EQ(answer.get().m_status, 502u);
}

// A prompt that others hold memory for lost its answer in a pause of all engines: probes of 200 ms
// failed twice, and it was abandoned while no other attempt was allowed.
TEST_F(GoneTest, AttemptThatHoldsMemoryIsNotAbandonedInAPauseOfAllEngines)
{
    constexpr Millis PauseAfterProbe{ 500 };
    constexpr Millis Pause{ 1'300 };
    forbidRetries();
    start(6, "model", true, SlowRoute);
    for (size_t i = 0; i < m_deployment.m_workers.size(); ++i)
        worker(i).setEvents(1, Millis(3'000));
    ClientRequest request = streamRequest("/slow/x", 250'000);
    request.m_deadline = Seconds(12);
    auto answer = m_deployment.begin(request);
    const size_t first = awaitArrival();
    ASSERT_FALSE(allReleased());
    ASSERT_TRUE(eventually([&] { return worker(first).reports() > 0; }));
    std::this_thread::sleep_for(PauseAfterProbe);
    m_relay.setFault({ standin::RelayMode::Pause });
    std::this_thread::sleep_for(Pause);
    m_relay.setFault({ standin::RelayMode::Pass });
    const ClientAnswer whole = answer.get();
    EXPECT_EQ(whole.m_status, 200u) << whole.m_body;
    EXPECT_EQ(whole.m_body, eventsText(1, 1));
}

// Users' callers got 502 within milliseconds, with seconds left: both attempts of a request went
// across the same cut, which resets the connections to all endpoints of a data centre.
TEST_F(GoneTest, RequestIsNotRepeatedAcrossTheCutThatEndedIt)
{
    constexpr size_t BehindTheCut = 6;
    constexpr size_t Workers = 8;
    m_deployment.declare(1);
    for (size_t i = 0; i < Workers; ++i) {
        HostedWorker &added = m_deployment.addWorker("plain");
        m_deployment.m_store->put("servers", added->id(),
                                  fmt::format(R"({{"service":"plain","address":"{}","zone":"{}",)"
                                              R"("version":"v1","slots":8,"state":"ready",)"
                                              R"("coldLeftMs":0,"seq":1}})",
                                              toString(added.address()),
                                              i < BehindTheCut ? "cut" : "far"));
        if (i < BehindTheCut)
            added->setMode(WorkerMode::CutBefore);
    }
    m_deployment.addDaemon();
    ASSERT_TRUE(m_deployment.awaitReady());
    std::vector<std::future<ClientAnswer>> answers;
    for (size_t i = 0; i < 2 * Workers; ++i) {
        ClientRequest request;
        request.m_id = fmt::format("request-{}", i);
        answers.push_back(m_deployment.begin(request));
    }
    for (auto &answer : answers)
        EXPECT_EQ(answer.get().m_status, 200u);
}

} // namespace
} // namespace stackquay::platform
