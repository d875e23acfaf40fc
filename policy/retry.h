/// Retries: when a failed attempt may be followed by another, how many a customer may cause on one
/// node, and how long to wait before each.
///
/// A retry after an attempt that reached an endpoint costs one unit of a budget. The budget is paid
/// in by successes and, as a floor, by a small fraction of all admitted requests, so that a total
/// outage cannot be multiplied. A retry after an attempt of which no byte was sent is free, as it
/// adds no load to an endpoint; the number of attempts alone bounds it.
#pragma once

#include <unordered_map>

#include "core/core.h"
#include "policy/outcome.h"

namespace stackquay {

struct RetrySettings {
    double m_perSuccess = 0.1; ///< Paid in by each request that completes.
    double m_perAdmission = 0.05; ///< Paid in by each admitted request, whatever becomes of it.
    double m_capacity = 20; ///< Largest balance.
    double m_keptBalance = 1; ///< The part of a balance that does not decay.
    Duration m_halfLife = Seconds(3); ///< Of the rest; limits the burst when an outage begins.
    uint32_t m_maxAttempts = 3; ///< For one request, the first one included.
    Duration m_backoffBase = Millis(50);
    Duration m_backoffCap = Seconds(2);
};

/// A token bucket that decays.
struct RetryBalance {
    double m_units = 0;
    TimePoint m_updated{};
};

/// All retry budgets of one node: one for each customer, and one for them together.
struct RetryBudgets {
    RetrySettings m_settings;
    RetryBalance m_node;
    std::unordered_map<CustomerId, RetryBalance> m_customers;
};

/// A request of @p customer was admitted.
void countAdmission(RetryBudgets &budgets, const CustomerId &customer, TimePoint now);

/// A request of @p customer completed.
void countSuccess(RetryBudgets &budgets, const CustomerId &customer, TimePoint now);

/// Takes one unit from both of the customer's and the node's budget; false, and nothing taken, if
/// either has less.
bool withdrawRetry(RetryBudgets &budgets, const CustomerId &customer, TimePoint now);

/// Full jitter: uniform between zero and the base doubled for each attempt made, up to the cap.
Duration retryBackoff(const RetrySettings &settings, uint32_t attemptsMade, RandomEngine &random);

/// A failed attempt, and what the request would need for another.
struct RetryQuestion {
    CustomerId m_customer;
    Outcome m_outcome = Outcome::FailedMayHaveRun; ///< Of the last attempt.
    bool m_repeatable = true;
    bool m_anyByteSent = true; ///< In any attempt of this request so far.
    bool m_lastByteSent = true; ///< In the last attempt.
    uint32_t m_attemptsMade = 1;
    TimePoint m_deadline{};
    Duration m_backoff{}; ///< Wait before the next attempt.
    Duration m_needed{}; ///< Predicted time of the next attempt; zero if not known.
};

enum class RetryDecision {
    Retry,
    NotNeeded, ///< The request is complete.
    NotRepeatable, ///< A byte of a non-repeatable request was sent.
    AttemptsUsedUp,
    NoTime, ///< The deadline would pass.
    BudgetUsedUp,
};

/// Decides on another attempt. A unit of budget is taken only if the answer is Retry and the last
/// attempt sent a byte.
RetryDecision mayRetry(RetryBudgets &budgets, const RetryQuestion &question, TimePoint now);

std::string_view retryDecisionName(RetryDecision decision);

} // namespace stackquay
