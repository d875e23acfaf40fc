/// Endpoints that want no requests from this VM: for some time, as a refusal asked, or any more,
/// because their process is leaving. Both hold for one process of an endpoint.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "policy/endpoint_directory.h"

namespace stackquay {

/// Longest time for which a refusal is believed to ask for no requests; far above what endpoints
/// need to recover.
constexpr Seconds MaxEndpointBackoff{ 3'600 };

class EndpointBackoff
{
public:
    /// Notes that @p endpoint asks for no requests during @p time from @p now on. Later answers
    /// replace earlier ones.
    void noteRetryAfter(const EndpointRecord &endpoint, Duration time, TimePoint now);
    /// Notes that the process of @p endpoint is leaving. Returns whether that is news.
    bool noteLeaving(const EndpointRecord &endpoint);
    /// Whether nothing may be sent to @p endpoint now.
    bool isBlocked(const EndpointRecord &endpoint, TimePoint now) const;
    bool isLeaving(const EndpointRecord &endpoint) const;
    /// The endpoints whose processes are leaving; only id and start are set.
    std::vector<EndpointRecord> leaving() const;
    /// Whether any endpoint is blocked now.
    bool blocksAny(TimePoint now) const;
    /// Whether no entry is kept, not even one whose time has passed.
    bool empty() const { return m_entries.empty(); }
    /// Time until an endpoint of @p pool may be sent to, if all of them are blocked; nothing if one
    /// is not, or if all of them are leaving.
    std::optional<Duration> timeToEnd(const std::vector<EndpointRecord> &pool, TimePoint now) const;
    /// Forgets what is known of former processes of @p endpoint.
    void forget(const EndpointId &endpoint) { m_entries.erase(endpoint); }
    /// Drops entries whose time has passed, and those of leaving processes not in @p directory.
    void dropExpired(const EndpointMap &directory, TimePoint now);

private:
    struct Entry {
        uint64_t m_startedMs = 0; ///< See EndpointRecord.
        TimePoint m_until{};
        bool m_leaving = false;
    };

    Entry &entryOf(const EndpointRecord &endpoint);
    const Entry *find(const EndpointRecord &endpoint) const;

    std::unordered_map<EndpointId, Entry> m_entries;
};

} // namespace stackquay
