#include "entry/steward_service.h"

#include "core/json_fields.h"
#include "entry/shards.h"

namespace stackquay {

namespace {

/// Longest wait of one call for a grant. The node then calls again, which detects a lost steward.
constexpr Millis WaitSlice{ 1'000 };
constexpr Millis ExpirePeriod{ 100 };
constexpr Millis PollPeriod{ 1'000 };
constexpr Millis PollTimeout{ 1'000 };
/// A started grant expires this long after its deadline, so that the last updates can still arrive.
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
    request.m_deadline = now + Micros(message.m_remainingUs);
    return request;
}

AttemptReport toReport(const GrantUpdate &message)
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

/// A pending AskGrant call that waits for the decision on one request.
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
    server.handle<AskGrant>([this](const AskGrant &message) { return handleAsk(message); });
    server.handle<GrantUpdate>(
        [this](const GrantUpdate &message) { return handleUpdate(message); });
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
        addManagedEndpoint(*route, models[id], versions[id]);
    std::vector<EndpointId> lost;
    for (const auto &[id, managed] : m_managedEndpoints) {
        if (routes.find(id) == routes.end())
            lost.push_back(id);
    }
    for (const EndpointId &id : lost)
        removeManagedEndpoint(id);
    releaseGrantsOfStoppedVms(serving);
}

void StewardService::addManagedEndpoint(const EndpointRoute &endpoint,
                                        const std::vector<ModelId> &models,
                                        const std::string &version)
{
    ManagedEndpoint &managed = m_managedEndpoints[endpoint.m_id];
    managed.m_address = endpoint.m_address;
    managed.m_facts.m_id = endpoint.m_id;
    managed.m_facts.m_models = models;
    managed.m_facts.m_version = version;
    managed.m_facts.m_draining = endpoint.m_draining || managed.m_reportedDraining;
    deliver(updateEndpoint(m_steward, managed.m_facts, Clock::now()));
}

void StewardService::removeManagedEndpoint(const EndpointId &endpoint)
{
    m_managedEndpoints.erase(endpoint);
    deliver(dropEndpoint(m_steward, endpoint, Clock::now()).m_decisions);
}

void StewardService::releaseGrantsOfStoppedVms(const std::set<VmId> &serving)
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

Result<GrantReply> StewardService::handleAsk(const AskGrant &message)
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
        // No call is pending for the request: the node calls again, or the grant expires.
        if (found == m_waiters.end())
            continue;
        found->second->m_reply = toReply(decision);
        found->second->m_timer.cancel();
    }
}

Result<GrantUpdateReply> StewardService::handleUpdate(const GrantUpdate &message)
{
    const TimePoint now = Clock::now();
    GrantUpdateReply reply;
    reply.m_known = m_steward.m_grants.find(message.m_grant) != m_steward.m_grants.end();
    switch (static_cast<GrantStep>(message.m_step)) {
    case GrantStep::Started:
        reply.m_known = stackquay::noteStarted(
            m_steward, message.m_grant, now, now + Micros(message.m_remainingUs) + DeadlineMargin);
        break;
    case GrantStep::ChunkDone:
        reply.m_chunkTokens =
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
    return reply;
}

void StewardService::expireLoop()
{
    while (sleepFor(m_thread.context(), ExpirePeriod))
        deliver(expire(m_steward, Clock::now()));
}

void StewardService::pollLoop()
{
    do {
        for (const auto &[id, managed] : m_managedEndpoints) {
            spawnFiber([this, id = id, address = managed.m_address] {
                pollState(id, address);
                pollCache(id, address);
            });
        }
    } while (sleepFor(m_thread.context(), PollPeriod));
}

void StewardService::pollState(const EndpointId &id, const Address &address)
{
    const auto response = m_pool.call(address, { "GET", "/state", {}, "" }, { PollTimeout });
    const auto managed = m_managedEndpoints.find(id);
    if (!response || managed == m_managedEndpoints.end())
        return;
    const Json state = parseJsonObject(response->m_body).value_or(Json());
    const auto memoryTokens = uintField(state, "memory_total");
    if (!memoryTokens)
        return;
    managed->second.m_facts.m_memoryTokens = *memoryTokens;
    const bool draining = boolField(state, "draining");
    if (draining != managed->second.m_reportedDraining && m_onDrainingChanged)
        m_onDrainingChanged(id, draining);
    managed->second.m_reportedDraining = draining;
    managed->second.m_facts.m_draining = managed->second.m_facts.m_draining || draining;
    deliver(updateEndpoint(m_steward, managed->second.m_facts, Clock::now()));
}

void StewardService::pollCache(const EndpointId &id, const Address &address)
{
    const auto entry = m_managedEndpoints.find(id);
    if (entry == m_managedEndpoints.end())
        return;
    const uint64_t from = entry->second.m_nextEvent;
    const HttpRequest request{ "GET", fmt::format("/cache/events?from={}", from), {}, "" };
    const auto response = m_pool.call(address, request, { PollTimeout });
    const auto managed = m_managedEndpoints.find(id);
    if (!response || managed == m_managedEndpoints.end())
        return;
    const Json answer = parseJsonObject(response->m_body).value_or(Json());
    const auto next = uintField(answer, "next");
    if (!next)
        return;
    managed->second.m_nextEvent = *next;
    for (const Json &event : arrayField(answer, "events")) {
        const auto block = parseBlockName(stringField(event, "block").value_or(""));
        if (block)
            noteCacheEvent(m_steward, id, *block, stringField(event, "kind") == "stored");
    }
}

} // namespace stackquay
