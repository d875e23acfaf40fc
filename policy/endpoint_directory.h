/// Endpoints as the platform's store lists them.
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
    EndpointId m_id; ///< A restarted endpoint may have the same, with a later start.
    ServiceId m_service;
    std::string m_address; ///< "a.b.c.d:port"; may later belong to another endpoint.
    DataCentreId m_dataCentre;
    uint32_t m_slots = 1;
    bool m_draining = false;
    /// When its process started, Unix time in ms; zero: not told. A later process under the same id
    /// holds nothing of what an earlier one held.
    uint64_t m_startedMs = 0;

    bool operator==(const EndpointRecord &) const = default;
    MSGPACK_DEFINE(m_id, m_service, m_address, m_dataCentre, m_slots, m_draining, m_startedMs)
};

using EndpointMap = std::unordered_map<EndpointId, EndpointRecord>;

/// An immutable picture of all endpoints.
struct EndpointDirectory {
    StorePosition m_position; ///< Of the store, when this was read.
    EndpointMap m_endpoints;
    /// Of these, the ones that a list after an outage of the store lacked: gone, or soon back.
    std::unordered_set<EndpointId> m_doubtful;
    /// Not of these: their entries are there and name no endpoint.
    std::unordered_set<EndpointId> m_unreadable;
    /// No living endpoint is missing. False for a while after a first list, as there may have been
    /// an outage before it.
    bool m_whole = true;
    StorePosition m_surePosition; ///< The last one at which nothing was in doubt.

    bool sure() const { return m_whole && m_doubtful.empty(); }
};

/// Whether @p record is of an earlier process than the one that @p directory knows under its id.
bool isEarlierProcess(const EndpointDirectory &directory, const EndpointRecord &record);

/// Endpoints of which @p now knows a later process than @p before, both under the same id.
std::vector<EndpointRecord> restartedSince(const EndpointDirectory &before,
                                           const EndpointDirectory &now);

/// To be called with each new position: remembers it if nothing is in doubt at it.
void noteSure(EndpointDirectory &directory);

/// Takes what @p offered, a peer's directory, tells better than @p own: all of it if it is of a
/// later position; else only which doubtful endpoints are gone, if the peer is sure. Returns
/// whether anything changed.
bool joinDirectory(EndpointDirectory &own, const EndpointDirectory &offered);

using EndpointDirectoryPtr = std::shared_ptr<const EndpointDirectory>;

} // namespace stackquay
