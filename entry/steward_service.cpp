#include "entry/steward_service.h"

#include <nlohmann/json.hpp>

#include "entry/shards.h"

namespace stackquay {

namespace {

using Json = nlohmann::json;

/// How long one call waits for a grant; the node then asks again, so that a lost steward shows.
constexpr Millis WaitSlice{ 1'000 };
constexpr Millis ExpirePeriod{ 100 };
constexpr Millis PollPeriod{ 1'000 };
constexpr Millis PollTimeout{ 1'000 };
/// A started grant outlives its deadline by this, for the last messages to come in.
constexpr Millis DeadlineMargin{ 2'000 };

GrantReply toReply(const GrantDecision &decision)
{
    GrantReply reply;
    reply.m_answer = static_cast<uint32_t>(decision.m_answer);
    reply.m_endpoint = decision.m_endpoint;
    reply.m_grant = decision.m_grant.m_id;
    reply.m_cachedTokens = decision.m_grant.m_cachedTokens;
    reply.m_chunkTokens = decision.m_chunkTokens;
    reply.m_predictedWaitUs = toMicros(decision.m_predictedWait);
    reply.m_error = static_cast<uint32_t>(decision.m_refusal.m_error);
    reply.m_message = decision.m_refusal.m_message;
    reply.m_retryAfterMs = toMicros(decision.m_refusal.m_retryAfter) / 1'000;
    return reply;
}

GrantRequest toRequest(const AskGrant &message, TimePoint now)
{
    GrantRequest request;
    request.m_request = message.m_request;
    request.m_attempt = message.m_attempt;
    request.m_holder = message.m_holder;
    request.m_customer = message.m_customer;
    request.m_model = message.m_model;
    request.m_priority = message.m_priority;
    request.m_weight = message.m_weight;
    request.m_need = message.m_need;
    request.m_excluded = message.m_excluded;
    request.m_mayWait = message.m_mayWait;
    request.m_arrived = now - Micros(message.m_waitedUs);
    request.m_deadline = now + Micros(message.m_leftUs);
    return request;
}

AttemptReport toReport(const NoteGrant &message)
{
    AttemptReport report;
    report.m_end = static_cast<AttemptEnd>(message.m_end);
    report.m_cachedTokens = message.m_cachedTokens;
    report.m_prefill = Micros(message.m_prefillUs);
    report.m_decode = Micros(message.m_decodeUs);
    report.m_outputTokens = message.m_outputTokens;
    return report;
}

} // namespace

/// A node that waits in a call for the decision on one request.
struct StewardService::Waiter {
    explicit Waiter(boost::asio::io_context &context)
        : m_timer(context)
    { }

    ClockTimer m_timer;
    std::optional<GrantReply> m_reply;
};

StewardService::StewardService(Node &node, FiberThread &thread, PeerServer &server)
    : m_node(node)
    , m_thread(thread)
    , m_pool(thread.context())
    , m_random(std::random_device{}())
    , m_steward(makeSteward(node.owner()))
{
    server.handle<AskGrant>([this](const AskGrant &message) { return ask(message); });
    server.handle<NoteGrant>([this](const NoteGrant &message) { return note(message); });
}

StewardService::~StewardService() = default;

void StewardService::start()
{
    spawnFiber([this] { expireLoop(); });
    spawnFiber([this] { pollLoop(); });
}

void StewardService::update(const RoutingView &view, const std::set<VmId> &serving)
{
    m_shards.clear();
    std::map<EndpointId, std::vector<ModelId>> models;
    std::map<EndpointId, const EndpointRoute *> routes;
    std::map<EndpointId, std::string> versions;
    for (const auto &[model, route] : view.m_models) {
        setObjective(m_steward, model, route.m_model.m_objective);
        for (const EndpointRoute &endpoint : route.m_endpoints) {
            const PeerRoute *holder = shardHolder(view, endpoint.m_shard);
            if (!holder || holder->m_id != m_node.m_settings.m_vm)
                continue;
            m_shards.insert(endpoint.m_shard);
            models[endpoint.m_id].push_back(model);
            routes[endpoint.m_id] = &endpoint;
            versions[endpoint.m_id] = route.m_model.m_version;
        }
    }
    for (const auto &[id, route] : routes)
        takeOver(*route, models[id], versions[id]);
    std::vector<EndpointId> lost;
    for (const auto &[id, owned] : m_owned) {
        if (routes.find(id) == routes.end())
            lost.push_back(id);
    }
    for (const EndpointId &id : lost)
        giveUp(id);
    releaseOfDeadVms(serving);
}

void StewardService::takeOver(const EndpointRoute &endpoint, const std::vector<ModelId> &models,
                              const std::string &version)
{
    Owned &owned = m_owned[endpoint.m_id];
    owned.m_address = endpoint.m_address;
    owned.m_facts.m_id = endpoint.m_id;
    owned.m_facts.m_models = models;
    owned.m_facts.m_version = version;
    owned.m_facts.m_draining = endpoint.m_draining || owned.m_saidLeaving;
    deliver(updateEndpoint(m_steward, owned.m_facts, Clock::now()));
}

void StewardService::giveUp(const EndpointId &endpoint)
{
    m_owned.erase(endpoint);
    deliver(endpointLeft(m_steward, endpoint, Clock::now()).m_decisions);
}

void StewardService::releaseOfDeadVms(const std::set<VmId> &serving)
{
    std::vector<GrantId> orphans;
    for (const auto &[id, endpoint] : m_steward.m_endpoints) {
        for (const auto &[grantId, grant] : endpoint.m_ledger.m_grants) {
            if (serving.find(grant.m_holder) == serving.end())
                orphans.push_back(grantId);
        }
    }
    AttemptReport report;
    report.m_end = AttemptEnd::Cancelled;
    for (const GrantId &grant : orphans)
        deliver(noteFinished(m_steward, grant, report, Clock::now()));
}

Result<GrantReply> StewardService::ask(const AskGrant &message)
{
    if (m_shards.find(message.m_shard) == m_shards.end())
        return makeError(ErrorCode::NotFound, "this VM does not hold the shard");
    auto waiter = std::make_shared<Waiter>(m_thread.context());
    m_waiters[message.m_request] = waiter;
    const bool waits = m_steward.m_waiting.find(message.m_request) != m_steward.m_waiting.end();
    const TimePoint now = Clock::now();
    if (!waits)
        deliver(requestGrant(m_steward, toRequest(message, now), now, m_random));
    if (!waiter->m_reply) {
        boost::system::error_code ignored;
        waiter->m_timer.expires_after(WaitSlice);
        waiter->m_timer.async_wait(Yield{ ignored });
    }
    const auto entry = m_waiters.find(message.m_request);
    if (entry != m_waiters.end() && entry->second == waiter)
        m_waiters.erase(entry);
    if (waiter->m_reply)
        return std::move(*waiter->m_reply);
    GrantReply reply;
    reply.m_answer = static_cast<uint32_t>(GrantAnswer::Waiting);
    return reply;
}

void StewardService::deliver(const std::vector<GrantDecision> &decisions)
{
    for (const GrantDecision &decision : decisions) {
        if (decision.m_answer == GrantAnswer::Waiting)
            continue;
        const auto found = m_waiters.find(decision.m_request);
        // Nobody waits in a call just now: the grant expires, or the node asks again.
        if (found == m_waiters.end())
            continue;
        found->second->m_reply = toReply(decision);
        found->second->m_timer.cancel();
    }
}

Result<GrantNoted> StewardService::note(const NoteGrant &message)
{
    const TimePoint now = Clock::now();
    GrantNoted noted;
    noted.m_known = m_steward.m_grants.find(message.m_grant) != m_steward.m_grants.end();
    switch (static_cast<GrantStep>(message.m_step)) {
    case GrantStep::Started:
        noted.m_known = stackquay::noteStarted(m_steward, message.m_grant, now,
                                               now + Micros(message.m_leftUs) + DeadlineMargin);
        break;
    case GrantStep::ChunkDone:
        noted.m_chunkTokens =
            noteChunkDone(m_steward, message.m_grant, message.m_prefilledTokens, now);
        break;
    case GrantStep::FirstToken:
        deliver(noteFirstToken(m_steward, message.m_grant, now));
        break;
    case GrantStep::Finished:
        deliver(noteFinished(m_steward, message.m_grant, toReport(message), now));
        break;
    case GrantStep::NotWaiting:
        cancelWaiting(m_steward, message.m_request);
        if (const auto waiter = m_waiters.find(message.m_request); waiter != m_waiters.end())
            waiter->second->m_timer.cancel();
        break;
    }
    return noted;
}

void StewardService::expireLoop()
{
    while (sleepFor(m_thread.context(), ExpirePeriod))
        deliver(expire(m_steward, Clock::now()));
}

void StewardService::pollLoop()
{
    do {
        for (const auto &[id, owned] : m_owned) {
            spawnFiber([this, id = id, address = owned.m_address] {
                pollState(id, address);
                pollCache(id, address);
            });
        }
    } while (sleepFor(m_thread.context(), PollPeriod));
}

void StewardService::pollState(const EndpointId &id, const Address &address)
{
    const auto response = m_pool.call(address, { "GET", "/state", {}, "" }, { PollTimeout });
    const auto owned = m_owned.find(id);
    if (!response || owned == m_owned.end())
        return;
    const Json state = Json::parse(response->m_body, nullptr, false);
    if (!state.is_object())
        return;
    owned->second.m_facts.m_memoryTokens = state.value("memory_total", uint64_t(0));
    const bool leaving = state.value("draining", false);
    if (leaving != owned->second.m_saidLeaving && m_onLeaving)
        m_onLeaving(id, leaving);
    owned->second.m_saidLeaving = leaving;
    owned->second.m_facts.m_draining = owned->second.m_facts.m_draining || leaving;
    deliver(updateEndpoint(m_steward, owned->second.m_facts, Clock::now()));
}

void StewardService::pollCache(const EndpointId &id, const Address &address)
{
    const auto entry = m_owned.find(id);
    if (entry == m_owned.end())
        return;
    const uint64_t from = entry->second.m_nextEvent;
    const HttpRequest request{ "GET", fmt::format("/cache/events?from={}", from), {}, "" };
    const auto response = m_pool.call(address, request, { PollTimeout });
    const auto owned = m_owned.find(id);
    if (!response || owned == m_owned.end())
        return;
    const Json answer = Json::parse(response->m_body, nullptr, false);
    if (!answer.is_object() || !answer.contains("events"))
        return;
    owned->second.m_nextEvent = answer.value("next", from);
    for (const Json &event : answer["events"]) {
        const auto block = parseBlockName(event.value("block", std::string()));
        if (block)
            noteCacheEvent(m_steward, id, *block, event.value("kind", std::string()) == "stored");
    }
}

} // namespace stackquay
