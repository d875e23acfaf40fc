#include "policy/endpoint_backoff.h"

#include <algorithm>
#include <utility>

namespace stackquay {

EndpointBackoff::Entry &EndpointBackoff::entryOf(const EndpointRecord &endpoint)
{
    Entry &entry = m_entries[endpoint.m_id];
    if (entry.m_startedMs != endpoint.m_startedMs)
        entry = { endpoint.m_startedMs, {}, false };
    return entry;
}

const EndpointBackoff::Entry *EndpointBackoff::find(const EndpointRecord &endpoint) const
{
    const auto entry = m_entries.find(endpoint.m_id);
    return entry != m_entries.end() && entry->second.m_startedMs == endpoint.m_startedMs
               ? &entry->second
               : nullptr;
}

void EndpointBackoff::noteRetryAfter(const EndpointRecord &endpoint, Duration time, TimePoint now)
{
    entryOf(endpoint).m_until =
        now + std::clamp<Duration>(time, Duration::zero(), MaxEndpointBackoff);
}

bool EndpointBackoff::noteLeaving(const EndpointRecord &endpoint)
{
    return !std::exchange(entryOf(endpoint).m_leaving, true);
}

bool EndpointBackoff::isBlocked(const EndpointRecord &endpoint, TimePoint now) const
{
    const Entry *entry = find(endpoint);
    return entry && (entry->m_leaving || entry->m_until > now);
}

bool EndpointBackoff::blocksAny(TimePoint now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [now](const auto &known) {
        return known.second.m_leaving || known.second.m_until > now;
    });
}

bool EndpointBackoff::isLeaving(const EndpointRecord &endpoint) const
{
    const Entry *entry = find(endpoint);
    return entry && entry->m_leaving;
}

std::vector<EndpointRecord> EndpointBackoff::leaving() const
{
    std::vector<EndpointRecord> endpoints;
    for (const auto &[id, entry] : m_entries) {
        if (!entry.m_leaving)
            continue;
        EndpointRecord endpoint;
        endpoint.m_id = id;
        endpoint.m_startedMs = entry.m_startedMs;
        endpoints.push_back(std::move(endpoint));
    }
    return endpoints;
}

std::optional<Duration> EndpointBackoff::timeToEnd(const std::vector<EndpointRecord> &pool,
                                                   TimePoint now) const
{
    std::optional<Duration> soonest;
    for (const EndpointRecord &endpoint : pool) {
        if (!isBlocked(endpoint, now))
            return std::nullopt;
        const Entry &entry = *find(endpoint);
        if (!entry.m_leaving && (!soonest || entry.m_until - now < *soonest))
            soonest = entry.m_until - now;
    }
    return soonest;
}

void EndpointBackoff::dropExpired(const EndpointMap &directory, TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &known) {
        return known.second.m_leaving ? directory.count(known.first) == 0
                                      : known.second.m_until <= now;
    });
}

} // namespace stackquay
