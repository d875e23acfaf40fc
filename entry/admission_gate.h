/// Enforces the customers' rate and concurrency limits and their retry budgets on this VM. Shared
/// by all traffic threads; each call locks a mutex.
#pragma once

#include <mutex>
#include <unordered_map>

#include "entry/routing_view.h"

namespace stackquay {

class AdmissionGate
{
public:
    /// Sets the slice of a customer's limits that this VM may use.
    void setSlice(const CustomerId &customer, const LimitSlice &slice, TimePoint now);
    /// Admits a request that may use up to @p tokens. Returns nothing if it was admitted, otherwise
    /// the refusal. Each admitted request must be passed to finish().
    std::optional<Refusal> admit(const CustomerId &customer, double tokens, TimePoint now);
    /// Ends an admitted request and credits the tokens that it did not use. A @p complete request
    /// also adds to the customer's retry budget.
    void finish(const CustomerId &customer, double admittedTokens, double usedTokens, bool complete,
                TimePoint now);
    /// Decides whether a request may be retried, and charges a granted retry to the budget.
    RetryDecision mayRetry(const RetryQuery &question, TimePoint now);
    /// Delay before the next attempt, with jitter from @p random.
    Duration backoff(uint32_t attemptsMade, RandomEngine &random) const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<CustomerId, CustomerUse> m_customers;
    RetryBudgets m_retries;
};

/// Slice of @p customer's limits for the VM @p self if they are split equally over the data
/// centres, and within each over its VMs. The slices of all VMs add up to no more than the limits.
/// Members of unlimited kinds stay empty.
LimitSlice equalLimitSlice(const Customer &customer, const RoutingView &view, const VmId &self);

} // namespace stackquay
