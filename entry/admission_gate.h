/// Customers' limits and retry budgets of this VM, shared by its traffic threads.
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
    /// Admits a request of @p tokens, or says why not. An admitted one is given back by finish().
    std::optional<Refusal> admit(const CustomerId &customer, double tokens, TimePoint now);
    void finish(const CustomerId &customer, double admittedTokens, double usedTokens, bool complete,
                TimePoint now);
    RetryDecision mayRetry(const RetryQuestion &question, TimePoint now);
    Duration backoff(uint32_t attemptsMade, RandomEngine &random) const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<CustomerId, CustomerUse> m_customers;
    RetryBudgets m_retries;
};

/// This VM's part when a customer's limits are split equally over data centres and their VMs.
/// The parts of all VMs add up to no more than the limits.
LimitSlice equalSlice(const Customer &customer, const RoutingView &view, const VmId &self);

} // namespace stackquay
