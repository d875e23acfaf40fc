#include <gtest/gtest.h>

#include "relay/relay.h"

namespace stackquay {
namespace {

constexpr uint32_t Cells = 8;
constexpr size_t VmsPerCell = 123;
constexpr double ColdRate = 6;
constexpr ColdLimits Limits{ 1.5, 5 };

/// The view of the VM @p vm of @p cell, with one cold endpoint of a plain service.
RelayView viewOf(uint32_t cell, size_t vm)
{
    RelayView view;
    auto routes = std::make_shared<RouteTable>();
    routes->m_services[ServiceId("plain")].m_coldRequestsPerSecond = ColdRate;
    view.m_routes = routes;
    auto directory = std::make_shared<EndpointDirectory>();
    EndpointRecord endpoint;
    endpoint.m_id = EndpointId("plain-1");
    endpoint.m_service = ServiceId("plain");
    directory->m_endpoints[endpoint.m_id] = endpoint;
    directory->m_coldUntil[endpoint.m_id] = Clock::now() + Seconds(60);
    view.m_directory = directory;
    view.m_bounds.m_coldLimits = Limits;
    view.m_cell = { cell, Cells };
    view.m_peersKnown = true;
    for (size_t i = 0; i < VmsPerCell; ++i) {
        if (i != vm)
            view.m_peers.emplace_back("front-" + std::to_string(cell) + "-" + std::to_string(i));
    }
    rebuildColdShares(view, VmId("front-" + std::to_string(cell) + "-" + std::to_string(vm)));
    return view;
}

TEST(RelayViewTest, ColdEndpointThatAllCellsUseGetsNoMoreRequestsThanItTolerates)
{
    double requests = 0;
    for (uint32_t cell = 0; cell < Cells; ++cell) {
        for (size_t vm = 0; vm < VmsPerCell; ++vm) {
            for (const auto &[endpoint, share] : viewOf(cell, vm).m_coldShares)
                requests += share.m_requests;
        }
    }
    EXPECT_LE(requests, ColdRate * Limits.m_overshoot + Limits.m_slack);
    EXPECT_GE(requests, 1);
}

} // namespace
} // namespace stackquay
