/// Declared routes of opaque requests: which services answer a host and path, and within which
/// limits.
///
/// A RouteTable holds one version of the operator's whole configuration and is immutable.
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

/// The least urgent rank. Higher numbers in the configuration count as this one.
constexpr uint32_t LowestRank = 9;

/// How often one request of a client may run.
enum class RouteKind {
    Safe, ///< May run any number of times.
    Unsafe, ///< Runs at most once.
    Stream, ///< Answered by a stream of events; runs at most once unless the route is resumable.
};

struct WeightedService {
    ServiceId m_service;
    uint32_t m_weight = 1;
};

struct Route {
    std::string m_name;
    std::string m_host;
    std::string m_pathPrefix; ///< Starts and ends with a slash.
    RouteKind m_kind = RouteKind::Safe;
    std::vector<WeightedService> m_services; ///< At least one.
    Millis m_timeout{ 10'000 }; ///< Max time until the final answer.
    /// The operator's target for the first answer or event. For metrics and logs only: no decision
    /// depends on it.
    Millis m_latencyTarget{ 1'000 };
    Millis m_gapLimit{ 0 }; ///< Longest tolerated gap between events; zero: none declared.
    Millis m_clientPatience{ 2'000 }; ///< Clients leave a stream after this long without an event.
    uint32_t m_maxAttempts = 1; ///< Max number of endpoints that one request may be sent to.
    uint32_t m_priority = 5; ///< 0 is the most urgent.
    bool m_public = false; ///< Requests need no key.
    bool m_resumable = false; ///< For streams: one request may run more than once.

    /// Whether one request may run more than once.
    bool repeatable() const
    {
        return m_kind == RouteKind::Safe || (m_kind == RouteKind::Stream && m_resumable);
    }
};

struct DeclaredService {
    ServiceId m_id;
    /// Max connections to one endpoint from all VMs together; zero: not declared.
    uint32_t m_maxConnections = 0;
    /// Requests per second that a cold endpoint tolerates; zero: any number.
    double m_coldRequestsPerSecond = 0;
    std::optional<EngineCosts> m_engine; ///< No value: a plain service.
    /// The longest gap limit of the routes to this service; set by indexRoutes().
    Millis m_longestGapLimit{ 0 };
    /// The different ranks of its requests, most urgent first; set by indexRoutes().
    std::vector<uint32_t> m_ranks;
};

/// Limits on the requests and connections of clients.
struct ClientLimits {
    uint32_t m_headerBytes = 16 * 1024;
    uint64_t m_bodyBytes = 4 * 1024 * 1024;
    Millis m_headerTimeout{ 3'000 };
    Millis m_idleTimeout{ 15'000 };
};

/// The customer that a key belongs to, and the key's priority.
struct ApiKeyOwner {
    CustomerId m_customer;
    std::optional<uint32_t> m_priority; ///< Overrides the priority of the route.
};

struct RouteTable {
    uint64_t m_version = 0;
    std::vector<Route> m_routes;
    std::unordered_map<ServiceId, DeclaredService> m_services;
    ClientLimits m_limits;
    bool m_hasCustomers = false; ///< False: no request needs a key.
    std::unordered_map<std::string, ApiKeyOwner> m_keys;
    /// Indices into m_routes by host, longest prefix first; set by indexRoutes().
    std::unordered_map<std::string, std::vector<uint32_t>> m_byHost;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Sets m_byHost, and the gap limits and ranks of the services. To be called once after m_routes
/// and m_services are filled.
void indexRoutes(RouteTable &table);

/// The route of @p host with the longest prefix that matches @p path; null if there is none. A port
/// in @p host is ignored. The result points into @p table.
const Route *findRoute(const RouteTable &table, std::string_view host, std::string_view path);

/// Selects one of the route's services with a probability by weight; @p draw is a uniform random
/// number in [0, 1).
const ServiceId &selectService(const Route &route, double draw);

/// "safe", "unsafe" or "stream".
std::string_view routeKindName(RouteKind kind);

} // namespace stackquay
