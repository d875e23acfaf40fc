/// The directory of endpoints, a copy of the entries in the platform's store.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <msgpack.hpp>

#include "core/core.h"
#include "policy/store_position.h"

namespace stackquay {

struct EndpointRecord {
    EndpointId m_id; ///< A restarted endpoint may keep its id; m_startedMs is then later.
    ServiceId m_service;
    std::string m_address; ///< "a.b.c.d:port". May be reused later by another endpoint.
    DataCentreId m_dataCentre;
    uint32_t m_slots = 1; ///< Requests that it runs concurrently.
    bool m_draining = false;
    /// Start of its process, Unix time in ms; zero: unknown. A restarted process has none of the
    /// state (requests, cache) of the earlier one with the same id.
    uint64_t m_startedMs = 0;
    uint32_t m_coldLeftMs = 0; ///< How long it remained cold when its entry was written.

    bool operator==(const EndpointRecord &) const = default;
    MSGPACK_DEFINE(m_id, m_service, m_address, m_dataCentre, m_slots, m_draining, m_startedMs,
                   m_coldLeftMs)
};

using EndpointMap = std::unordered_map<EndpointId, EndpointRecord>;

/// A snapshot of all endpoints.
struct EndpointDirectory {
    StorePosition m_position; ///< Position of the store at which the snapshot was read.
    EndpointMap m_endpoints;
    /// Subset of m_endpoints that is unconfirmed: missing from a listing after an outage of the
    /// store. They are gone, or will be registered again.
    std::unordered_set<EndpointId> m_unconfirmed;
    /// Ids in the store whose entries cannot be parsed. Not in m_endpoints.
    std::unordered_set<EndpointId> m_unreadable;
    /// The snapshot is complete: no live endpoint is missing. False for a while after the first
    /// listing, as the store may have lost entries in an earlier outage.
    bool m_complete = true;
    /// Until when endpoints are cold, see policy/send_share.h; those without an entry are not.
    std::unordered_map<EndpointId, TimePoint> m_coldUntil;
    StorePosition m_confirmedPosition; ///< Last position at which isConfirmed() held.

    /// Whether the snapshot is complete and has no unconfirmed endpoints.
    bool isConfirmed() const { return m_complete && m_unconfirmed.empty(); }
};

/// Whether @p endpoint is cold at @p now.
bool isCold(const EndpointDirectory &directory, const EndpointId &endpoint, TimePoint now);

/// Whether @p directory has a later process under the id of @p record.
bool isEarlierProcess(const EndpointDirectory &directory, const EndpointRecord &record);

/// Endpoints in both directories whose process in @p now is later; the records of @p now.
std::vector<EndpointRecord> restartedSince(const EndpointDirectory &before,
                                           const EndpointDirectory &now);

/// Endpoints of @p before whose processes @p now does not list any more, or that have become
/// unconfirmed, as they were in @p before.
std::vector<EndpointRecord> departedSince(const EndpointDirectory &before,
                                          const EndpointDirectory &now);

/// Records the current position as m_confirmedPosition if isConfirmed(). Call after each change of
/// the position.
void updateConfirmedPosition(EndpointDirectory &directory);

/// Merges @p offered, a peer's directory, into @p own. One of a later position replaces @p own,
/// except for records of earlier processes and for unconfirmed endpoints that have left, as @p own
/// shows; if it is incomplete, endpoints that it lacks are kept as unconfirmed. So does a confirmed
/// one of the same position if @p own is not confirmed: a VM that starts beside others mostly
/// receives a directory that is not complete yet. Any other of the same or an earlier position only
/// removes unconfirmed endpoints that it lacks, provided that it is complete and not older than
/// own.m_confirmedPosition. Returns whether @p own changed.
bool mergeDirectory(EndpointDirectory &own, const EndpointDirectory &offered);

using EndpointDirectoryPtr = std::shared_ptr<const EndpointDirectory>;

} // namespace stackquay
