/// The queue of waiting requests: by priority, then the customer's weighted
/// fair share, then the earliest deadline with aging.
///
/// Within a priority, customers are served by start-time fair queueing: each
/// has a virtual time that grows by cost / weight with each request served, and
/// the one furthest behind is next. A customer that had nothing waiting starts
/// at the present virtual time, so idling earns nothing. Within a customer, the
/// key is deadline + factor x arrival: with factor 0 the earliest deadline
/// first, and the larger the factor, the closer to first come, first served.
///
/// The queue is bounded. When it is full, a newcomer takes the place of a
/// request of a lower priority, or of the customer with the most waiting cost
/// for its weight, if that has more than the newcomer's customer; else the
/// newcomer is refused.
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
    size_t m_capacity = 4096; ///< Most requests waiting.
    double m_agingFactor = 1; ///< Weight of the arrival time beside the deadline.
};

/// One request that waits.
struct WaitingRequest {
    RequestId m_id;
    CustomerId m_customer;
    int m_priority = 0; ///< Higher is served first.
    double m_weight = 1; ///< Of the customer's fair share; above zero.
    double m_cost = 1; ///< What it will use, in any one unit for the whole queue; above zero.
    TimePoint m_arrived{};
    TimePoint m_deadline{}; ///< When the caller must have the answer.
    /// Last time at which beginning it makes sense: the deadline less the
    /// predicted run.
    TimePoint m_startBy{};
};

/// Result of FairQueue::push(). Whoever is refused or displaced has to be told
/// at once.
struct PushResult {
    bool m_accepted = false;
    std::optional<WaitingRequest> m_displaced;
};

/// Deterministic: the same calls give the same order. Not safe for use by
/// several threads.
class FairQueue
{
public:
    /// Whether a request may be served now, such as for want of memory at the
    /// endpoint.
    using Predicate = std::function<bool(const WaitingRequest &)>;

    explicit FairQueue(FairQueueSettings settings = {});

    /// Adds a request; one whose id is already waiting is not accepted.
    PushResult push(const WaitingRequest &request);
    /// Takes the next request, if any.
    std::optional<WaitingRequest> pop();
    /// Takes the first request in order for which @p mayServe holds. Only those
    /// taken are charged to their customer.
    std::optional<WaitingRequest> popIf(const Predicate &mayServe);
    /// Takes out a request, such as one whose caller hung up.
    std::optional<WaitingRequest> remove(const RequestId &id);
    /// Takes out all requests that can no longer be begun in time.
    std::vector<WaitingRequest> expire(TimePoint now);

    /// The earliest time at which expire() will find something.
    std::optional<TimePoint> nextExpiry() const;
    size_t size() const { return m_requests.size(); }
    bool empty() const { return m_requests.empty(); }
    /// Waiting cost of @p priority and above.
    double costAhead(int priority) const;
    /// Waiting cost that a new request would be served after: all of higher
    /// priorities, of its own customer what comes before it in order, and of each
    /// other customer what its fair share allows until then. Requests that come
    /// later are not foreseen. Linear in the customers and in the customer's own
    /// requests.
    double fairCostAhead(const WaitingRequest &request) const;
    /// The same for a request that would come last among its customer's.
    double fairCostAhead(const CustomerId &customer, int priority, double weight) const;

private:
    /// Position among one customer's requests.
    struct OrderKey {
        Duration m_aged{};
        RequestId m_id;
        auto operator<=>(const OrderKey &) const = default;
    };
    /// A customer that has requests waiting, or whose virtual time is still
    /// ahead.
    struct Flow {
        double m_start = 0; ///< Virtual time at which its next request begins.
        double m_weight = 1;
        double m_cost = 0; ///< Of all its waiting requests.
        std::map<OrderKey, double> m_order; ///< Its requests, with their costs.
    };
    struct FlowKey {
        double m_value = 0;
        CustomerId m_customer;
        auto operator<=>(const FlowKey &) const = default;
    };
    struct Level {
        double m_virtualTime = 0;
        double m_cost = 0;
        std::unordered_map<CustomerId, Flow> m_flows;
        std::set<FlowKey> m_byStart; ///< Flows with requests, by virtual time.
        std::set<FlowKey> m_byBacklog; ///< Flows with requests, by waiting cost / weight.
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
    std::optional<RequestId> lastOfLargestBacklog(const Level &level) const;
    void unlinkFlow(Level &level, const CustomerId &customer, const Flow &flow);
    void linkFlow(Level &level, const CustomerId &customer, const Flow &flow);
    WaitingRequest takeOut(const RequestId &id);
    void charge(const WaitingRequest &request);
    void dropIfEmpty(int priority);

    FairQueueSettings m_settings;
    std::unordered_map<RequestId, WaitingRequest> m_requests;
    Levels m_levels;
    std::set<ExpiryKey> m_byExpiry;
};

} // namespace stackquay
