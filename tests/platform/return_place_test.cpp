// Callers that are refused because their turn would come too late, and that come back.

#include <gtest/gtest.h>

#include "deployment.h"

namespace stackquay::platform {
namespace {

/// A route whose callers leave a silent stream after four seconds and honour a Retry-After of as
/// long.
constexpr const char *PatientRoute =
    R"(,{"name":"patient","host":"host.example","pathPrefix":"/patient/","kind":"stream",)"
    R"("timeoutMs":12000,"aimMs":500,"maxAttempts":2,"priority":1,"service":"model",)"
    R"("resumable":true,"gapAimMs":500})";
/// Prefill of each prompt in progress: three seconds until another long prompt may start.
constexpr double PrefillMs = 1'900;

class ReturnPlaceTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_deployment.addWorker("model");
        m_deployment.addWorker("model");
        m_deployment.declare(1, PatientRoute);
        m_deployment.addDaemon();
        m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
        ASSERT_TRUE(m_deployment.awaitPeers());
    }

    RelayNode &node(size_t daemon) { return m_deployment.m_daemons[daemon]->node(); }

    /// Runs @p step on the traffic thread of each daemon.
    void onEach(const std::function<void(RelayNode &)> &step)
    {
        for (size_t i = 0; i < m_deployment.m_daemons.size(); ++i) {
            std::promise<void> done;
            node(i).m_thread.post([&] {
                step(node(i));
                done.set_value();
            });
            done.get_future().wait();
        }
    }

    void fillEngines()
    {
        onEach([](RelayNode &filled) {
            for (uint64_t i = 0; i < filled.m_turns.m_minConcurrentPrefills; ++i) {
                filled.m_ledger.place({ 1, i }, { { { EndpointId("worker-1"), PrefillMs, 0 } },
                                                  1'000,
                                                  false,
                                                  Clock::now(),
                                                  Clock::now() + Seconds(30) });
            }
        });
    }

    void emptyEngines()
    {
        onEach([](RelayNode &emptied) {
            for (uint64_t i = 0; i < emptied.m_turns.m_minConcurrentPrefills; ++i)
                emptied.m_ledger.end({ 1, i });
        });
    }

    bool hasPlaces(size_t daemon)
    {
        constexpr bool NotStrict = false;
        std::promise<bool> places;
        node(daemon).m_thread.post(
            [&] { places.set_value(node(daemon).m_turnMonitor.hasPlaces(NotStrict)); });
        return places.get_future().get();
    }

    static ClientRequest patientRequest(const std::string &id)
    {
        ClientRequest request = streamRequest("/patient/x", 20'000);
        request.m_deadline = Seconds(12);
        request.m_id = id;
        return request;
    }

    static std::chrono::duration<double> retryAfter(const ClientAnswer &answer)
    {
        const std::string text = answer.header("Retry-After");
        return std::chrono::duration<double>(text.empty() ? 0 : std::stod(text));
    }

    size_t arrivals()
    {
        size_t all = 0;
        for (const auto &worker : m_deployment.m_workers)
            all += (*worker)->arrivals();
        return all;
    }

    Deployment m_deployment;
};

// Guards against callers that wait for their refusal, that gain by coming back early, or that lose
// their place because they come back to another VM.
TEST_F(ReturnPlaceTest, CallerThatComesBackWhenToldIsServedByAnotherVm)
{
    fillEngines();
    const ClientAnswer refused = m_deployment.call(patientRequest("first"), 0);
    const TimePoint refusedAt = Clock::now();
    ASSERT_EQ(refused.m_status, 503u);
    EXPECT_GT(retryAfter(refused), Millis(250));
    EXPECT_LE(retryAfter(refused), Seconds(4));
    EXPECT_EQ(node(0).m_metrics.m_refusedOnArrival.value(), 1u);
    EXPECT_EQ(node(0).m_metrics.m_placesKept.value(), 1u);
    ASSERT_TRUE(eventually([&] { return hasPlaces(1); }));

    const ClientAnswer early = m_deployment.call(patientRequest("early"), 1);
    EXPECT_EQ(early.m_status, 503u);
    EXPECT_LE(retryAfter(early), retryAfter(refused));
    EXPECT_EQ(node(1).m_metrics.m_earlyReturns.value(), 1u);
    EXPECT_EQ(arrivals(), 0u);

    emptyEngines();
    std::this_thread::sleep_until(refusedAt
                                  + std::chrono::duration_cast<Duration>(retryAfter(refused)));
    EXPECT_EQ(m_deployment.call(patientRequest("second"), 1).m_status, 200u);
    EXPECT_EQ(node(1).m_metrics.m_returns.value(), 1u);
    EXPECT_TRUE(eventually([&] { return !hasPlaces(0) && !hasPlaces(1); }));
}

// Guards against a return that is refused because the VM that kept its place has ended.
TEST_F(ReturnPlaceTest, PlaceOutlivesTheVmThatKeptIt)
{
    fillEngines();
    const ClientAnswer refused = m_deployment.call(patientRequest("first"), 0);
    const TimePoint refusedAt = Clock::now();
    ASSERT_EQ(refused.m_status, 503u);
    ASSERT_TRUE(eventually([&] { return hasPlaces(1); }));
    m_deployment.m_daemons.erase(m_deployment.m_daemons.begin());
    emptyEngines();
    std::this_thread::sleep_until(refusedAt
                                  + std::chrono::duration_cast<Duration>(retryAfter(refused)));
    EXPECT_EQ(m_deployment.call(patientRequest("second"), 0).m_status, 200u);
    EXPECT_EQ(node(0).m_metrics.m_returns.value(), 1u);
}

} // namespace
} // namespace stackquay::platform
