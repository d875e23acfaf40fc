#include "client.h"

namespace stackquay::standin {
namespace {

class ServiceStandinTest : public testing::Test
{
protected:
    std::future<Result<HttpResponse>> start(const std::string &key, const std::string &attempt)
    {
        const HttpHeaders headers{ { "Idempotency-Key", key },
                                   { "Stackquay-Attempt-Id", attempt } };
        return m_client.start(m_service.address(), { "POST", "/draw/entry", headers, "entry" });
    }

    Result<HttpResponse> call(const std::string &key, const std::string &attempt)
    {
        return start(key, attempt).get();
    }

    Json admin(const std::string &path, const Json &body)
    {
        return jsonOf(
            m_client.call(m_service.address(), { "POST", "/admin" + path, {}, body.dump() }));
    }

    Hosted<ServiceStandin> m_service;
    Client m_client;
};

TEST_F(ServiceStandinTest, CountsEveryExecutionAndEchoes)
{
    const auto answer = call("k1", "a1");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->m_body, "entry");
    EXPECT_EQ(findHeader(answer->m_headers, "Stackquay-Attempt-Id"), "a1");
    call("k1", "a2");
    call("k2", "a3");
    const Json stats = admin("/stats", Json::object());
    EXPECT_EQ(stats["total"], 3);
    EXPECT_EQ(stats["executions"]["k1"], 2);
    EXPECT_EQ(stats["executions"]["k2"], 1);
    EXPECT_EQ(stats["attempts"]["a2"], 1);
}

TEST_F(ServiceStandinTest, LostAnswerWasExecutedAndRefusedWasNot)
{
    admin("/fault", { { "mode", "lose_answer" }, { "count", 1 } });
    EXPECT_FALSE(call("k", "a1"));
    EXPECT_EQ(m_service->stats().m_total, 1u);
    admin("/fault", { { "mode", "refuse" }, { "count", 1 } });
    const auto refused = call("k", "a2");
    EXPECT_EQ(statusOf(refused), 503u);
    EXPECT_EQ(findHeader(refused->m_headers, "Stackquay-Not-Run"), "yes");
    admin("/fault", { { "mode", "lose_request" }, { "count", 1 } });
    EXPECT_FALSE(call("k", "a3"));
    EXPECT_EQ(m_service->stats().m_total, 1u);
    EXPECT_EQ(statusOf(call("k", "a4")), 200u);
}

TEST_F(ServiceStandinTest, HangingServiceExecutesAfterwards)
{
    m_service->setFault({ ServiceFaultMode::Hang, 0 });
    auto answer = start("k", "a");
    EXPECT_EQ(admin("/stats", Json::object())["total"], 0);
    m_service->setFault({});
    EXPECT_EQ(statusOf(answer.get()), 200u);
    EXPECT_EQ(m_service->stats().m_total, 1u);
}

} // namespace
} // namespace stackquay::standin
