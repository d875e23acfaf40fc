#include "entry/placement.h"

#include <fmt/format.h>

namespace stackquay {

namespace {

constexpr Millis NoEndpointRetryAfter{ 1'000 };

std::optional<size_t> choose(TrafficWorker &worker, const std::vector<EndpointView> &views,
                             const PlacementRequest &request)
{
    const TimePoint now = Clock::now();
    if (worker.node().m_settings.m_policy == RoutingPolicy::RoundRobin)
        return chooseRoundRobin(worker.roundRobin(), views, request.m_excluded, now);
    return chooseLeastReported(views, request.m_excluded, now, worker.random());
}

} // namespace

tl::expected<Placement, Refusal> place(TrafficWorker &worker, const ModelRoute &route,
                                       const PlacementRequest &request)
{
    Node &node = worker.node();
    const auto views = node.m_endpoints.views(route.m_endpoints);
    const auto index = choose(worker, views, request);
    if (!index) {
        Refusal refusal = refuseNotRun(
            RequestError::NoCapacity,
            fmt::format("no endpoint of model '{}' can take the request", request.m_model.str()));
        refusal.m_retryAfter = NoEndpointRetryAfter;
        return tl::unexpected(std::move(refusal));
    }
    const EndpointRoute &endpoint = route.m_endpoints[*index];
    node.m_endpoints.noteStarted(endpoint.m_id);
    return Placement{ endpoint.m_id, endpoint.m_address, 0 };
}

void endPlacement(TrafficWorker &worker, const Placement &placement, PlacementEnd end)
{
    EndpointTable &endpoints = worker.node().m_endpoints;
    endpoints.noteEnded(placement.m_endpoint);
    if (end == PlacementEnd::Complete)
        endpoints.noteSuccess(placement.m_endpoint);
    if (end == PlacementEnd::Failed)
        endpoints.noteFailure(placement.m_endpoint, Clock::now());
}

} // namespace stackquay
