#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start{ Seconds(1'000) };
const CustomerId Carrick{ "carrick" };

RetryQuery query()
{
    RetryQuery result;
    result.m_customer = Carrick;
    result.m_deadline = Start + Seconds(30);
    return result;
}

RetryBudgets filledBudgets()
{
    RetryBudgets budgets;
    for (int i = 0; i < 100; ++i)
        countSuccess(budgets, Carrick, Start);
    return budgets;
}

TEST(Retry, RulesInOrder)
{
    RetryBudgets budgets = filledBudgets();
    EXPECT_EQ(decideRetry(budgets, query(), Start), RetryDecision::Retry);

    RetryQuery complete = query();
    complete.m_outcome = Outcome::Complete;
    EXPECT_EQ(decideRetry(budgets, complete, Start), RetryDecision::NotNeeded);

    RetryQuery late = query();
    late.m_backoff = Seconds(2);
    EXPECT_EQ(decideRetry(budgets, late, Start + Seconds(28)), RetryDecision::NoTime);
    EXPECT_EQ(decideRetry(budgets, late, Start + Seconds(27)), RetryDecision::Retry);
    late.m_needed = Seconds(1);
    EXPECT_EQ(decideRetry(budgets, late, Start + Seconds(27)), RetryDecision::NoTime);

    RetryQuery often = query();
    often.m_attemptsMade = budgets.m_settings.m_maxAttempts;
    EXPECT_EQ(decideRetry(budgets, often, Start), RetryDecision::AttemptsUsedUp);

    budgets = {};
    EXPECT_EQ(decideRetry(budgets, query(), Start), RetryDecision::BudgetUsedUp);
}

TEST(Retry, NonRepeatableIsNotRetriedAfterAByteWasSent)
{
    RetryBudgets budgets = filledBudgets();
    RetryQuery once = query();
    once.m_repeatable = false;
    for (const Outcome outcome : { Outcome::RefusedNotRun, Outcome::FailedMayHaveRun }) {
        once.m_outcome = outcome;
        once.m_lastByteSent = true;
        once.m_anyByteSent = true;
        EXPECT_EQ(decideRetry(budgets, once, Start), RetryDecision::NotRepeatable);
        once.m_lastByteSent = false;
        EXPECT_EQ(decideRetry(budgets, once, Start), RetryDecision::NotRepeatable);
        once.m_anyByteSent = false;
        EXPECT_EQ(decideRetry(budgets, once, Start), RetryDecision::Retry);
    }
}

TEST(Retry, UnsentAttemptsCostNoBudget)
{
    RetryBudgets budgets;
    RetryQuery unsent = query();
    unsent.m_anyByteSent = false;
    unsent.m_lastByteSent = false;
    EXPECT_EQ(decideRetry(budgets, unsent, Start), RetryDecision::Retry);
    unsent.m_attemptsMade = 3;
    EXPECT_EQ(decideRetry(budgets, unsent, Start), RetryDecision::AttemptsUsedUp);
}

TEST(Retry, BalanceDecaysToItsFloor)
{
    RetryBudgets budgets = filledBudgets();
    EXPECT_NEAR(budgets.m_node.m_units, 10, 1e-9);
    const TimePoint later = Start + Seconds(3'600);
    EXPECT_TRUE(withdrawRetry(budgets, Carrick, later));
    EXPECT_FALSE(withdrawRetry(budgets, Carrick, later));
}

TEST(Retry, BackoffIsUniformUpToItsCap)
{
    const RetrySettings settings;
    RandomEngine random(7);
    Duration sum{};
    constexpr int Draws = 4'000;
    for (int i = 0; i < Draws; ++i) {
        const Duration wait = retryBackoff(settings, 2, random);
        EXPECT_GE(wait, Duration{});
        EXPECT_LE(wait, Millis(100));
        sum += wait;
    }
    EXPECT_NEAR(std::chrono::duration<double>(sum / Draws).count(), 0.05, 0.003);
    for (int i = 0; i < 100; ++i)
        EXPECT_LE(retryBackoff(settings, 1'000, random), settings.m_backoffCap);
}

struct OutageResult {
    int m_admitted = 0;
    int m_reached = 0; ///< Attempts that sent a byte.
};

/// Simulates requests of ten customers on one node; all attempts fail.
OutageResult runOutage(RetryBudgets &budgets, TimePoint now, int requests, RandomEngine &random,
                       double unsentFraction)
{
    OutageResult result;
    std::uniform_real_distribution<double> uniform(0, 1);
    for (int i = 0; i < requests; ++i) {
        now += Millis(static_cast<int>(uniform(random) * 110));
        const CustomerId customer{ std::to_string(random() % 10) };
        countAdmission(budgets, customer, now);
        result.m_admitted += 1;
        RetryQuery failed;
        failed.m_customer = customer;
        failed.m_deadline = now + Seconds(30);
        failed.m_anyByteSent = false;
        for (failed.m_attemptsMade = 1;; ++failed.m_attemptsMade) {
            failed.m_lastByteSent = uniform(random) >= unsentFraction;
            failed.m_anyByteSent = failed.m_anyByteSent || failed.m_lastByteSent;
            result.m_reached += failed.m_lastByteSent ? 1 : 0;
            if (decideRetry(budgets, failed, now) != RetryDecision::Retry)
                break;
        }
    }
    return result;
}

TEST(Retry, RetriesAddLessThanAFifthInAnOutageFromAColdStart)
{
    for (uint64_t seed = 0; seed < 200; ++seed) {
        RandomEngine random(seed);
        RetryBudgets budgets;
        const int requests = 1 + static_cast<int>(random() % 2'000);
        const OutageResult result = runOutage(budgets, Start, requests, random, (seed % 4) * 0.25);
        ASSERT_LT(result.m_reached, 1.2 * result.m_admitted) << "seed " << seed;
    }
}

TEST(Retry, RetriesAddLessThanAFifthInAnOutageAfterHealthyTraffic)
{
    for (uint64_t seed = 0; seed < 100; ++seed) {
        RandomEngine random(seed);
        RetryBudgets budgets;
        TimePoint now = Start;
        for (int i = 0; i < 2'000; ++i) {
            now += Millis(55);
            const CustomerId customer{ std::to_string(random() % 10) };
            countAdmission(budgets, customer, now);
            countSuccess(budgets, customer, now);
        }
        const OutageResult result = runOutage(budgets, now, 180, random, 0);
        ASSERT_LT(result.m_reached, 1.2 * result.m_admitted) << "seed " << seed;
    }
}

TEST(Retry, OneFailureInTenIsRetried)
{
    RandomEngine random(5);
    RetryBudgets budgets;
    int failures = 0;
    int retried = 0;
    TimePoint now = Start;
    for (int i = 0; i < 10'000; ++i) {
        now += Millis(55);
        countAdmission(budgets, Carrick, now);
        if (random() % 10 != 0) {
            countSuccess(budgets, Carrick, now);
            continue;
        }
        failures += 1;
        RetryQuery failed = query();
        failed.m_deadline = now + Seconds(30);
        if (decideRetry(budgets, failed, now) == RetryDecision::Retry) {
            retried += 1;
            countSuccess(budgets, Carrick, now);
        }
    }
    EXPECT_GT(retried, failures * 9 / 10);
}

} // namespace
} // namespace stackquay
