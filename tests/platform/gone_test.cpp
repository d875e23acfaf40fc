// Clients that left before their request was read, placed or sent: it reaches no endpoint.

#include <gtest/gtest.h>

#include "relayed_test.h"

namespace stackquay::platform {
namespace {

class GoneTest : public RelayedTest
{
protected:
    void start(size_t workers, const std::string &service, bool behindRelay = false)
    {
        m_deployment.declare(1);
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

} // namespace
} // namespace stackquay::platform
