#include "policy/endpoint_limits.h"

#include <algorithm>

namespace stackquay {

namespace {

/// The other VMs are told again after this time, as messages may be lost.
constexpr Millis TellPeriod{ 1'000 };
/// An answer without a rate that was on its way while another named one does not end it.
constexpr Millis EndDelay{ 300 };
/// An end is told again, on later answers, for this time.
constexpr Seconds EndRepeatTime{ 5 };
/// A rate that no answer has named for so long may have ended unnoticed.
constexpr Seconds RateLifetime{ 30 };
/// The same in requests that its senders may have sent meanwhile.
constexpr int RateLifetimeWindows = 3;

bool hasExpired(const EndpointLimit &limit, TimePoint now)
{
    if (limit.m_ended)
        return now - limit.m_toldAt >= EndRepeatTime && now - limit.m_notedAt >= EndRepeatTime;
    const Duration lifetime =
        std::max<Duration>(RateLifetime, limit.m_share.m_window * RateLifetimeWindows);
    return now - limit.m_notedAt >= lifetime;
}

} // namespace

void EndpointLimits::setGroup(LimitGroup group, TimePoint now)
{
    m_group = std::move(group);
    std::erase_if(m_limits, [now](const auto &entry) { return hasExpired(entry.second, now); });
    for (auto &[id, limit] : m_limits)
        divide(limit, false, now);
}

void EndpointLimits::divide(EndpointLimit &limit, bool isNew, TimePoint now) const
{
    const bool ofCell =
        !limit.m_sharedByCells || ownsSharedEndpoint(limit.m_endpoint.m_id, m_group.m_cell);
    const bool before = limit.m_sender;
    limit.m_share =
        namedShare(limit.m_requestsPerSecond, { m_group.m_peers.size() + 1, m_group.m_known });
    limit.m_sender = m_group.m_peersKnown && ofCell
                     && isSender(limit.m_endpoint, limit.m_share, m_group.m_self, m_group.m_peers);
    if (limit.m_sender && !before)
        limit.m_sendsFrom = isNew ? now : now + NamedLimitWindow;
}

bool EndpointLimits::name(const EndpointRecord &endpoint, bool sharedByCells, double rate,
                          TimePoint now)
{
    EndpointLimit &limit = m_limits[endpoint.m_id];
    const bool isNew = limit.m_notedAt == TimePoint{} || limit.m_ended;
    const bool changed = isNew || rate != limit.m_requestsPerSecond;
    limit.m_endpoint = endpoint;
    limit.m_sharedByCells = sharedByCells;
    limit.m_requestsPerSecond = rate;
    limit.m_notedAt = now;
    limit.m_ended = false;
    if (changed)
        divide(limit, isNew, now);
    return changed;
}

bool EndpointLimits::end(const EndpointId &endpoint, TimePoint now)
{
    const auto found = m_limits.find(endpoint);
    if (found == m_limits.end())
        return false;
    EndpointLimit &limit = found->second;
    if (!limit.m_ended && now - limit.m_notedAt < EndDelay)
        return false;
    if (!limit.m_ended)
        limit.m_notedAt = now;
    limit.m_ended = true;
    return true;
}

bool EndpointLimits::noteAnswer(const EndpointRecord &endpoint, bool sharedByCells,
                                const NamedRate &rate, TimePoint now)
{
    const auto known = m_limits.find(endpoint.m_id);
    if (known != m_limits.end() && hasExpired(known->second, now))
        m_limits.erase(known);
    bool changed = false;
    if (rate) {
        changed = name(endpoint, sharedByCells, *rate, now);
    } else {
        changed = isLimited(endpoint.m_id, now);
        if (!end(endpoint.m_id, now))
            return false;
    }
    EndpointLimit &limit = m_limits[endpoint.m_id];
    if (!changed && now - limit.m_toldAt < TellPeriod)
        return false;
    limit.m_toldAt = now;
    return true;
}

void EndpointLimits::noteTold(const EndpointRecord &endpoint, bool sharedByCells,
                              const NamedRate &rate, TimePoint now)
{
    if (rate)
        name(endpoint, sharedByCells, *rate, now);
    else
        end(endpoint.m_id, now);
}

bool EndpointLimits::isLimited(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = m_limits.find(endpoint);
    return found != m_limits.end() && !found->second.m_ended && !hasExpired(found->second, now);
}

bool EndpointLimits::maySend(const EndpointId &endpoint, TimePoint now)
{
    if (!isLimited(endpoint, now))
        return true;
    EndpointLimit &limit = m_limits[endpoint];
    return limit.m_sender && now >= limit.m_sendsFrom
           && hasSendBudget(limit.m_sends, limit.m_share, now);
}

std::optional<Duration> EndpointLimits::timeToBudget(const EndpointId &endpoint, TimePoint now)
{
    if (maySend(endpoint, now))
        return Duration::zero();
    const EndpointLimit &limit = m_limits[endpoint];
    if (!limit.m_sender)
        return std::nullopt;
    TimePoint from = limit.m_sendsFrom;
    if (!limit.m_sends.empty())
        from = std::max(from, limit.m_sends.back() + limit.m_share.m_window);
    return std::max(from - now, Duration::zero());
}

void EndpointLimits::recordSend(const EndpointId &endpoint, TimePoint now)
{
    const auto found = m_limits.find(endpoint);
    if (found != m_limits.end())
        found->second.m_sends.push_back(now);
}

} // namespace stackquay
