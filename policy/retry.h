/// Retries: whether a failed attempt may be followed by another, how many retries a customer may
/// cause on one node, and how long to wait before each.
///
/// A retry after an attempt that reached an endpoint costs one unit of a budget. Successful
/// requests and, as a minimum, all admitted requests each credit a fraction of a unit, so that
/// retries cannot multiply the load during a total outage. A retry after an attempt that sent no
/// byte is free, as that attempt put no load on an endpoint; only the number of attempts limits it.
#pragma once

#include <unordered_map>

#include "core/core.h"
#include "policy/outcome.h"

namespace stackquay {

struct RetrySettings {
    double m_unitsPerSuccess = 0.1; ///< Units credited by each request that completes.
    double m_unitsPerAdmission =
        0.05; ///< Units credited by each admitted request, whatever its outcome.
    double m_capacity = 20; ///< Max balance, in units.
    double m_decayFloor = 1; ///< The balance above this decays, in units.
    Duration m_halfLife =
        Seconds(3); ///< Of the decay, which limits the burst when an outage starts.
    uint32_t m_maxAttempts = 3; ///< For one request, including the first.
    Duration m_backoffBase = Millis(50); ///< Max wait before the first retry.
    Duration m_backoffCap = Seconds(2); ///< Max wait before any retry.
};

/// Balance of a retry budget, a token bucket whose content decays.
struct RetryBalance {
    double m_units = 0;
    TimePoint m_updated{}; ///< Up to when the decay has been applied.
};

/// All retry budgets of one node: one for each customer, and one for the whole node.
struct RetryBudgets {
    RetrySettings m_settings;
    RetryBalance m_node;
    std::unordered_map<CustomerId, RetryBalance> m_customers;
};

/// Credits both budgets for an admitted request of @p customer.
void countAdmission(RetryBudgets &budgets, const CustomerId &customer, TimePoint now);

/// Credits both budgets for a completed request of @p customer.
void countSuccess(RetryBudgets &budgets, const CustomerId &customer, TimePoint now);

/// Withdraws one unit from both the customer's and the node's budget. Returns false and withdraws
/// nothing if either balance is below one unit.
bool withdrawRetry(RetryBudgets &budgets, const CustomerId &customer, TimePoint now);

/// Exponential backoff with full jitter: a random wait between zero and a limit, which is the base
/// for the first retry and doubles with each further attempt, up to the cap.
Duration retryBackoff(const RetrySettings &settings, uint32_t attemptsMade, RandomEngine &random);

/// A failed attempt of a request, and what another attempt would need.
struct RetryQuery {
    CustomerId m_customer;
    Outcome m_outcome = Outcome::FailedMayHaveRun; ///< Of the last attempt.
    bool m_repeatable = true; ///< Whether the request may run more than once.
    bool m_anyByteSent = true; ///< Whether any attempt of this request sent a byte.
    bool m_lastByteSent = true; ///< Whether the last attempt sent a byte.
    uint32_t m_attemptsMade = 1; ///< Including the first.
    TimePoint m_deadline{};
    Duration m_backoff{}; ///< Wait before the next attempt.
    Duration m_needed{}; ///< Predicted time of the next attempt; zero if not known.
};

enum class RetryDecision {
    Retry,
    NotNeeded, ///< The request is complete.
    NotRepeatable, ///< A byte of a non-repeatable request was sent.
    AttemptsUsedUp,
    NoTime, ///< Another attempt would end after the deadline.
    BudgetUsedUp,
};

/// Decides whether to make another attempt. Withdraws a unit from the budgets only if the result is
/// Retry and the last attempt sent a byte.
RetryDecision decideRetry(RetryBudgets &budgets, const RetryQuery &query, TimePoint now);

/// Name of a decision in logs, such as "no_time".
std::string_view retryDecisionName(RetryDecision decision);

} // namespace stackquay
