#include "relay/endpoint_limiter.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace stackquay {

namespace {

constexpr double MillisPerRequest = 1'000;

/// In thousandths of a request per second. Zero says that no rate is named, so the lowest rate is
/// one thousandth.
uint32_t toMillis(double rate)
{
    constexpr double Most = 1e9;
    return static_cast<uint32_t>(std::clamp(std::round(rate * MillisPerRequest), 1.0, Most));
}

void logLimit(const EndpointLimits &limits, const EndpointId &endpoint, const NamedRate &rate,
              bool told)
{
    const auto known = limits.all().find(endpoint);
    const bool sends = known != limits.all().end() && known->second.m_sender;
    DecisionLine("relay", rate ? "endpoint limits its requests" : "endpoint limit ended")
        .text("endpoint", endpoint.str())
        .number("millis_per_s", rate ? toMillis(*rate) : 0)
        .flag("told", told)
        .flag("sender", sends)
        .number("senders", known == limits.all().end() ? 0 : known->second.m_share.m_vms)
        .number("window_ms",
                known == limits.all().end() ? 0 : known->second.m_share.m_window.count())
        .write();
}

} // namespace

EndpointLimiter::EndpointLimiter(std::function<void(const LoadMessage &)> tell,
                                 std::function<LoadKey()> nextKey)
    : m_tell(std::move(tell))
    , m_nextKey(std::move(nextKey))
{ }

void EndpointLimiter::setGroup(LimitGroup group)
{
    m_limits.setGroup(std::move(group), Clock::now());
}

bool EndpointLimiter::maySend(const RelayView &view, const EndpointRecord &endpoint)
{
    const TimePoint now = Clock::now();
    const EndpointId &id = endpoint.m_id;
    if (m_backoff.isBlocked(endpoint, now) || !m_limits.maySend(id, now))
        return false;
    if (!isColdLimited(view, id, now))
        return true;
    const auto share = view.m_coldShares.find(id);
    return share != view.m_coldShares.end() && hasSendBudget(m_coldSends[id], share->second, now);
}

bool EndpointLimiter::isBlocked(const EndpointRecord &endpoint) const
{
    return m_backoff.isBlocked(endpoint, Clock::now());
}

bool EndpointLimiter::isRestricted(const EndpointRecord &endpoint) const
{
    return isBlocked(endpoint) || namesRate(endpoint.m_id);
}

bool EndpointLimiter::blocksAll(const std::vector<EndpointRecord> &pool) const
{
    return !m_backoff.empty() && !pool.empty()
           && std::all_of(pool.begin(), pool.end(),
                          [this](const EndpointRecord &endpoint) { return isBlocked(endpoint); });
}

void EndpointLimiter::noteBackoff(const EndpointRecord &endpoint, std::optional<Millis> retryAfter,
                                  bool leaving, const RelayView &view)
{
    const TimePoint now = Clock::now();
    if (retryAfter) {
        m_backoff.noteRetryAfter(endpoint, *retryAfter, now);
        DecisionLine("relay", "endpoint wants no requests")
            .text("endpoint", endpoint.m_id.str())
            .number("ms", retryAfter->count())
            .write();
    }
    if (!leaving || !m_backoff.noteLeaving(endpoint))
        return;
    DecisionLine("relay", "endpoint is leaving").text("endpoint", endpoint.m_id.str()).write();
    m_tell(leavingMessage(endpoint));
    if (view.m_directory)
        m_backoff.dropExpired(view.m_directory->m_endpoints, now);
}

void EndpointLimiter::recordSend(const RelayView &view, const EndpointId &endpoint)
{
    const TimePoint now = Clock::now();
    m_limits.recordSend(endpoint, now);
    if (isColdLimited(view, endpoint, now))
        m_coldSends[endpoint].push_back(now);
    else
        m_coldSends.erase(endpoint);
}

void EndpointLimiter::recordPart(const EndpointId &endpoint)
{
    m_limits.recordSend(endpoint, Clock::now());
}

LoadMessage EndpointLimiter::messageOf(const EndpointLimit &limit) const
{
    LoadMessage message{ LoadEvent::RequestLimit, m_nextKey() };
    message.m_parts = { { limit.m_endpoint.m_id, 0, 0 } };
    message.m_processMs = limit.m_endpoint.m_startedMs;
    message.m_limitMillis = limit.m_ended ? 0 : toMillis(limit.m_requestsPerSecond);
    return message;
}

LoadMessage EndpointLimiter::leavingMessage(const EndpointRecord &endpoint) const
{
    LoadMessage message{ LoadEvent::EndpointLeaving, m_nextKey() };
    message.m_parts = { { endpoint.m_id, 0, 0 } };
    message.m_processMs = endpoint.m_startedMs;
    return message;
}

void EndpointLimiter::noteAnswer(const RelayView &view, const EndpointRecord &endpoint,
                                 const NamedRate &rate)
{
    const bool before = namesRate(endpoint.m_id);
    if (!m_limits.noteAnswer(endpoint, !isEngine(view, endpoint), rate, Clock::now()))
        return;
    if (before != rate.has_value())
        logLimit(m_limits, endpoint.m_id, rate, false);
    m_tell(messageOf(m_limits.all().at(endpoint.m_id)));
}

void EndpointLimiter::receive(const RelayView &view, const LoadMessage &message)
{
    if (message.m_parts.empty() || !view.m_directory)
        return;
    const auto &endpoints = view.m_directory->m_endpoints;
    const auto found = endpoints.find(message.m_parts.front().m_endpoint);
    if (found == endpoints.end() || found->second.m_startedMs != message.m_processMs)
        return;
    if (message.m_change == LoadEvent::EndpointLeaving)
        std::ignore = m_backoff.noteLeaving(found->second);
    else
        receiveLimit(view, found->second, message);
}

void EndpointLimiter::receiveLimit(const RelayView &view, const EndpointRecord &endpoint,
                                   const LoadMessage &message)
{
    NamedRate rate;
    if (message.m_limitMillis > 0)
        rate = message.m_limitMillis / MillisPerRequest;
    const bool before = namesRate(endpoint.m_id);
    m_limits.noteTold(endpoint, !isEngine(view, endpoint), rate, Clock::now());
    if (before != namesRate(endpoint.m_id))
        logLimit(m_limits, endpoint.m_id, rate, true);
}

void EndpointLimiter::forget(const EndpointId &endpoint)
{
    m_limits.forget(endpoint);
    m_backoff.forget(endpoint);
}

bool EndpointLimiter::namesRate(const EndpointId &endpoint) const
{
    return m_limits.isLimited(endpoint, Clock::now());
}

std::optional<Duration> EndpointLimiter::timeToBudget(const std::vector<EndpointRecord> &pool)
{
    const TimePoint now = Clock::now();
    std::optional<Duration> soonest;
    for (const EndpointRecord &endpoint : pool) {
        const auto time = m_backoff.isBlocked(endpoint, now)
                              ? m_backoff.timeToEnd({ endpoint }, now)
                              : m_limits.timeToBudget(endpoint.m_id, now);
        if (time && (!soonest || *time < *soonest))
            soonest = time;
    }
    return soonest;
}

std::vector<LoadMessage> EndpointLimiter::messages() const
{
    std::vector<LoadMessage> messages;
    for (const auto &[id, limit] : m_limits.all()) {
        if (namesRate(id))
            messages.push_back(messageOf(limit));
    }
    for (const EndpointRecord &endpoint : m_backoff.leaving())
        messages.push_back(leavingMessage(endpoint));
    return messages;
}

} // namespace stackquay
