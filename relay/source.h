/// Where the declared routes and the endpoints stand in the store, and how they are decoded.
#pragma once

#include "policy/policy.h"
#include "store/store.h"

namespace stackquay {

struct RelaySource {
    std::string m_routesKind;
    std::string m_routesName; ///< The one object that holds all routes.
    std::string m_endpointsKind;
    std::string m_vmsKind; ///< Our own: one object a VM.
    std::string m_condemnedKind; ///< Our own: one object.
    Result<RouteTable> (*m_decodeRoutes)(const std::string &spec) = nullptr;
    Result<EndpointRecord> (*m_decodeEndpoint)(const KindObject &object) = nullptr;
};

} // namespace stackquay
