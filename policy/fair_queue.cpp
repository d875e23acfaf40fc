#include "policy/fair_queue.h"

#include <algorithm>
#include <iterator>

namespace stackquay {

namespace {

constexpr double MinCost = 1e-9;

double positive(double value)
{
    return std::max(value, MinCost);
}

} // namespace

FairQueue::FairQueue(FairQueueSettings settings)
    : m_settings(settings)
{ }

FairQueue::OrderKey FairQueue::orderKey(const WaitingRequest &request) const
{
    const std::chrono::duration<double, Duration::period> arrived =
        request.m_arrived.time_since_epoch();
    const auto aged = std::chrono::duration_cast<Duration>(arrived * m_settings.m_agingFactor);
    return { request.m_deadline.time_since_epoch() + aged, request.m_id };
}

void FairQueue::removeFromIndexes(Level &level, const CustomerId &customer, const Flow &flow)
{
    level.m_byStart.erase({ flow.m_start, customer });
    level.m_byBacklog.erase({ flow.m_cost / flow.m_weight, customer });
}

void FairQueue::addToIndexes(Level &level, const CustomerId &customer, const Flow &flow)
{
    if (flow.m_order.empty())
        return;
    level.m_byStart.insert({ flow.m_start, customer });
    level.m_byBacklog.insert({ flow.m_cost / flow.m_weight, customer });
}

PushResult FairQueue::push(const WaitingRequest &request)
{
    if (m_requests.contains(request.m_id))
        return {};
    PushResult result;
    if (m_requests.size() >= m_settings.m_capacity) {
        result.m_displaced = makeRoomFor(request);
        if (!result.m_displaced)
            return result;
    }
    result.m_accepted = true;

    WaitingRequest &waiting = m_requests[request.m_id] = request;
    waiting.m_weight = positive(waiting.m_weight);
    waiting.m_cost = positive(waiting.m_cost);
    Level &level = m_levels[waiting.m_priority];
    Flow &flow = level.m_flows[waiting.m_customer];
    removeFromIndexes(level, waiting.m_customer, flow);
    if (flow.m_order.empty()) {
        flow.m_start = std::max(flow.m_start, level.m_virtualTime);
        flow.m_cost = 0;
    }
    flow.m_weight = waiting.m_weight;
    flow.m_cost += waiting.m_cost;
    flow.m_order.emplace(orderKey(waiting), waiting.m_cost);
    level.m_cost += waiting.m_cost;
    addToIndexes(level, waiting.m_customer, flow);
    m_byExpiry.insert({ waiting.m_startBy, waiting.m_id });
    return result;
}

std::optional<RequestId> FairQueue::lastRequestOfLargestBacklog(const Level &level) const
{
    if (level.m_byBacklog.empty())
        return std::nullopt;
    const CustomerId &customer = level.m_byBacklog.rbegin()->m_customer;
    return level.m_flows.at(customer).m_order.rbegin()->first.m_id;
}

std::optional<WaitingRequest> FairQueue::makeRoomFor(const WaitingRequest &request)
{
    const auto lowest = std::find_if(m_levels.rbegin(), m_levels.rend(), [](const auto &entry) {
        return !entry.second.m_byBacklog.empty();
    });
    if (lowest == m_levels.rend() || lowest->first > request.m_priority)
        return std::nullopt;
    const Level &level = lowest->second;
    const std::optional<RequestId> victim = lastRequestOfLargestBacklog(level);
    if (!victim)
        return std::nullopt;
    if (lowest->first < request.m_priority)
        return removeWaiting(*victim);

    const FlowKey &largest = *level.m_byBacklog.rbegin();
    const auto own = level.m_flows.find(request.m_customer);
    const bool hasBacklog = own != level.m_flows.end() && !own->second.m_order.empty();
    const double ownCost = positive(request.m_cost) + (hasBacklog ? own->second.m_cost : 0);
    if (largest.m_customer == request.m_customer
        || ownCost / positive(request.m_weight) >= largest.m_value)
        return std::nullopt;
    return removeWaiting(*victim);
}

WaitingRequest FairQueue::removeWaiting(const RequestId &id)
{
    const auto found = m_requests.find(id);
    WaitingRequest request = std::move(found->second);
    m_requests.erase(found);
    m_byExpiry.erase({ request.m_startBy, request.m_id });

    Level &level = m_levels.at(request.m_priority);
    Flow &flow = level.m_flows.at(request.m_customer);
    removeFromIndexes(level, request.m_customer, flow);
    flow.m_order.erase(orderKey(request));
    flow.m_cost = flow.m_order.empty() ? 0 : flow.m_cost - request.m_cost;
    level.m_cost -= request.m_cost;
    addToIndexes(level, request.m_customer, flow);
    eraseLevelIfEmpty(request.m_priority);
    return request;
}

void FairQueue::charge(const WaitingRequest &request)
{
    Level &level = m_levels[request.m_priority];
    Flow &flow = level.m_flows[request.m_customer];
    removeFromIndexes(level, request.m_customer, flow);
    level.m_virtualTime = std::max(level.m_virtualTime, flow.m_start);
    flow.m_start += request.m_cost / request.m_weight;
    addToIndexes(level, request.m_customer, flow);
}

void FairQueue::eraseLevelIfEmpty(int priority)
{
    const auto found = m_levels.find(priority);
    Level &level = found->second;
    if (!level.m_byStart.empty())
        return;
    // The busy period of this priority ends; virtual times start from zero in the next one.
    m_levels.erase(found);
}

std::optional<WaitingRequest> FairQueue::pop()
{
    return popIf([](const WaitingRequest &) { return true; });
}

std::optional<WaitingRequest> FairQueue::popIf(const Predicate &mayServe)
{
    for (const auto &[priority, level] : m_levels) {
        for (const FlowKey &key : level.m_byStart) {
            for (const auto &[position, cost] : level.m_flows.at(key.m_customer).m_order) {
                const WaitingRequest &request = m_requests.at(position.m_id);
                if (!mayServe(request))
                    continue;
                const RequestId id = position.m_id;
                charge(request);
                return removeWaiting(id);
            }
        }
    }
    return std::nullopt;
}

std::optional<WaitingRequest> FairQueue::remove(const RequestId &id)
{
    if (!m_requests.contains(id))
        return std::nullopt;
    return removeWaiting(id);
}

std::vector<WaitingRequest> FairQueue::expire(TimePoint now)
{
    std::vector<WaitingRequest> expired;
    while (!m_byExpiry.empty() && m_byExpiry.begin()->m_startBy < now) {
        const RequestId id = m_byExpiry.begin()->m_id;
        expired.push_back(removeWaiting(id));
    }
    return expired;
}

std::optional<TimePoint> FairQueue::nextExpiry() const
{
    if (m_byExpiry.empty())
        return std::nullopt;
    return m_byExpiry.begin()->m_startBy;
}

double FairQueue::costAhead(int priority) const
{
    double cost = 0;
    for (const auto &[levelPriority, level] : m_levels) {
        if (levelPriority < priority)
            break;
        cost += level.m_cost;
    }
    return cost;
}

double FairQueue::fairCostAhead(const WaitingRequest &request) const
{
    return costBefore(request.m_customer, request.m_priority, request.m_weight, orderKey(request));
}

double FairQueue::fairCostAhead(const CustomerId &customer, int priority, double weight) const
{
    return costBefore(customer, priority, weight, { Duration::max(), {} });
}

double FairQueue::costBefore(const CustomerId &customer, int priority, double weight,
                             const OrderKey &position) const
{
    double cost = costAhead(priority + 1);
    const auto found = m_levels.find(priority);
    if (found == m_levels.end())
        return cost;
    const Level &level = found->second;
    // The virtual time at which the request would start.
    double ownStart = level.m_virtualTime;
    const auto own = level.m_flows.find(customer);
    if (own != level.m_flows.end()) {
        const auto end = own->second.m_order.lower_bound(position);
        double ownCost = 0;
        for (auto it = own->second.m_order.begin(); it != end; ++it)
            ownCost += it->second;
        ownStart = std::max(own->second.m_start, ownStart) + ownCost / positive(weight);
        cost += ownCost;
    }
    for (const FlowKey &key : level.m_byStart) {
        if (key.m_value >= ownStart)
            break;
        if (key.m_customer == customer)
            continue;
        const Flow &flow = level.m_flows.at(key.m_customer);
        cost += std::min(flow.m_cost, (ownStart - key.m_value) * flow.m_weight);
    }
    return cost;
}

} // namespace stackquay
