#include "policy/route_table.h"

#include <algorithm>
#include <array>
#include <set>

namespace stackquay {

namespace {

void setLongestGapLimits(RouteTable &table)
{
    for (const Route &route : table.m_routes) {
        for (const WeightedService &weighted : route.m_services) {
            const auto service = table.m_services.find(weighted.m_service);
            if (service != table.m_services.end())
                service->second.m_longestGapLimit =
                    std::max(service->second.m_longestGapLimit, route.m_gapLimit);
        }
    }
}

/// The ranks that customers give to all of their requests, and whether some give none.
struct CustomerRanks {
    std::set<uint32_t> m_ranks;
    bool m_someHaveNone = false;
};

CustomerRanks customerRanks(const RouteTable &table)
{
    CustomerRanks ranks;
    ranks.m_someHaveNone = table.m_keys.empty();
    for (const auto &[key, owner] : table.m_keys) {
        if (owner.m_priority)
            ranks.m_ranks.insert(std::min(*owner.m_priority, LowestRank));
        else
            ranks.m_someHaveNone = true;
    }
    return ranks;
}

/// The ranks of the requests for @p service. The rank of a customer takes precedence over that of
/// the route, except on routes that need no key.
std::set<uint32_t> effectiveRanks(const RouteTable &table, const CustomerRanks &customers,
                                  const ServiceId &service)
{
    std::set<uint32_t> ranks;
    for (const Route &route : table.m_routes) {
        const bool leads = std::any_of(
            route.m_services.begin(), route.m_services.end(),
            [&service](const WeightedService &weighted) { return weighted.m_service == service; });
        if (!leads)
            continue;
        const bool needsKey = table.m_hasCustomers && !route.m_public;
        if (needsKey)
            ranks.insert(customers.m_ranks.begin(), customers.m_ranks.end());
        if (!needsKey || customers.m_someHaveNone)
            ranks.insert(std::min(route.m_priority, LowestRank));
    }
    return ranks;
}

void setRanks(RouteTable &table)
{
    const CustomerRanks customers = customerRanks(table);
    for (auto &[id, service] : table.m_services) {
        const std::set<uint32_t> ranks = effectiveRanks(table, customers, id);
        service.m_ranks.assign(ranks.begin(), ranks.end());
    }
}

} // namespace

void indexRoutes(RouteTable &table)
{
    setLongestGapLimits(table);
    setRanks(table);
    table.m_byHost.clear();
    for (uint32_t i = 0; i < table.m_routes.size(); ++i)
        table.m_byHost[table.m_routes[i].m_host].push_back(i);
    for (auto &[host, indices] : table.m_byHost) {
        std::stable_sort(indices.begin(), indices.end(), [&table](uint32_t left, uint32_t right) {
            return table.m_routes[left].m_pathPrefix.size()
                   > table.m_routes[right].m_pathPrefix.size();
        });
    }
}

const Route *findRoute(const RouteTable &table, std::string_view host, std::string_view path)
{
    const auto found = table.m_byHost.find(std::string(host.substr(0, host.find(':'))));
    if (found == table.m_byHost.end())
        return nullptr;
    for (const uint32_t index : found->second) {
        const Route &route = table.m_routes[index];
        if (path.substr(0, route.m_pathPrefix.size()) == route.m_pathPrefix)
            return &route;
    }
    return nullptr;
}

const ServiceId &selectService(const Route &route, double draw)
{
    uint64_t total = 0;
    for (const WeightedService &service : route.m_services)
        total += service.m_weight;
    double left = draw * static_cast<double>(total);
    for (const WeightedService &service : route.m_services) {
        left -= service.m_weight;
        if (left < 0)
            return service.m_service;
    }
    return route.m_services.back().m_service;
}

std::string_view routeKindName(RouteKind kind)
{
    static constexpr std::array<std::string_view, 3> Names = { "safe", "unsafe", "stream" };
    return Names.at(static_cast<size_t>(kind));
}

} // namespace stackquay
