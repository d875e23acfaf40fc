/// Declared routes of opaque requests: which service answers a host and path, and within what.
///
/// One RouteTable is one version of the operator's configuration, whole and immutable.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "policy/engine_costs.h"

namespace stackquay {

/// What a route allows to happen to one request of a client.
enum class RouteKind {
    Safe, ///< May run any number of times.
    Unsafe, ///< Runs at most once.
    Stream, ///< A series of events; runs at most once unless the route is resumable.
};

struct WeightedService {
    ServiceId m_service;
    uint32_t m_weight = 1;
};

struct Route {
    std::string m_name;
    std::string m_host;
    std::string m_pathPrefix; ///< Begins and ends with a slash.
    RouteKind m_kind = RouteKind::Safe;
    std::vector<WeightedService> m_services; ///< At least one.
    Millis m_timeout{ 10'000 }; ///< Longest time until the final answer.
    Millis m_aim{ 1'000 }; ///< First answer or first event within this earns full credit.
    Millis m_gapAim{ 0 }; ///< Longest pause between events; zero: none declared.
    uint32_t m_maxAttempts = 1; ///< Endpoints that one request may be sent to.
    uint32_t m_priority = 5; ///< 0 is most urgent.
    bool m_public = false; ///< Needs no key.
    bool m_resumable = false;

    /// Whether one request may run more than once.
    bool repeatable() const
    {
        return m_kind == RouteKind::Safe || (m_kind == RouteKind::Stream && m_resumable);
    }
};

struct DeclaredService {
    ServiceId m_id;
    uint32_t m_maxConnections = 0; ///< To one endpoint, from all VMs together; zero: not declared.
    std::optional<EngineCosts> m_engine; ///< Absent: a plain service.
    Millis m_longestAim{ 0 }; ///< Of the routes that lead to it. Made by indexRoutes().
};

/// Bounds on what clients may send.
struct ClientLimits {
    uint32_t m_headerBytes = 16 * 1024;
    uint64_t m_bodyBytes = 4 * 1024 * 1024;
    Millis m_headerTimeout{ 3'000 };
    Millis m_idleTimeout{ 15'000 };
};

/// A customer's key, with what it gives.
struct KeyHolder {
    CustomerId m_customer;
    std::optional<uint32_t> m_priority; ///< Goes before the route's.
};

struct RouteTable {
    uint64_t m_version = 0;
    std::vector<Route> m_routes;
    std::unordered_map<ServiceId, DeclaredService> m_services;
    ClientLimits m_limits;
    bool m_hasCustomers = false; ///< Without any, no request needs a key.
    std::unordered_map<std::string, KeyHolder> m_keys;
    /// Indices into m_routes by host, longest prefix first. Made by indexRoutes().
    std::unordered_map<std::string, std::vector<uint32_t>> m_byHost;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Builds m_byHost and the services' aims; call once after filling m_routes and m_services.
void indexRoutes(RouteTable &table);

/// The route of @p host (a port in it is ignored) whose prefix is the longest that begins @p path.
const Route *findRoute(const RouteTable &table, std::string_view host, std::string_view path);

/// One of the route's services by weight; @p draw is uniform in [0, 1).
const ServiceId &drawService(const Route &route, double draw);

std::string_view routeKindName(RouteKind kind);

} // namespace stackquay
