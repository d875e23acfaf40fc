/// Queue of waiting requests, ordered by priority, then by the customer's weighted fair share, then
/// by earliest deadline with aging.
///
/// Within a priority, customers are served by start-time fair queueing: each customer has a virtual
/// time that grows by cost / weight with each request served, and the customer with the smallest
/// virtual time is served next. A customer without waiting requests restarts at the current virtual
/// time, so it gains no credit while idle. Requests of one customer are ordered by
/// deadline + agingFactor * arrival: factor 0 gives earliest deadline first; the larger the factor,
/// the closer the order is to first come, first served.
///
/// The queue is bounded. When it is full, a new request displaces a request of a lower priority.
/// Otherwise it displaces a request of the customer with the largest waiting cost / weight if that
/// is larger than that of the new request's customer. Else the new request is refused.
#pragma once

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace stackquay {

struct FairQueueSettings {
    size_t m_capacity = 4096; ///< Max number of waiting requests.
    double m_agingFactor = 1; ///< Weight of the arrival time relative to the deadline.
};

/// A request in the queue.
struct WaitingRequest {
    RequestId m_id;
    CustomerId m_customer;
    int m_priority = 0; ///< Higher is served first.
    double m_weight = 1; ///< Weight of the customer's fair share; above zero.
    double m_cost = 1; ///< Predicted resource use; same unit for the whole queue; above zero.
    TimePoint m_arrived{};
    TimePoint m_deadline{}; ///< When the answer must be complete.
    /// Latest time to start it: the deadline minus the predicted run.
    TimePoint m_startBy{};
};

/// Result of FairQueue::push(). The caller has to answer a refused or displaced request at once.
struct PushResult {
    bool m_accepted = false;
    std::optional<WaitingRequest> m_displaced;
};

/// Deterministic: the same calls give the same order. Not thread-safe.
class FairQueue
{
public:
    /// Whether a request can be served now; false, for example, if no endpoint has enough free
    /// memory.
    using Predicate = std::function<bool(const WaitingRequest &)>;

    explicit FairQueue(FairQueueSettings settings = {});

    /// Adds a request. Does not accept a request whose id is waiting already.
    PushResult push(const WaitingRequest &request);
    /// Removes and returns the next request; no value if the queue is empty.
    std::optional<WaitingRequest> pop();
    /// Removes and returns the first request in order for which @p mayServe returns true; no value
    /// if there is none. Only a returned request is charged to its customer.
    std::optional<WaitingRequest> popIf(const Predicate &mayServe);
    /// Removes and returns a request, for example after its caller disconnected; no value if it is
    /// not waiting. It is not charged.
    std::optional<WaitingRequest> remove(const RequestId &id);
    /// Removes and returns all requests whose m_startBy has passed.
    std::vector<WaitingRequest> expire(TimePoint now);

    /// The earliest m_startBy of all requests; no value if the queue is empty.
    std::optional<TimePoint> nextExpiry() const;
    size_t size() const { return m_requests.size(); }
    bool empty() const { return m_requests.empty(); }
    /// Sum of the costs of waiting requests of @p priority and above.
    double costAhead(int priority) const;
    /// Cost that would be served before a new request: all requests of higher priorities, its
    /// customer's requests that precede it, and of each other customer what its fair share allows
    /// until then. Does not include requests that arrive later. Takes time linear in the number of
    /// customers and of the customer's own requests.
    double fairCostAhead(const WaitingRequest &request) const;
    /// The same for a request that would be the last of its customer.
    double fairCostAhead(const CustomerId &customer, int priority, double weight) const;

private:
    /// Sort key among the requests of one customer.
    struct OrderKey {
        Duration m_aged{}; ///< Deadline + aging factor * arrival.
        RequestId m_id;
        auto operator<=>(const OrderKey &) const = default;
    };
    /// State of one customer at one priority; kept while any request of that priority waits.
    struct Flow {
        double m_start = 0; ///< Virtual start time of its next request.
        double m_weight = 1;
        double m_cost = 0; ///< Sum of the costs of its waiting requests.
        std::map<OrderKey, double> m_order; ///< Its waiting requests with their costs.
    };
    struct FlowKey {
        double m_value = 0;
        CustomerId m_customer;
        auto operator<=>(const FlowKey &) const = default;
    };
    /// All customers with requests of one priority.
    struct Level {
        double m_virtualTime = 0;
        double m_cost = 0; ///< Sum of the costs of all waiting requests.
        std::unordered_map<CustomerId, Flow> m_flows;
        std::set<FlowKey> m_byStart; ///< Flows with waiting requests, by m_start.
        std::set<FlowKey> m_byBacklog; ///< Flows with waiting requests, by m_cost / m_weight.
    };
    struct ExpiryKey {
        TimePoint m_startBy;
        RequestId m_id;
        auto operator<=>(const ExpiryKey &) const = default;
    };
    using Levels = std::map<int, Level, std::greater<>>;

    OrderKey orderKey(const WaitingRequest &request) const;
    double costBefore(const CustomerId &customer, int priority, double weight,
                      const OrderKey &position) const;
    std::optional<WaitingRequest> makeRoomFor(const WaitingRequest &request);
    std::optional<RequestId> lastRequestOfLargestBacklog(const Level &level) const;
    void removeFromIndexes(Level &level, const CustomerId &customer, const Flow &flow);
    void addToIndexes(Level &level, const CustomerId &customer, const Flow &flow);
    WaitingRequest removeWaiting(const RequestId &id);
    void charge(const WaitingRequest &request);
    void eraseLevelIfEmpty(int priority);

    FairQueueSettings m_settings;
    std::unordered_map<RequestId, WaitingRequest> m_requests;
    Levels m_levels;
    std::set<ExpiryKey> m_byExpiry;
};

} // namespace stackquay
