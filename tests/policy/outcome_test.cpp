#include <array>
#include <set>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "policy/policy.h"

namespace stackquay {
namespace {

constexpr std::array<EndpointReply, 4> AllReplies = { EndpointReply::Nothing, EndpointReply::NotRun,
                                                      EndpointReply::Partial,
                                                      EndpointReply::Whole };

TEST(Outcome, NotRunOnlyIfNothingWasSentOrTheEndpointSaysSo)
{
    for (const size_t bytes : { size_t{ 0 }, size_t{ 1 }, size_t{ 100'000 } }) {
        for (const EndpointReply reply : AllReplies) {
            for (const bool ours : { false, true }) {
                const Outcome outcome = attemptOutcome({ bytes, reply, ours });
                const bool saidNotRun = ours && reply == EndpointReply::NotRun;
                EXPECT_EQ(outcome == Outcome::RefusedNotRun, bytes == 0 || saidNotRun);
                EXPECT_EQ(outcome == Outcome::Complete,
                          bytes > 0 && ours && reply == EndpointReply::Whole);
            }
        }
    }
}

TEST(Outcome, NotRunRequiresThatNoAttemptMayHaveRun)
{
    const AttemptFacts refused{ 10, EndpointReply::NotRun, true };
    const AttemptFacts inconclusive{ 10, EndpointReply::Nothing, false };
    const AttemptFacts complete{ 10, EndpointReply::Whole, true };
    EXPECT_EQ(requestOutcome({}), Outcome::RefusedNotRun);
    EXPECT_EQ(requestOutcome(std::array{ refused, refused }), Outcome::RefusedNotRun);
    EXPECT_EQ(requestOutcome(std::array{ inconclusive, refused }), Outcome::FailedMayHaveRun);
    EXPECT_EQ(requestOutcome(std::array{ inconclusive, complete }), Outcome::Complete);
}

// If it were zero for a request that may have run, "not run" would be promised.
TEST(Outcome, PossibleRunsAreThoseOfAttemptsThatMayHaveRun)
{
    const AttemptFacts unsent{};
    const AttemptFacts refused{ 10, EndpointReply::NotRun, true };
    const AttemptFacts late{ 10, EndpointReply::NotRun, false };
    const AttemptFacts forwarded{ 10, EndpointReply::Nothing, false, 3 };
    EXPECT_EQ(countPossibleRuns({}), 0u);
    EXPECT_EQ(countPossibleRuns(std::array{ unsent, refused }), 0u);
    EXPECT_EQ(countPossibleRuns(std::array{ refused, late }), 1u);
    EXPECT_EQ(countPossibleRuns(std::array{ late, forwarded, refused }), 4u);
}

TEST(Outcome, ErrorsHaveUniqueCodesAndAnErrorStatus)
{
    std::set<std::string_view> codes;
    for (size_t i = 0; i < static_cast<size_t>(RequestError::Count); ++i) {
        const RequestErrorInfo &info = requestErrorInfo(static_cast<RequestError>(i));
        EXPECT_TRUE(codes.insert(info.m_code).second) << info.m_code;
        EXPECT_GE(info.m_status, 400U);
        EXPECT_FALSE(info.m_type.empty());
    }
    EXPECT_EQ(requestErrorInfo(RequestError::RateLimited).m_status, 429U);
    EXPECT_EQ(requestErrorInfo(RequestError::QueueFull).m_status, 503U);
    EXPECT_EQ(requestErrorInfo(RequestError::DeadlineExceeded).m_status, 504U);
    EXPECT_EQ(requestErrorInfo(RequestError::PromptTooLong).m_status, 413U);
    EXPECT_EQ(requestErrorInfo(RequestError::Internal).m_code, "internal_error");
}

TEST(Outcome, BodyAndRetryAfterHeaderAgree)
{
    Refusal refusal{ RequestError::QueueFull, Outcome::RefusedNotRun, "full \xff", Millis(1'200) };
    EXPECT_EQ(retryAfterHeader(refusal), Seconds(2));
    auto body = nlohmann::json::parse(errorBody(refusal));
    EXPECT_EQ(body["error"]["code"], "queue_full");
    EXPECT_EQ(body["error"]["outcome"], "not-run");
    EXPECT_EQ(body["error"]["retry_after_ms"], 1'200);

    refusal.m_error = RequestError::PromptTooLong;
    EXPECT_EQ(retryAfterHeader(refusal), Seconds(0));
    body = nlohmann::json::parse(errorBody(refusal));
    EXPECT_FALSE(body["error"].contains("retry_after_ms"));
}

} // namespace
} // namespace stackquay
