/// A real daemon gets SIGTERM while clients go on using their connections until it is gone.
#include <csignal>
#include <future>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "daemon_pair.h"

namespace stackquay {
namespace {

using standin::EngineStandin;
using standin::Hosted;
using standin::PlatformStandin;
using standin::ServiceStandin;

/// What became of one request; status 0: the connection ended without an answer.
struct Exchange {
    std::string m_key;
    unsigned m_status = 0;
    HttpHeaders m_headers;
    bool m_whole = false;
};

class DrainProcessTest : public testing::Test
{
protected:
    DrainProcessTest()
    {
        m_client.start();
        declareIntent();
    }

    ~DrainProcessTest() override
    {
        m_client.stop();
        m_client.join();
    }

    void declareIntent()
    {
        Intent intent = oneModelIntent();
        Service service;
        service.m_id = ServiceId("entry-desk");
        intent.m_services = { service };
        intent.m_endpoints = { engineAt("e1", m_engine.address()),
                               engineAt("s1", m_service.address()) };
        intent.m_endpoints[1].m_models = {};
        intent.m_endpoints[1].m_kind = EndpointKind::Service;
        intent.m_endpoints[1].m_service = service.m_id;
        publish(m_platform, intent);
    }

    HttpResponse get(const Address &daemon, const std::string &path)
    {
        std::promise<Result<HttpResponse>> answer;
        m_client.post([&] {
            HttpPool pool(m_client.context());
            answer.set_value(pool.call(daemon, { "GET", path, {}, "" }, { Seconds(5) }));
        });
        const auto response = answer.get_future().get();
        return response ? *response : HttpResponse{ 0, {}, "" };
    }

    void awaitReady(const Address &daemon, const std::string &members)
    {
        awaitEvent([&] {
            return get(daemon, "/readyz").m_status == 200
                   && get(daemon, "/metrics").m_body.find("\nstackquay_members " + members + "\n")
                          != std::string::npos;
        });
    }

    static HttpRequest completion(uint64_t tokens)
    {
        HttpRequest request{ "POST", "/v1/completions", {}, "" };
        request.m_headers = { { "Authorization", "Bearer key" },
                              { "Stackquay-Deadline", "10000" } };
        request.m_body =
            fmt::format(R"({{"model":"{}","prompt":"a clue","max_tokens":{},"stream":true}})",
                        ModelName, tokens);
        return request;
    }

    static HttpRequest call(const std::string &key)
    {
        HttpRequest request{ "POST", "/service/entry-desk/x", {}, "grid" };
        request.m_headers = { { "Authorization", "Bearer key" },
                              { "Stackquay-Deadline", "1000" },
                              { "Idempotency-Key", key } };
        return request;
    }

    static void exchange(HttpConnection &connection, const HttpRequest &request, Exchange &result)
    {
        if (!connection.send(request, Seconds(5)))
            return;
        const auto header = connection.readHeader(Seconds(30));
        if (!header)
            return;
        result.m_status = header->m_status;
        result.m_headers = header->m_headers;
        result.m_whole = connection.readWhole(Seconds(30)).has_value();
    }

    /// Calls the service on one connection after the other until the daemon is gone.
    std::vector<Exchange> callUntilGone(const Address &daemon, const std::string &name)
    {
        std::vector<Exchange> exchanges;
        for (;;) {
            HttpConnection connection(m_client.context());
            if (!connection.connect(daemon, Seconds(5)))
                return exchanges;
            do {
                Exchange &next = exchanges.emplace_back();
                next.m_key = fmt::format("{}-{}", name, exchanges.size());
                exchange(connection, call(next.m_key), next);
                if (!sleepFor(m_client.context(), Millis(3)))
                    return exchanges;
            } while (connection.reusable());
        }
    }

