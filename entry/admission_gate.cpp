#include "entry/admission_gate.h"

#include <algorithm>

namespace stackquay {

namespace {

/// Index of @p self in the sorted names, and the number of names. A name that is not listed is
/// counted as one more after the last.
template<typename Name>
std::pair<size_t, size_t> positionOf(std::vector<Name> names, const Name &self)
{
    std::sort(names.begin(), names.end());
    const auto found = std::find(names.begin(), names.end(), self);
    if (found == names.end())
        return { names.size(), names.size() + 1 };
    return { static_cast<size_t>(found - names.begin()), names.size() };
}

/// Share of @p total for the holder at @p position of @p count. The remainder of the division goes
/// to the first holders, one unit each.
uint32_t integerShare(uint32_t total, size_t position, size_t count)
{
    const auto parts = static_cast<uint32_t>(count);
    return total / parts + (position < total % parts ? 1 : 0);
}

} // namespace

void AdmissionGate::setSlice(const CustomerId &customer, const LimitSlice &slice, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    stackquay::setSlice(m_customers[customer], slice, now);
}

std::optional<Refusal> AdmissionGate::admit(const CustomerId &customer, double tokens,
                                            TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    auto refusal = admitRequest(m_customers[customer], tokens, now);
    if (!refusal)
        countAdmission(m_retries, customer, now);
    return refusal;
}

void AdmissionGate::finish(const CustomerId &customer, double admittedTokens, double usedTokens,
                           bool complete, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    finishRequest(m_customers[customer], admittedTokens, usedTokens, now);
    if (complete)
        countSuccess(m_retries, customer, now);
}

RetryDecision AdmissionGate::mayRetry(const RetryQuery &question, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    return stackquay::decideRetry(m_retries, question, now);
}

Duration AdmissionGate::backoff(uint32_t attemptsMade, RandomEngine &random) const
{
    return retryBackoff(m_retries.m_settings, attemptsMade, random);
}

LimitSlice equalLimitSlice(const Customer &customer, const RoutingView &view, const VmId &self)
{
    std::vector<DataCentreId> dataCentres;
    for (const DataCentre &dataCentre : view.m_intent->m_dataCentres)
        dataCentres.push_back(dataCentre.m_id);
    std::vector<VmId> vms;
    for (const PeerRoute &peer : view.m_peers)
        vms.push_back(peer.m_id);
    const auto [centre, centres] = positionOf(std::move(dataCentres), view.m_dataCentre);
    const auto [vm, count] = positionOf(std::move(vms), self);
    LimitSlice slice;
    if (customer.m_tokensPerSecond > 0)
        slice.m_tokensPerSecond = customer.m_tokensPerSecond / static_cast<double>(centres * count);
    if (customer.m_concurrency > 0)
        slice.m_concurrency =
            integerShare(integerShare(customer.m_concurrency, centre, centres), vm, count);
    return slice;
}

} // namespace stackquay
