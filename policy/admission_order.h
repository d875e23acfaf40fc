/// Delays in the order of waiting requests, by rank and by the customer's use of the engines.
///
/// The queue (policy/dispatch_queue) orders requests by a time. The VM of a request adds a delay to
/// that time when the request arrives and sends the result to the other VMs, so that all of them
/// have the same order. Running requests are never stopped. If a report of use is lost, one VM
/// underestimates the use of one customer.
#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "policy/dispatch_queue.h"

namespace stackquay {

/// Period over which the use of engines is counted.
constexpr Seconds UsageWindow{ 10 };
/// Bounds the memory of a VM to about half a megabyte.
constexpr size_t MaxUsageCustomers = 4'096;

/// Engine time that each customer used within UsageWindow, as far as one VM knows.
///
/// Time is divided into buckets, and the oldest one is dropped as a whole. Use is kept in whole
/// microseconds, so that the result does not depend on the order of the reports.
class CustomerUsage
{
public:
    /// Adds @p engineMs of engine time, used at @p now, to @p customer, see partCustomerHash(). A
    /// time before that of earlier calls is possible. Does nothing if the time is not positive, or
    /// if the customer is new and MaxUsageCustomers are known.
    void record(uint64_t customer, double engineMs, TimePoint now);
    /// Use of @p customer relative to an equal share among the customers that used engines within
    /// UsageWindow: 1 is exactly the share. 0 if it used none.
    double ratio(uint64_t customer, TimePoint now);
    /// Number of customers that used engines within UsageWindow before the last call.
    size_t customers() const { return m_customers.size(); }

private:
    static constexpr size_t Buckets = 10;
    static constexpr Duration BucketTime = Duration(UsageWindow) / Buckets;

    using BucketUse = std::array<uint64_t, Buckets>; ///< In microseconds, by bucket modulo Buckets.

    /// Drops the buckets that are no longer within the window at @p bucket.
    void advance(int64_t bucket);

    std::unordered_map<uint64_t, BucketUse> m_customers;
    BucketUse m_total{}; ///< Of all customers.
    int64_t m_bucket = 0; ///< The latest bucket, counted from the epoch of the clock.
};

/// What the place of a request in the order depends on, besides its time.
struct OrderQuery {
    uint32_t m_rank = 0; ///< Of the request: the customer's, or else the route's.
    std::vector<uint32_t> m_ranks; ///< See DeclaredService.
    double m_usageRatio = 0; ///< See CustomerUsage::ratio().
};

/// Part of the time that a request can wait in which it precedes requests that arrive later and
/// have the most urgent rank and no more than their share: 1 for those themselves. With n ranks,
/// each rank takes 1/n of the whole time; a customer that uses r times its share has 1/r of it. It
/// is never zero, so that every request has its turn before its caller leaves.
double precedence(const OrderQuery &query);

/// Moves @p queued, which can wait for @p longestWait, back in the order. Its latest start stays as
/// it is.
void delayInOrder(QueuedRequest &queued, Duration longestWait, const OrderQuery &query);

} // namespace stackquay
