#include "policy/admission_order.h"

#include <algorithm>
#include <numeric>

namespace stackquay {

namespace {

/// Upper bound of one report. Reports come from other VMs, and the sums must not overflow.
constexpr double MaxReportMs = 3'600'000;
constexpr double MicrosPerMilli = 1'000;

} // namespace

void CustomerUsage::record(uint64_t customer, double engineMs, TimePoint now)
{
    // The negated comparison also excludes values that are not numbers.
    if (!(engineMs > 0))
        return;
    const int64_t bucket = now.time_since_epoch() / BucketTime;
    advance(bucket);
    if (bucket <= m_bucket - static_cast<int64_t>(Buckets) || bucket < 0)
        return;
    const auto use = static_cast<uint64_t>(std::min(engineMs, MaxReportMs) * MicrosPerMilli);
    if (use == 0 || (m_customers.size() >= MaxUsageCustomers && m_customers.count(customer) == 0))
        return;
    const auto index = static_cast<size_t>(bucket) % Buckets;
    m_customers[customer].at(index) += use;
    m_total.at(index) += use;
}

double CustomerUsage::ratio(uint64_t customer, TimePoint now)
{
    advance(now.time_since_epoch() / BucketTime);
    const auto found = m_customers.find(customer);
    if (found == m_customers.end())
        return 0;
    const auto sum = [](const BucketUse &use) {
        return static_cast<double>(std::accumulate(use.begin(), use.end(), uint64_t{ 0 }));
    };
    return sum(found->second) * static_cast<double>(m_customers.size()) / sum(m_total);
}

void CustomerUsage::advance(int64_t bucket)
{
    if (bucket <= m_bucket)
        return;
    const int64_t passed = std::min<int64_t>(bucket - m_bucket, Buckets);
    m_bucket = bucket;
    const auto drop = [bucket, passed](BucketUse &use) {
        for (int64_t i = 0; i < passed; ++i)
            use.at(static_cast<size_t>(bucket - i) % Buckets) = 0;
    };
    drop(m_total);
    for (auto &[customer, use] : m_customers)
        drop(use);
    std::erase_if(m_customers, [](const auto &entry) {
        return std::all_of(entry.second.begin(), entry.second.end(),
                           [](uint64_t use) { return use == 0; });
    });
}

Duration orderDelay(const AdmissionPolicy &policy, const OrderQuery &query)
{
    Duration delay{};
    const uint32_t rank = std::min(query.m_rank, LowestRank);
    if (policy.m_ranked && rank > query.m_mostUrgentRank)
        delay += std::chrono::duration_cast<Duration>(FloatMillis(query.m_longestLatencyTarget)
                                                      * RankDelayShare
                                                      * (rank - query.m_mostUrgentRank));
    if (policy.m_sharesByCustomer && query.m_usageRatio > 1) {
        const double targets = std::min(query.m_usageRatio - 1, MaxCustomerDelay);
        delay += std::chrono::duration_cast<Duration>(FloatMillis(query.m_latencyTarget) * targets);
    }
    return delay;
}

void applyOrderDelay(QueuedRequest &queued, Duration delay)
{
    queued.m_orderLead -= delay;
}

} // namespace stackquay
