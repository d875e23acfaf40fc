#include "entry/placement.h"

#include <algorithm>

#include <fmt/format.h>

#include "entry/ending.h"
#include "entry/shards.h"

namespace stackquay {

namespace {

constexpr Millis NoEndpointRetryAfter{ 1'000 };
/// A steward answers within its own wait slice, or is taken for lost.
constexpr Millis AskTimeout{ 1'500 };
constexpr Millis NoteTimeout{ 500 };
constexpr size_t MostStewards = 3; ///< Asked for one request.
constexpr uint32_t FallbackConcurrency = 4; ///< Per endpoint and node.

Refusal noEndpoint(const PlacementRequest &request)
{
    Refusal refusal = refuseNotRun(
        RequestError::NoCapacity,
        fmt::format("no endpoint of model '{}' can take the request", request.m_model.str()));
    refusal.m_retryAfter = NoEndpointRetryAfter;
    return refusal;
}

/// Sends a note without waiting. A lost one costs the steward's accuracy until the grant expires.
void sendNote(TrafficWorker &worker, const Address &steward, NoteGrant note)
{
    spawnFiber([&worker, steward, note = std::move(note)] {
        const auto noted = worker.peers().call(steward, note, NoteTimeout);
        if (!noted)
            log(LogPart::Entry)
                .debug("Note was lost. steward={} error={}", toString(steward),
                       noted.error().m_message);
    });
}

std::optional<size_t> choose(TrafficWorker &worker, const std::vector<EndpointView> &views,
                             const PlacementRequest &request)
{
    const TimePoint now = Clock::now();
    if (worker.node().m_settings.m_policy == RoutingPolicy::RoundRobin)
        return chooseRoundRobin(worker.roundRobin(), views, request.m_excluded, now);
    return chooseLeastReported(views, request.m_excluded, now, worker.random());
}

tl::expected<Placement, Refusal> placeAlone(TrafficWorker &worker, const ModelRoute &route,
                                            const PlacementRequest &request)
{
    Node &node = worker.node();
    const auto views = node.m_endpoints.views(route.m_endpoints);
    const auto index = choose(worker, views, request);
    if (!index)
        return tl::unexpected(noEndpoint(request));
    const EndpointRoute &endpoint = route.m_endpoints[*index];
    return Placement{ endpoint.m_id, endpoint.m_address, 0, std::nullopt };
}

/// Without a steward a node sees almost none of the load, so it takes little.
tl::expected<Placement, Refusal> placeWithoutSteward(TrafficWorker &worker, const ModelRoute &route,
                                                     const PlacementRequest &request)
{
    Node &node = worker.node();
    node.m_entryMetrics.countFallback();
    const auto views = node.m_endpoints.views(route.m_endpoints);
    const auto index = chooseBetterOfTwo(views, request.m_excluded, Clock::now(), worker.random());
    if (!index || views[*index].m_ownInFlight >= FallbackConcurrency)
        return tl::unexpected(noEndpoint(request));
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
    message.m_leftUs = toMicros(request.m_deadline - now);
    return message;
}

/// One steward that may be asked.
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
    // The steward's view is newer or older than ours; a later try will agree.
    return tl::unexpected(refuseNotRun(RequestError::NoCapacity, "endpoint is not known here"));
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
        if (holder && stewards.size() < MostStewards)
            stewards.push_back({ shard, holder->m_peer, {} });
    }
    return stewards;
}

/// Waits at one steward until it decides, the deadline passes or the wait is cancelled.
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
                .debug("Steward does not answer. steward={} error={}", toString(steward.m_address),
                       reply.error().m_message);
            return placeWithoutSteward(worker, route, request);
        }
        if (static_cast<GrantAnswer>(reply->m_answer) == GrantAnswer::Granted)
            return toPlacement(route, *reply, steward.m_address);
        if (static_cast<GrantAnswer>(reply->m_answer) != GrantAnswer::Waiting)
            return tl::unexpected(toRefusal(*reply));
    }
    if (threadStopping())
        return tl::unexpected(endingRefusal(Outcome::RefusedNotRun));
    return tl::unexpected(
        refuseNotRun(RequestError::DeadlineExceeded, "no endpoint was free before the deadline"));
}

tl::expected<Placement, Refusal> placeBySteward(TrafficWorker &worker, const ModelRoute &route,
                                                const PlacementRequest &request,
                                                PlacementWait &wait)
{
    const RoutingViewPtr view = worker.node().m_view.get();
    auto stewards = stewardsFor(*view, route, request, worker.random()());
    if (stewards.empty()) // No VM of the data centre stays.
        return placeWithoutSteward(worker, route, request);
    if (stewards.size() == 1)
        return waitAtSteward(worker, route, request, stewards.front(), wait);
    // The shard with the prompt's prefix first; a busy one is passed over.
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

bool isOwnRefusal(AttemptEnd end)
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
    auto placement =
        steward ? placeBySteward(worker, route, request, wait) : placeAlone(worker, route, request);
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
    NoteGrant note;
    note.m_step = static_cast<uint32_t>(GrantStep::NotWaiting);
    note.m_request = request;
    sendNote(worker, *wait.m_steward, std::move(note));
}

void endPlacement(TrafficWorker &worker, const Placement &placement, const AttemptReport &report)
{
    EndpointTable &endpoints = worker.node().m_endpoints;
    endpoints.noteEnded(placement.m_endpoint);
    if (report.m_end == AttemptEnd::Complete)
        endpoints.noteSuccess(placement.m_endpoint);
    else if (!isOwnRefusal(report.m_end))
        endpoints.noteFailure(placement.m_endpoint, Clock::now());
    if (!placement.m_grant)
        return;
    NoteGrant note;
    note.m_step = static_cast<uint32_t>(GrantStep::Finished);
    note.m_grant = placement.m_grant->m_id;
    note.m_end = static_cast<uint32_t>(report.m_end);
    note.m_cachedTokens = report.m_cachedTokens;
    note.m_prefillUs = toMicros(report.m_prefill);
    note.m_decodeUs = toMicros(report.m_decode);
    note.m_outputTokens = report.m_outputTokens;
    sendNote(worker, placement.m_grant->m_steward, std::move(note));
}

void notePlacement(TrafficWorker &worker, const Placement &placement, GrantStep step, Duration left)
{
    if (!placement.m_grant)
        return;
    NoteGrant note;
    note.m_step = static_cast<uint32_t>(step);
    note.m_grant = placement.m_grant->m_id;
    note.m_leftUs = toMicros(left);
    sendNote(worker, placement.m_grant->m_steward, std::move(note));
}

uint64_t nextChunk(TrafficWorker &worker, const Placement &placement, uint64_t prefilledTokens)
{
    if (!placement.m_grant)
        return placement.m_chunkTokens;
    NoteGrant note;
    note.m_step = static_cast<uint32_t>(GrantStep::ChunkDone);
    note.m_grant = placement.m_grant->m_id;
    note.m_prefilledTokens = prefilledTokens;
    const auto noted = worker.peers().call(placement.m_grant->m_steward, note, NoteTimeout);
    return noted && noted->m_known ? noted->m_chunkTokens : placement.m_chunkTokens;
}

} // namespace stackquay
