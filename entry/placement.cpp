#include "entry/placement.h"

#include <algorithm>

#include <fmt/format.h>

#include "entry/shards.h"
#include "entry/shutdown_refusal.h"

namespace stackquay {

namespace {

constexpr Millis NoEndpointRetryAfter{ 1'000 };
/// Longer than a steward's own wait slice; a steward that has not replied by then is considered
/// lost.
constexpr Millis AskTimeout{ 1'500 };
constexpr Millis UpdateTimeout{ 500 };
constexpr size_t MaxStewards = 3; ///< Stewards asked for one request.
constexpr uint32_t FallbackConcurrency = 4; ///< Attempts in flight per endpoint and node.

Refusal noEndpointRefusal(const PlacementRequest &request)
{
    Refusal refusal =
        refuseNotRun(RequestError::NoCapacity,
                     fmt::format("no endpoint of model '{}' is available", request.m_model.str()));
    refusal.m_retryAfter = NoEndpointRetryAfter;
    return refusal;
}

/// Sends an update without waiting for the reply. If it is lost, the steward's accounting is off
/// until the grant expires.
void sendGrantUpdate(TrafficWorker &worker, const Address &steward, GrantUpdate update)
{
    spawnFiber([&worker, steward, update = std::move(update)] {
        const auto reply = worker.peers().call(steward, update, UpdateTimeout);
        if (!reply)
            log(LogPart::Entry)
                .debug("Grant update was not delivered. steward={} error={}", toString(steward),
                       reply.error().m_message);
    });
}

std::optional<size_t> chooseByLocalPolicy(TrafficWorker &worker,
                                          const std::vector<EndpointView> &views,
                                          const PlacementRequest &request)
{
    const TimePoint now = Clock::now();
    if (worker.node().m_settings.m_policy == RoutingPolicy::RoundRobin)
        return chooseRoundRobin(worker.roundRobin(), views, request.m_excluded, now);
    return chooseLeastReported(views, request.m_excluded, now, worker.random());
}

tl::expected<Placement, Refusal> placeByLocalPolicy(TrafficWorker &worker, const ModelRoute &route,
                                                    const PlacementRequest &request)
{
    Node &node = worker.node();
    const auto views = node.m_endpoints.views(route.m_endpoints);
    const auto index = chooseByLocalPolicy(worker, views, request);
    if (!index)
        return tl::unexpected(noEndpointRefusal(request));
    const EndpointRoute &endpoint = route.m_endpoints[*index];
    return Placement{ endpoint.m_id, endpoint.m_address, 0, std::nullopt };
}

/// Without a steward, a node sees only its own share of the load, so it limits its attempts in
/// flight to FallbackConcurrency per endpoint.
tl::expected<Placement, Refusal> placeWithoutSteward(TrafficWorker &worker, const ModelRoute &route,
                                                     const PlacementRequest &request)
{
    Node &node = worker.node();
    node.m_entryMetrics.countFallback();
    const auto views = node.m_endpoints.views(route.m_endpoints);
    const auto index = choosePowerOfTwo(views, request.m_excluded, Clock::now(), worker.random());
    if (!index || views[*index].m_ownInFlight >= FallbackConcurrency)
        return tl::unexpected(noEndpointRefusal(request));
    const EndpointRoute &endpoint = route.m_endpoints[*index];
    return Placement{ endpoint.m_id, endpoint.m_address, 0, std::nullopt };
}

AskGrant toMessage(TrafficWorker &worker, const PlacementRequest &request)
{
    const TimePoint now = Clock::now();
    AskGrant message;
    message.m_request = request.m_request;
    message.m_attempt = request.m_attempt;
    message.m_holder = worker.node().m_settings.m_vm;
    message.m_customer = request.m_customer;
    message.m_model = request.m_model;
    message.m_priority = request.m_priority;
    message.m_weight = request.m_weight;
    message.m_need = request.m_need;
    message.m_excluded = request.m_excluded;
    message.m_waitedUs = toMicros(now - request.m_arrived);
    message.m_remainingUs = toMicros(request.m_deadline - now);
    return message;
}

/// A steward that can be asked for a grant.
struct StewardRoute {
    std::string m_shard;
    Address m_address;
    Duration m_predictedWait{};
};

Result<GrantReply> askSteward(TrafficWorker &worker, const PlacementRequest &request,
                              const StewardRoute &steward, bool mayWait)
{
    AskGrant message = toMessage(worker, request);
    message.m_shard = steward.m_shard;
    message.m_mayWait = mayWait;
    return worker.peers().call(steward.m_address, message, AskTimeout);
}

tl::expected<Placement, Refusal> toPlacement(const ModelRoute &route, const GrantReply &reply,
                                             const Address &steward)
{
    for (const EndpointRoute &endpoint : route.m_endpoints) {
        if (endpoint.m_id != reply.m_endpoint)
            continue;
        Placement placement{ endpoint.m_id, endpoint.m_address, reply.m_chunkTokens, std::nullopt };
        placement.m_grant = HeldGrant{ reply.m_grant, steward, reply.m_cachedTokens };
        return placement;
    }
    // The steward's routing view has another revision than ours; a later attempt finds them equal.
    return tl::unexpected(refuseNotRun(RequestError::NoCapacity,
                                       "the granted endpoint is not in this VM's configuration"));
}

Refusal toRefusal(const GrantReply &reply)
{
    Refusal refusal = refuseNotRun(static_cast<RequestError>(reply.m_error), reply.m_message);
    refusal.m_retryAfter = Millis(reply.m_retryAfterMs);
    return refusal;
}

std::vector<StewardRoute> stewardsFor(const RoutingView &view, const ModelRoute &route,
                                      const PlacementRequest &request, uint64_t spread)
{
    std::vector<StewardRoute> stewards;
    for (const std::string &shard : shardsForPrompt(route, request.m_need.m_prefix, spread)) {
        const PeerRoute *holder = shardHolder(view, shard);
        if (holder && stewards.size() < MaxStewards)
            stewards.push_back({ shard, holder->m_peer, {} });
    }
    return stewards;
}

/// Waits in the queue of one steward until it decides, the deadline passes or the wait is
/// cancelled.
tl::expected<Placement, Refusal> waitAtSteward(TrafficWorker &worker, const ModelRoute &route,
                                               const PlacementRequest &request,
                                               const StewardRoute &steward, PlacementWait &wait)
{
    wait.m_steward = steward.m_address;
    while (!wait.m_cancelled && Clock::now() < request.m_deadline) {
        const auto reply = askSteward(worker, request, steward, true);
        if (wait.m_cancelled || threadStopping())
            break;
        if (!reply) {
            log(LogPart::Entry)
                .debug("Steward does not reply; placing without it. steward={} error={}",
                       toString(steward.m_address), reply.error().m_message);
            return placeWithoutSteward(worker, route, request);
        }
        if (static_cast<GrantAnswer>(reply->m_answer) == GrantAnswer::Granted)
            return toPlacement(route, *reply, steward.m_address);
        if (static_cast<GrantAnswer>(reply->m_answer) != GrantAnswer::Waiting)
            return tl::unexpected(toRefusal(*reply));
    }
    if (threadStopping())
        return tl::unexpected(shutdownRefusal(Outcome::RefusedNotRun));
    return tl::unexpected(
        refuseNotRun(RequestError::DeadlineExceeded, "no endpoint was free before the deadline"));
}

tl::expected<Placement, Refusal> placeBySteward(TrafficWorker &worker, const ModelRoute &route,
                                                const PlacementRequest &request,
                                                PlacementWait &wait)
{
    const RoutingViewPtr view = worker.node().m_view.get();
    auto stewards = stewardsFor(*view, route, request, worker.random()());
    if (stewards.empty()) // No VM of the data centre can be a steward.
        return placeWithoutSteward(worker, route, request);
    if (stewards.size() == 1)
        return waitAtSteward(worker, route, request, stewards.front(), wait);
    // Asks first the shard whose engines may have the prompt's prefix in their cache. A steward
    // that would have to queue the request is skipped; if all would, the shortest predicted wait
    // decides.
    for (StewardRoute &steward : stewards) {
        const auto reply = askSteward(worker, request, steward, false);
        if (reply && static_cast<GrantAnswer>(reply->m_answer) == GrantAnswer::Granted)
            return toPlacement(route, *reply, steward.m_address);
        steward.m_predictedWait =
            reply ? Duration(Micros(reply->m_predictedWaitUs)) : Duration::max();
    }
    const auto best = std::min_element(stewards.begin(), stewards.end(),
                                       [](const StewardRoute &a, const StewardRoute &b) {
                                           return a.m_predictedWait < b.m_predictedWait;
                                       });
    return waitAtSteward(worker, route, request, *best, wait);
}

/// Whether the attempt ended by a refusal or a cancellation, neither of which counts as a failure.
bool isNotEndpointFault(AttemptEnd end)
{
    return end == AttemptEnd::NoMemory || end == AttemptEnd::QueueFull
           || end == AttemptEnd::Draining || end == AttemptEnd::ModelNotLoaded
           || end == AttemptEnd::Cancelled;
}

} // namespace

tl::expected<Placement, Refusal> place(TrafficWorker &worker, const ModelRoute &route,
                                       const PlacementRequest &request, PlacementWait &wait)
{
    const bool steward = worker.node().m_settings.m_policy == RoutingPolicy::Steward;
    auto placement = steward ? placeBySteward(worker, route, request, wait)
                             : placeByLocalPolicy(worker, route, request);
    wait.m_steward.reset();
    if (placement)
        worker.node().m_endpoints.noteStarted(placement->m_endpoint);
    return placement;
}

void cancelPlacement(TrafficWorker &worker, const RequestId &request, PlacementWait &wait)
{
    wait.m_cancelled = true;
    if (!wait.m_steward)
        return;
    GrantUpdate update;
    update.m_step = static_cast<uint32_t>(GrantStep::NotWaiting);
    update.m_request = request;
    sendGrantUpdate(worker, *wait.m_steward, std::move(update));
}

void endPlacement(TrafficWorker &worker, const Placement &placement, const AttemptReport &report)
{
    EndpointTable &endpoints = worker.node().m_endpoints;
    endpoints.noteEnded(placement.m_endpoint);
    if (report.m_end == AttemptEnd::Complete)
        endpoints.noteSuccess(placement.m_endpoint);
    else if (!isNotEndpointFault(report.m_end))
        endpoints.noteFailure(placement.m_endpoint, Clock::now());
    if (!placement.m_grant)
        return;
    GrantUpdate update;
    update.m_step = static_cast<uint32_t>(GrantStep::Finished);
    update.m_grant = placement.m_grant->m_id;
    update.m_end = static_cast<uint32_t>(report.m_end);
    update.m_cachedTokens = report.m_cachedTokens;
    update.m_prefillUs = toMicros(report.m_prefill);
    update.m_decodeUs = toMicros(report.m_decode);
    update.m_outputTokens = report.m_outputTokens;
    sendGrantUpdate(worker, placement.m_grant->m_steward, std::move(update));
}

void reportGrantStep(TrafficWorker &worker, const Placement &placement, GrantStep step,
                     Duration remaining)
{
    if (!placement.m_grant)
        return;
    GrantUpdate update;
    update.m_step = static_cast<uint32_t>(step);
    update.m_grant = placement.m_grant->m_id;
    update.m_remainingUs = toMicros(remaining);
    sendGrantUpdate(worker, placement.m_grant->m_steward, std::move(update));
}

uint64_t nextChunk(TrafficWorker &worker, const Placement &placement, uint64_t prefilledTokens)
{
    if (!placement.m_grant)
        return placement.m_chunkTokens;
    GrantUpdate update;
    update.m_step = static_cast<uint32_t>(GrantStep::ChunkDone);
    update.m_grant = placement.m_grant->m_id;
    update.m_prefilledTokens = prefilledTokens;
    const auto reply = worker.peers().call(placement.m_grant->m_steward, update, UpdateTimeout);
    return reply && reply->m_known ? reply->m_chunkTokens : placement.m_chunkTokens;
}

} // namespace stackquay
