#include <deque>
#include <mutex>

#include <gtest/gtest.h>

#include "fake_objects.h"

namespace stackquay {
namespace {

/// Answers each request by the next scripted step, and repeats the last step.
class ScriptedService
{
public:
    enum class Step { Answer, TooManyRequests, Unavailable, AbortConnection };

    explicit ScriptedService(std::deque<Step> steps)
        : m_thread("service")
        , m_server(m_thread, [this](HttpExchange &exchange) { answer(exchange); })
        , m_steps(std::move(steps))
    {
        m_address = *m_server.listen(Address{});
        m_thread.start();
    }

    ~ScriptedService()
    {
        m_thread.stop();
        m_thread.join();
    }

    const Address &address() const { return m_address; }

    void setSteps(std::deque<Step> steps)
    {
        const std::lock_guard lock(m_mutex);
        m_steps = std::move(steps);
    }

    size_t requests()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

private:
    Step next()
    {
        const std::lock_guard lock(m_mutex);
        ++m_requests;
        const Step step = m_steps.front();
        if (m_steps.size() > 1)
            m_steps.pop_front();
        return step;
    }

    void answer(HttpExchange &exchange)
    {
        switch (next()) {
        case Step::Answer:
            exchange.respond({ 200, { { "Object-Version", "7" } }, R"({"version":8})" });
            return;
        case Step::TooManyRequests:
            exchange.respond({ 429, {}, "" });
            return;
        case Step::Unavailable:
            exchange.respond({ 503, {}, "" });
            return;
        case Step::AbortConnection:
            exchange.abort();
            return;
        }
    }

    FiberThread m_thread;
    HttpServer m_server;
    Address m_address;
    std::mutex m_mutex;
    std::deque<Step> m_steps;
    size_t m_requests = 0;
};

using Step = ScriptedService::Step;

class StoreClientTest : public testing::Test
{
protected:
    StoreClientTest()
        : m_thread("client")
    {
        m_thread.start();
    }

    void TearDown() override
    {
        m_thread.stop();
        m_thread.join();
    }

    static StoreSettings settings(std::vector<Address> addresses)
    {
        StoreSettings settings;
        settings.m_addresses = std::move(addresses);
        settings.m_callTimeout = Seconds(30);
        settings.m_readsPerSecond = 1e6;
        settings.m_writesPerSecond = 1e6;
        settings.m_burst = 1000;
        settings.m_backoff = { Micros(100), Millis(1) };
        settings.m_probe = { Millis(1), Millis(2) };
        return settings;
    }

    void withClient(const StoreSettings &settings, const std::function<void(StoreClient &)> &use)
    {
        runOn(m_thread, [&] {
            StoreClient client(m_thread.context(), settings, RandomEngine(3));
            use(client);
        });
    }

    FiberThread m_thread;
};

TEST_F(StoreClientTest, ReadsAndWrites)
{
    ScriptedService service({ Step::Answer });
    withClient(settings({ service.address() }), [](StoreClient &client) {
        EXPECT_EQ(client.get("a")->m_version, 7u);
        EXPECT_EQ(*client.put("a", "v", 7), 8u);
        EXPECT_TRUE(client.remove("a", 8));
        EXPECT_EQ(client.put("a", std::string(ObjectValueLimit + 1, 'x'), 7).error().m_code,
                  ErrorCode::InvalidArgument);
        EXPECT_EQ(client.counters().m_puts, 1u);
    });
}

TEST_F(StoreClientTest, RetriesCallsThatWroteNothing)
{
    ScriptedService service({ Step::TooManyRequests, Step::Unavailable, Step::Answer });
    withClient(settings({ service.address() }), [](StoreClient &client) {
        EXPECT_TRUE(client.put("a", "v", 7));
        const StoreCounters counters = client.counters();
        EXPECT_EQ(counters.m_puts, 3u);
        EXPECT_EQ(counters.m_throttled, 1u);
        EXPECT_EQ(counters.m_failures, 1u);
    });
}

TEST_F(StoreClientTest, ALostResponseIsUnknownForAWriteAndRetriedForARead)
{
    ScriptedService service({ Step::AbortConnection, Step::AbortConnection, Step::Answer });
    withClient(settings({ service.address() }), [&](StoreClient &client) {
        EXPECT_EQ(client.put("a", "v", 7).error().m_code, ErrorCode::OutcomeUnknown);
        EXPECT_EQ(service.requests(), 1u);
        EXPECT_TRUE(client.get("a"));
        EXPECT_EQ(client.counters().m_unknownWrites, 1u);
    });
}

TEST_F(StoreClientTest, SwitchesToTheNextAddressAfterAFailure)
{
    ScriptedService service({ Step::Answer });
    withClient(settings({ Address{ "127.0.0.1", 1 }, service.address() }), [](StoreClient &client) {
        EXPECT_TRUE(client.put("a", "v", 7));
        EXPECT_TRUE(client.get("a"));
        EXPECT_EQ(client.counters().m_failures, 1u);
    });
}

TEST_F(StoreClientTest, OutageFailsFastUntilAProbeSucceeds)
{
    ScriptedService service({ Step::Unavailable });
    StoreSettings quick = settings({ service.address() });
    withClient(quick, [&](StoreClient &client) {
        EXPECT_EQ(client.get("a").error().m_code, ErrorCode::Unavailable);
        EXPECT_TRUE(client.outage());
        EXPECT_EQ(client.put("a", "v", 7).error().m_code, ErrorCode::Unavailable);
        const StoreCounters counters = client.counters();
        EXPECT_EQ(counters.m_gets, quick.m_outageFailureThreshold);
        EXPECT_EQ(counters.m_puts, 0u);
        EXPECT_EQ(counters.m_outages, 1u);
        EXPECT_GE(counters.m_failedFast, 1u);
        service.setSteps({ Step::Answer });
        while (client.outage())
            ASSERT_TRUE(sleepFor(m_thread.context(), Millis(1)));
        EXPECT_TRUE(client.get("a"));
        EXPECT_GE(client.counters().m_probes, 1u);
    });
}

TEST_F(StoreClientTest, TheCallBudgetRefusesCallsItCannotSendInTime)
{
    ScriptedService service({ Step::Answer });
    StoreSettings tight = settings({ service.address() });
    tight.m_writesPerSecond = 1e-6;
    tight.m_burst = 2;
    withClient(tight, [&](StoreClient &client) {
        EXPECT_TRUE(client.put("a", "v", 7));
        EXPECT_TRUE(client.put("a", "v", 7));
        EXPECT_EQ(client.put("a", "v", 7).error().m_code, ErrorCode::ResourceExhausted);
        EXPECT_EQ(service.requests(), 2u);
        EXPECT_TRUE(client.get("a")) << "reads have a separate budget";
    });
}

} // namespace
} // namespace stackquay
