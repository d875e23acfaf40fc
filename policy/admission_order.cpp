#include "policy/admission_order.h"

#include <algorithm>
#include <numeric>

#include "policy/route_table.h"

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

double precedence(const OrderQuery &query)
{
    const auto moreUrgent =
        std::count_if(query.m_ranks.begin(), query.m_ranks.end(), [&query](uint32_t rank) {
            return rank < std::min(query.m_rank, LowestRank);
        });
    // A request of an earlier configuration may have a rank that is not among them.
    const auto ranks = std::max(static_cast<double>(query.m_ranks.size()), 1.0);
    const double byRank = std::max(ranks - static_cast<double>(moreUrgent), 1.0) / ranks;
    // The comparison is false for a ratio that is not a number.
    return query.m_usageRatio > 1 ? byRank / query.m_usageRatio : byRank;
}

void delayInOrder(QueuedRequest &queued, Duration longestWait, const OrderQuery &query)
{
    const FloatMillis delay = FloatMillis(longestWait) * (1 - precedence(query));
    queued.m_order += std::chrono::duration_cast<Duration>(std::max(delay, FloatMillis(0)));
}

} // namespace stackquay
