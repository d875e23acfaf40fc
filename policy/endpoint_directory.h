/// Endpoints as the platform's store lists them.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <msgpack.hpp>

#include "core/core.h"

namespace stackquay {

struct EndpointRecord {
    EndpointId m_id; ///< One process: a restarted endpoint has another.
    ServiceId m_service;
    std::string m_address; ///< "a.b.c.d:port"; may later belong to another endpoint.
    DataCentreId m_dataCentre;
    uint32_t m_slots = 1;
    bool m_draining = false;

    bool operator==(const EndpointRecord &) const = default;
    MSGPACK_DEFINE(m_id, m_service, m_address, m_dataCentre, m_slots, m_draining)
};

using EndpointMap = std::unordered_map<EndpointId, EndpointRecord>;

/// An immutable picture of all endpoints.
struct EndpointDirectory {
    uint64_t m_revision = 0; ///< Of the store, when this was read.
    EndpointMap m_endpoints;
};

using EndpointDirectoryPtr = std::shared_ptr<const EndpointDirectory>;

} // namespace stackquay
