#include "policy/retry.h"

#include <algorithm>
#include <cmath>

namespace stackquay {

namespace {

constexpr uint32_t MaxDoublings = 20; ///< Of the backoff; keeps the shift within 64 bits.

/// Applies the decay of the balance above m_decayFloor since the last update.
void decay(const RetrySettings &settings, RetryBalance &balance, TimePoint now)
{
    const Duration passed = now - balance.m_updated;
    balance.m_updated = std::max(balance.m_updated, now);
    const double decaying = balance.m_units - settings.m_decayFloor;
    if (passed <= Duration{} || decaying <= 0)
        return;
    const double halfLives =
        std::chrono::duration<double>(passed) / std::chrono::duration<double>(settings.m_halfLife);
    balance.m_units = settings.m_decayFloor + decaying * std::exp2(-halfLives);
}

void credit(const RetrySettings &settings, RetryBalance &balance, double units, TimePoint now)
{
    decay(settings, balance, now);
    balance.m_units = std::min(balance.m_units + units, settings.m_capacity);
}

void creditBoth(RetryBudgets &budgets, const CustomerId &customer, double units, TimePoint now)
{
    credit(budgets.m_settings, budgets.m_node, units, now);
    credit(budgets.m_settings, budgets.m_customers[customer], units, now);
}

} // namespace

void countAdmission(RetryBudgets &budgets, const CustomerId &customer, TimePoint now)
{
    creditBoth(budgets, customer, budgets.m_settings.m_unitsPerAdmission, now);
}

void countSuccess(RetryBudgets &budgets, const CustomerId &customer, TimePoint now)
{
    creditBoth(budgets, customer, budgets.m_settings.m_unitsPerSuccess, now);
}

bool withdrawRetry(RetryBudgets &budgets, const CustomerId &customer, TimePoint now)
{
    RetryBalance &own = budgets.m_customers[customer];
    decay(budgets.m_settings, own, now);
    decay(budgets.m_settings, budgets.m_node, now);
    if (own.m_units < 1 || budgets.m_node.m_units < 1)
        return false;
    own.m_units -= 1;
    budgets.m_node.m_units -= 1;
    return true;
}

Duration retryBackoff(const RetrySettings &settings, uint32_t attemptsMade, RandomEngine &random)
{
    const uint32_t doublings = std::min(attemptsMade > 0 ? attemptsMade - 1 : 0, MaxDoublings);
    const Duration grown = settings.m_backoffBase * (int64_t{ 1 } << doublings);
    const Duration longest = std::min(grown, settings.m_backoffCap);
    std::uniform_int_distribution<Duration::rep> wait(0,
                                                      std::max<Duration::rep>(longest.count(), 0));
    return Duration(wait(random));
}

RetryDecision decideRetry(RetryBudgets &budgets, const RetryQuery &query, TimePoint now)
{
    if (query.m_outcome == Outcome::Complete)
        return RetryDecision::NotNeeded;
    if (!query.m_repeatable && (query.m_anyByteSent || query.m_lastByteSent))
        return RetryDecision::NotRepeatable;
    if (query.m_attemptsMade >= budgets.m_settings.m_maxAttempts)
        return RetryDecision::AttemptsUsedUp;
    if (now + query.m_backoff + query.m_needed >= query.m_deadline)
        return RetryDecision::NoTime;
    if (query.m_lastByteSent && !withdrawRetry(budgets, query.m_customer, now))
        return RetryDecision::BudgetUsedUp;
    return RetryDecision::Retry;
}

std::string_view retryDecisionName(RetryDecision decision)
{
    switch (decision) {
    case RetryDecision::Retry:
        return "retry";
    case RetryDecision::NotNeeded:
        return "not_needed";
    case RetryDecision::NotRepeatable:
        return "not_repeatable";
    case RetryDecision::AttemptsUsedUp:
        return "attempts_used_up";
    case RetryDecision::NoTime:
        return "no_time";
    case RetryDecision::BudgetUsedUp:
        return "budget_used_up";
    }
    return "unknown";
}

} // namespace stackquay