    Hosted<PlatformStandin> m_platform;
    Hosted<EngineStandin> m_engine;
    Hosted<ServiceStandin> m_service;
    FiberThread m_client{ "client" };
};

TEST_F(DrainProcessTest, CallsUntilTheProcessIsGoneAreAnsweredOrNotRun)
{
    const auto daemon = startDaemon(m_platform, "vm-1", {}, { "--drain-lag", "400ms" });
    const Address address = *parseAddress(*daemon->awaitReady("address"));
    awaitReady(address, "1");
    // Keeps the daemon for a while after the balancer's notice.
    std::promise<Exchange> stream;
    m_client.post([&] {
        HttpConnection connection(m_client.context());
        ASSERT_TRUE(connection.connect(address, Seconds(5)));
        Exchange result;
        exchange(connection, completion(150), result);
        stream.set_value(result);
    });
    awaitEvent([&] { return m_engine->stats().m_started == 1; });
    constexpr int Clients = 8;
    std::vector<std::promise<std::vector<Exchange>>> done(Clients);
    for (int i = 0; i < Clients; ++i)
        m_client.post([&, i] { done[i].set_value(callUntilGone(address, std::to_string(i))); });
    awaitEvent([&] { return m_service->stats().m_total > 100; });
    daemon->signal(SIGTERM);
    const auto exit = daemon->awaitExit();
    ASSERT_TRUE(exit);
    EXPECT_EQ(exit->m_status, 0);
    EXPECT_EQ(exit->m_signal, 0);
    EXPECT_TRUE(stream.get_future().get().m_whole);
    size_t refused = 0;
    auto executions = m_service->stats().m_executions;
    for (auto &client : done) {
        for (const Exchange &one : client.get_future().get()) {
            SCOPED_TRACE(testing::Message() << one.m_key << ": " << one.m_status);
            if (one.m_status == 200) {
                EXPECT_TRUE(one.m_whole);
                EXPECT_EQ(executions[one.m_key], 1u);
                continue;
            }
            EXPECT_EQ(executions[one.m_key], 0u);
            if (one.m_status == 0)
                continue; // The connection was closed before the request was read.
            ++refused;
            EXPECT_EQ(one.m_status, 503u);
            EXPECT_EQ(findHeader(one.m_headers, "Stackquay-Outcome"), "not-run");
            EXPECT_NE(findHeader(one.m_headers, "Retry-After"), "");
            EXPECT_EQ(findHeader(one.m_headers, "Connection"), "close");
        }
    }
    EXPECT_GT(refused, 0u);
}

// A steward that does not answer is passed over; the end of the process looks the same.
TEST_F(DrainProcessTest, RequestThatWaitsForAStewardIsNotSentByTheEndingProcess)
{
    const auto [entryName, stewardName] = nodeNames();
    const auto steward = startDaemon(m_platform, stewardName, {}, {});
    const auto entry = startDaemon(m_platform, entryName, *steward->awaitReady("udp"),
                                   { "--drain-lag", "0ms", "--drain-timeout", "300ms" });
    const Address address = *parseAddress(*entry->awaitReady("address"));
    awaitReady(address, "2");
    awaitReady(*parseAddress(*steward->awaitReady("address")), "2");
    const auto ask = [&] {
        auto answer = std::make_shared<std::promise<Exchange>>();
        m_client.post([this, answer, address] {
            HttpConnection connection(m_client.context());
            Exchange result;
            if (connection.connect(address, Seconds(5)))
                exchange(connection, completion(5), result);
            answer->set_value(result);
        });
        return answer->get_future();
    };
    awaitEvent([&] { return ask().get().m_whole; }); // Leaves an idle connection to the engine.
    const uint64_t before = m_engine->stats().m_accepted;
    ASSERT_TRUE(steward->pause());
    auto waiting = ask();
    std::this_thread::sleep_for(Millis(200));
    entry->signal(SIGTERM);
    const auto exit = entry->awaitExit();
    steward->signal(SIGCONT);
    ASSERT_TRUE(exit);
    EXPECT_EQ(exit->m_status, 0);
    EXPECT_EQ(m_engine->stats().m_accepted, before);
    const Exchange refused = waiting.get();
    EXPECT_EQ(refused.m_status, 503u);
    EXPECT_EQ(findHeader(refused.m_headers, "Stackquay-Outcome"), "not-run");
    EXPECT_NE(findHeader(refused.m_headers, "Retry-After"), "");
}

} // namespace
} // namespace stackquay
