#include <gtest/gtest.h>

#include "entry/completion_request.h"
#include "entry/entry.h"
#include "entry/recorded_outcome.h"

namespace stackquay {
namespace {

TEST(CompletionRequestTest, ReadsTextAndChat)
{
    const auto text = parseCompletionRequest(
        ApiShape::Text, R"({"model":"m:a","prompt":"hi","max_tokens":7,"stream":true})");
    ASSERT_TRUE(text);
    EXPECT_EQ(text->m_model, ModelId("m"));
    EXPECT_EQ(text->m_adapter, "a");
    EXPECT_EQ(text->m_prompt, "hi");
    EXPECT_EQ(text->m_maxTokens, 7u);
    EXPECT_TRUE(text->m_stream);
    const auto chat = parseCompletionRequest(
        ApiShape::Chat, R"({"model":"m","messages":[{"role":"user","content":"hi"}]})");
    ASSERT_TRUE(chat);
    EXPECT_EQ(chat->m_prompt, "user: hi\n");
    EXPECT_FALSE(chat->m_stream);
}

TEST(CompletionRequestTest, ErrorNamesTheInvalidField)
{
    struct Case {
        const char *m_body;
        const char *m_named;
    };
    const Case cases[] = {
        { "", "JSON" },
        { "[1]", "object" },
        { R"({"prompt":"x"})", "'model'" },
        { R"({"model":"m"})", "'prompt'" },
        { R"({"model":"m","prompt":""})", "'prompt'" },
        { R"({"model":"m","prompt":"x","max_tokens":0})", "'max_tokens'" },
        { R"({"model":"m","prompt":"x","max_tokens":-1})", "'max_tokens'" },
        { R"({"model":"m","prompt":"x","stream":"yes"})", "'stream'" },
    };
    for (const Case &bad : cases) {
        const auto request = parseCompletionRequest(ApiShape::Text, bad.m_body);
        ASSERT_FALSE(request) << bad.m_body;
        EXPECT_NE(request.error().m_message.find(bad.m_named), std::string::npos)
            << request.error().m_message;
    }
}

TEST(RecordedOutcomeTest, KeepsAnyBodyAndHeader)
{
    HttpResponse response{ 201, { { "X-Raw", std::string("\xff\x00z", 3) } }, {} };
    for (size_t size = 0; size < 10; ++size) {
        response.m_body = std::string(size, '\xfe');
        const auto kept = decodeRecordedOutcome(encodeRecordedOutcome(response));
        ASSERT_TRUE(kept);
        EXPECT_EQ(kept->m_status, 201u);
        EXPECT_EQ(kept->m_body, response.m_body);
        ASSERT_EQ(kept->m_headers.size(), 1u);
        EXPECT_EQ(kept->m_headers[0].m_value, response.m_headers[0].m_value);
    }
}

TEST(RecordedOutcomeTest, FailedOrUnreadableMayHaveRun)
{
    Refusal failed;
    failed.m_outcome = Outcome::FailedMayHaveRun;
    for (const std::string &text :
         { encodeRecordedOutcome(tl::unexpected(failed)), std::string("garbage") }) {
        const auto kept = decodeRecordedOutcome(text);
        ASSERT_FALSE(kept);
        EXPECT_EQ(kept.error().m_outcome, Outcome::FailedMayHaveRun);
        EXPECT_EQ(kept.error().m_error, RequestError::OutcomeUnknown);
    }
}

Intent twoDataCentres()
{
    Intent intent;
    intent.m_dataCentres = { { DataCentreId("a"), {}, {} }, { DataCentreId("b"), {}, {} } };
    Customer customer;
    customer.m_id = CustomerId("c");
    customer.m_concurrency = 11;
    customer.m_tokensPerSecond = 100;
    intent.m_customers = { customer };
    return intent;
}

TEST(EqualSliceTest, PartsAddUpToTheLimit)
{
    const auto intent = std::make_shared<const Intent>(twoDataCentres());
    uint32_t concurrency = 0;
    double rate = 0;
    for (const char *dataCentre : { "a", "b" }) {
        const std::vector<PeerRoute> peers{ { VmId("1"), {} },
                                            { VmId("2"), {} },
                                            { VmId("3"), {} } };
        const auto view = buildRoutingView(intent, DataCentreId(dataCentre), peers, {});
        for (const PeerRoute &peer : peers) {
            const LimitSlice slice = equalLimitSlice(intent->m_customers[0], *view, peer.m_id);
            concurrency += *slice.m_concurrency;
            rate += *slice.m_tokensPerSecond;
        }
    }
    EXPECT_EQ(concurrency, 11u);
    EXPECT_NEAR(rate, 100, 1e-9);
}

} // namespace
} // namespace stackquay
