#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start{ Seconds(1'000) };

TEST(Deadline, HeaderMustBeWholeMilliseconds)
{
    EXPECT_EQ(parseDeadline("2500").value(), Millis(2'500));
    for (const char *bad : { "", "0", "-5", "1.5", "10s", " 10", "99999999999999999999" })
        EXPECT_FALSE(parseDeadline(bad)) << bad;
}

TEST(Deadline, CallersDeadlineOverridesTheClassDefaultAndIsBounded)
{
    const DeadlineSettings settings;
    EXPECT_EQ(requestDeadline(settings, std::nullopt, LengthClass::Short, Start),
              Start + settings.m_defaultByClass.front());
    EXPECT_EQ(requestDeadline(settings, std::nullopt, LengthClass::VeryLong, Start),
              Start + settings.m_defaultByClass.back());
    EXPECT_EQ(requestDeadline(settings, Millis(700), LengthClass::VeryLong, Start),
              Start + Millis(700));
    EXPECT_EQ(requestDeadline(settings, Millis::max(), LengthClass::Short, Start),
              Start + settings.m_maxTimeout);
}

TEST(Deadline, RefusesRequestsThatCannotMeetIt)
{
    DeadlineSettings settings;
    settings.m_safetyFactor = 1;
    RandomEngine random(1);
    const TimePoint deadline = Start + Seconds(10);
    EXPECT_FALSE(
        refuseIfDeadlineUnmeetable(settings, deadline, { Seconds(6), Seconds(4) }, Start, random));
    const auto refusal =
        refuseIfDeadlineUnmeetable(settings, deadline, { Seconds(7), Seconds(4) }, Start, random);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->m_error, RequestError::DeadlineUnmeetable);
    EXPECT_EQ(refusal->m_outcome, Outcome::RefusedNotRun);
    EXPECT_GE(refusal->m_retryAfter, Seconds(1));
    EXPECT_LE(refusal->m_retryAfter, Seconds(2));
    EXPECT_TRUE(refuseIfDeadlineUnmeetable(settings, deadline, {}, deadline, random));
    EXPECT_EQ(timeLeft(deadline, deadline + Seconds(1)), Duration{});
}

TEST(Deadline, NoRetryAfterIfTheRunAloneIsTooLong)
{
    RandomEngine random(1);
    const auto refusal = refuseIfDeadlineUnmeetable({}, Start + Seconds(10),
                                                    { Seconds(0), Seconds(60) }, Start, random);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->m_retryAfter, Duration{});
}

TEST(Deadline, PredictionsAreCorrectedByActualWaits)
{
    WaitCorrection correction;
    for (int i = 0; i < 200; ++i)
        updateWaitCorrection(correction, Seconds(2), Seconds(6));
    EXPECT_NEAR(correction.m_factor, 3, 0.01);
    EXPECT_GT(correctedWait(correction, Seconds(2)), Millis(5'900));
    for (int i = 0; i < 500; ++i)
        updateWaitCorrection(correction, Seconds(2), Seconds(1));
    EXPECT_EQ(correctedWait(correction, Seconds(2)), Seconds(2));
}

TEST(Deadline, RetryAfterIsJittered)
{
    const DeadlineSettings settings;
    RandomEngine random(3);
    Duration least = Seconds(100);
    Duration most{};
    for (int i = 0; i < 1'000; ++i) {
        const Duration advice = jitteredRetryAfter(settings, Seconds(10), random);
        least = std::min(least, advice);
        most = std::max(most, advice);
    }
    EXPECT_GE(least, Seconds(10));
    EXPECT_LE(most, Seconds(20));
    EXPECT_GT(most - least, Seconds(9));
}

} // namespace
} // namespace stackquay
