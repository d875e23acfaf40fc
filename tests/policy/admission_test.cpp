#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start{ Seconds(1'000) };

TEST(Admission, NoValueInTheSliceMeansNoLimit)
{
    CustomerUse use;
    for (int i = 0; i < 1'000; ++i)
        EXPECT_FALSE(admitRequest(use, 1e6, Start));
    EXPECT_EQ(use.m_inProgress, 1'000U);
}

TEST(Admission, FinishedRequestsFreeConcurrency)
{
    CustomerUse use;
    setSlice(use, { std::nullopt, 2 }, Start);
    EXPECT_FALSE(admitRequest(use, 10, Start));
    EXPECT_FALSE(admitRequest(use, 10, Start));
    const auto refusal = admitRequest(use, 10, Start);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->m_error, RequestError::ConcurrencyLimited);
    EXPECT_EQ(refusal->m_outcome, Outcome::RefusedNotRun);
    EXPECT_GT(refusal->m_retryAfter, Duration{});
    finishRequest(use, 10, 10, Start);
    EXPECT_FALSE(admitRequest(use, 10, Start));
}

TEST(Admission, SmallerSliceStopsNewRequestsOnly)
{
    CustomerUse use;
    setSlice(use, { std::nullopt, 3 }, Start);
    for (int i = 0; i < 3; ++i)
        EXPECT_FALSE(admitRequest(use, 1, Start));
    setSlice(use, { std::nullopt, 1 }, Start);
    EXPECT_EQ(use.m_inProgress, 3U);
    finishRequest(use, 1, 1, Start);
    finishRequest(use, 1, 1, Start);
    EXPECT_TRUE(admitRequest(use, 1, Start));
    finishRequest(use, 1, 1, Start);
    EXPECT_FALSE(admitRequest(use, 1, Start));
    setSlice(use, { std::nullopt, 0 }, Start);
    finishRequest(use, 1, 1, Start);
    EXPECT_TRUE(admitRequest(use, 1, Start));
}

TEST(Admission, RateHoldsInTheLongRun)
{
    RandomEngine random(11);
    CustomerUse use;
    constexpr double Rate = 5'000;
    setSlice(use, { Rate, std::nullopt }, Start);
    TimePoint now = Start;
    double admitted = 0;
    for (int i = 0; i < 20'000; ++i) {
        now += Millis(random() % 100);
        const double tokens = random() % 50 == 0 ? 200'000 : static_cast<double>(random() % 2'000);
        if (admitRequest(use, tokens, now))
            continue;
        admitted += tokens;
        finishRequest(use, tokens, tokens, now);
    }
    const double seconds = std::chrono::duration<double>(now - Start).count();
    EXPECT_LE(admitted, Rate * seconds + 200'000);
    EXPECT_GE(admitted, 0.95 * Rate * seconds);
}

TEST(Admission, RetryAfterIsWhenTheBalanceIsNoLongerNegative)
{
    CustomerUse use;
    setSlice(use, { 100.0, std::nullopt }, Start);
    EXPECT_FALSE(admitRequest(use, 500, Start));
    const auto refusal = admitRequest(use, 1, Start);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->m_error, RequestError::RateLimited);
    EXPECT_EQ(refusal->m_retryAfter, Seconds(5));
    EXPECT_TRUE(admitRequest(use, 1, Start + Millis(4'900)));
    EXPECT_FALSE(admitRequest(use, 1, Start + refusal->m_retryAfter));
}

TEST(Admission, UnusedTokensAreRefunded)
{
    CustomerUse use;
    setSlice(use, { 100.0, std::nullopt }, Start);
    EXPECT_FALSE(admitRequest(use, 500, Start));
    finishRequest(use, 500, 0, Start);
    EXPECT_FALSE(admitRequest(use, 1, Start));
}

TEST(Admission, FirstSliceStartsWithAnEmptyBucket)
{
    CustomerUse use;
    setSlice(use, { 100.0, std::nullopt }, Start);
    EXPECT_FALSE(admitRequest(use, 1, Start));
    EXPECT_TRUE(admitRequest(use, 1, Start));
}

} // namespace
} // namespace stackquay
