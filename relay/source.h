/// Where the store holds the declared routes and the endpoints, and how they are decoded.
#pragma once

#include "policy/policy.h"
#include "store/store.h"

namespace stackquay {

struct RelaySource {
    std::string m_routesKind;
    std::string m_routesName; ///< Name of the single object that holds all routes.
    std::string m_endpointsKind;
    std::string m_vmsKind; ///< Kind of the objects that VMs register; one object for each VM.
    std::string m_quarantineKind; ///< Kind of the object with the quarantined requests.
    std::string m_evacuationsKind; ///< Kind of the objects named by the data centres to evacuate.
    Result<RouteTable> (*m_decodeRoutes)(const std::string &spec) = nullptr;
    Result<EndpointRecord> (*m_decodeEndpoint)(const KindObject &object) = nullptr;
};

} // namespace stackquay
