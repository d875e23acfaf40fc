/// The HTTP calls of the engine stand-in.
#include <algorithm>

#include "standin/engine_standin.h"

namespace stackquay::standin {

namespace {

constexpr std::string_view AdminPath = "/admin/";
constexpr std::string_view AttemptsPath = "/v1/attempts/";
constexpr std::string_view HandlesPath = "/handles/";
constexpr size_t EventsPerAnswer = 4096;

Json notRun(const std::string &reason)
{
    return { { "error", { { "code", "not_run" }, { "reason", reason } } } };
}

size_t sizeMember(const Json &body, const char *name)
{
    return static_cast<size_t>(std::max<int64_t>(intMember(body, name, 0), 0));
}

EngineRequest requestFromJson(const Json &body)
{
    EngineRequest request;
    request.m_attempt = textMember(body, "attempt");
    request.m_owner = textMember(body, "owner");
    request.m_handle = textMember(body, "handle");
    request.m_prompt = std::make_shared<const EnginePrompt>(
        readPrompt(body["prompt"].get_ref<const std::string &>()));
    request.m_maxTokens = sizeMember(body, "max_tokens");
    request.m_skip = sizeMember(body, "skip");
    request.m_priority = intMember(body, "priority", 0);
    request.m_prefillOnly = flagMember(body, "prefill_only");
    request.m_prefillLimit = sizeMember(body, "prefill_limit");
    return request;
}

Json toJson(const EngineStats &stats)
{
    return { { "accepted", stats.m_accepted },
             { "started", stats.m_started },
             { "completed", stats.m_completed },
             { "cancelled", stats.m_cancelled },
             { "resumed", stats.m_resumed },
             { "refused", stats.m_refused },
             { "tokens", stats.m_tokens },
             { "prefilled_tokens", stats.m_prefilledTokens },
             { "steps", stats.m_steps },
             { "max_running", stats.m_maxRunning },
             { "running", stats.m_running },
             { "waiting", stats.m_waiting },
             { "memory_used", stats.m_memoryUsed },
             { "memory_cached", stats.m_memoryCached },
             { "handles", stats.m_handles } };
}

/// What a handle holds, as it goes to another engine.
Json exportedState(const KvMemory &memory, const KvHandle &handle)
{
    const size_t computed = memory.computedBlocks(handle.m_blocks);
    std::vector<std::string> names;
    for (size_t i = 0; i < computed; ++i)
        names.push_back(blockNameText(handle.m_blocks[i]));
    return { { "start", handle.m_covered },
             { "start_name", blockNameText(handle.m_coveredName) },
             { "blocks", names } };
}

struct ImportedState {
    size_t m_start = 0;
    uint64_t m_startName = 0;
    std::vector<uint64_t> m_blocks;

    size_t end() const { return m_start + m_blocks.size() * BlockTokens; }
    uint64_t endName() const { return m_blocks.empty() ? m_startName : m_blocks.back(); }
};

uint64_t blockNameFromText(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 16);
}

std::optional<ImportedState> parseState(const Json &body)
{
    const auto blocks = body.find("blocks");
    if (blocks == body.end() || !blocks->is_array())
        return std::nullopt;
    ImportedState state;
    state.m_start = sizeMember(body, "start");
    state.m_startName = blockNameFromText(textMember(body, "start_name"));
    for (const Json &name : *blocks) {
        if (!name.is_string())
            return std::nullopt;
        state.m_blocks.push_back(blockNameFromText(name.get<std::string>()));
    }
    return state;
}

} // namespace

void EngineStandin::handle(HttpExchange &exchange)
{
    const std::string path(exchange.request().path());
    if (path.starts_with(AdminPath))
        return handleAdmin(exchange, path);
    if (!awaitAnswering(exchange))
        return exchange.abort();
    const std::string &method = exchange.request().m_method;
    if (method == "GET")
        return handleGet(exchange, path);
    if (method == "POST")
        return handlePost(exchange, path);
    if (method == "DELETE" && path.starts_with(HandlesPath))
        return handleRelease(exchange, path.substr(HandlesPath.size()));
    respondError(exchange, 404, "not_found");
}

/// Waits while the engine hangs. False if the caller gets no answer.
bool EngineStandin::awaitAnswering(HttpExchange &exchange)
{
    if (m_fault.m_mode != EngineFaultMode::Hang)
        return m_fault.m_mode != EngineFaultMode::Die;
    const auto hungUp = std::make_shared<bool>(false);
    exchange.onHangup([this, hungUp] {
        *hungUp = true;
        m_faultChanged.notifyAll();
    });
    while (m_fault.m_mode == EngineFaultMode::Hang) {
        if (!m_faultChanged.wait() || *hungUp)
            return false;
    }
    return m_fault.m_mode != EngineFaultMode::Die;
}

void EngineStandin::handleAdmin(HttpExchange &exchange, std::string_view path)
{
    const auto body = parseBody(exchange);
    if (!body) {
        respondError(exchange, 400, body.error().m_message);
        return;
    }
    if (path == "/admin/fault") {
        const auto mode = parseEngineFaultMode(textMember(*body, "mode"));
        if (!mode) {
            respondError(exchange, 400, mode.error().m_message);
            return;
        }
        applyFault({ *mode, intMember(*body, "count", 1), sizeMember(*body, "tokens"),
                     textMember(*body, "reason") });
    } else if (path != "/admin/stats") {
        respondError(exchange, 404, "not_found");
        return;
    }
    Json answer = toJson(m_batch.stats());
    answer["executions"] = m_batch.executions();
    answer["orders_applied"] = m_orders.m_applied;
    respondJson(exchange, 200, answer);
}

void EngineStandin::handleGet(HttpExchange &exchange, std::string_view path)
{
    if (path == "/load")
        return handleLoad(exchange);
    if (path == "/cache/events")
        return handleEvents(exchange);
    if (path == "/handles")
        return handleListHandles(exchange);
    if (path == "/state")
        return handleState(exchange);
    if (path.starts_with(AttemptsPath))
        return handleResume(exchange, std::string(path.substr(AttemptsPath.size())));
    respondError(exchange, 404, "not_found");
}

void EngineStandin::handlePost(HttpExchange &exchange, std::string_view path)
{
    if (path == "/kv/import")
        return handleImport(exchange);
    const auto body = parseBody(exchange);
    if (!body) {
        respondError(exchange, 400, "not_json");
        return;
    }
    if (path == "/v1/completions")
        return handleCompletion(exchange, *body);
    if (path == "/v1/cancel")
        return handleCancel(exchange, *body);
    if (path == "/handles")
        return handleReserve(exchange, *body);
    if (path == "/kv/export")
        return handleExport(exchange, *body);
    if (path == "/orders")
        return handleOrder(exchange, *body);
    respondError(exchange, 404, "not_found");
}

std::string EngineStandin::refusalReason(const Json &body) const
{
    if (m_fault.m_mode == EngineFaultMode::Refuse)
        return m_fault.m_reason.empty() ? "queue_full" : m_fault.m_reason;
    if (m_fault.m_mode == EngineFaultMode::Drain)
        return "draining";
    const bool served = serves(m_orders, textMember(body, "model"), textMember(body, "version"),
                               textMember(body, "adapter"));
    return served ? "" : "model_not_loaded";
}

void EngineStandin::refuse(HttpExchange &exchange, const std::string &reason)
{
    ++m_batch.counters().m_refused;
    respondJson(exchange, reason == "prompt_too_long" ? 413 : 503, notRun(reason));
}

void EngineStandin::handleCompletion(HttpExchange &exchange, const Json &body)
{
    const auto prompt = body.find("prompt");
    const bool valid = prompt != body.end() && prompt->is_string() && !prompt->empty()
                       && !textMember(body, "attempt").empty();
    if (!valid) {
        respondError(exchange, 400, "invalid_request");
        return;
    }
    const std::string reason = refusalReason(body);
    if (!reason.empty())
        return refuse(exchange, reason);
    const SubmitOutcome outcome = m_batch.submit(requestFromJson(body), Clock::now());
    if (!outcome.m_attempt)
        return refuse(exchange, outcome.m_reason);
    sampleLoad();
    m_work.notifyAll();
    exchange.request().m_body.clear();
    exchange.request().m_body.shrink_to_fit();
    stream(exchange, outcome.m_attempt, outcome.m_attempt->m_request.m_skip);
}

void EngineStandin::handleCancel(HttpExchange &exchange, const Json &body)
{
    const bool cancelled = m_batch.cancel(textMember(body, "attempt"));
    sampleLoad();
    m_work.notifyAll();
    respondJson(exchange, 200, { { "cancelled", cancelled } });
}

void EngineStandin::handleResume(HttpExchange &exchange, const std::string &attempt)
{
    const AttemptPtr found = m_batch.find(attempt);
    if (!found || found->m_state == AttemptState::Cancelled) {
        respondError(exchange, 404, "not_found");
        return;
    }
    ++m_batch.counters().m_resumed;
    const int64_t from = std::max<int64_t>(toInt(exchange.request().query("from"), 0), 0);
    stream(exchange, found, static_cast<size_t>(from));
}

void EngineStandin::handleLoad(HttpExchange &exchange)
{
    const LoadSample load = reportedLoad();
    respondJson(exchange, 200,
                { { "running", load.m_running },
                  { "waiting", load.m_waiting },
                  { "prefill_backlog_tokens", load.m_backlog },
                  { "memory_used", load.m_memoryUsed },
                  { "memory_total", m_batch.memory().total() },
                  { "age_ms", m_settings.m_reportLag.count() } });
}

void EngineStandin::handleEvents(HttpExchange &exchange)
{
    const int64_t from = std::max<int64_t>(toInt(exchange.request().query("from"), 0), 0);
    const TimePoint visible = Clock::now() - m_settings.m_eventLag;
    uint64_t next = static_cast<uint64_t>(from);
    Json events = Json::array();
    for (const CacheEvent &event : m_batch.memory().events()) {
        if (event.m_sequence < next)
            continue;
        if (event.m_at > visible || events.size() >= EventsPerAnswer)
            break;
        next = event.m_sequence + 1;
        if (m_settings.m_eventGapEvery > 0 && next % m_settings.m_eventGapEvery == 0)
            continue;
        events.push_back({ { "seq", event.m_sequence },
                           { "kind", event.m_stored ? "stored" : "evicted" },
                           { "block", blockNameText(event.m_block) } });
    }
    respondJson(exchange, 200, { { "next", next }, { "events", std::move(events) } });
}

void EngineStandin::handleOrder(HttpExchange &exchange, const Json &body)
{
    const EngineOrder order = orderFromJson(body);
    const OrderOutcome outcome = applyOrder(m_orders, order);
    if (outcome == OrderOutcome::StaleFence) {
        respondError(exchange, 409, "stale_fence");
        return;
    }
    if (outcome == OrderOutcome::Invalid) {
        respondError(exchange, 400, "invalid_order");
        return;
    }
    if (outcome == OrderOutcome::Loading && m_settings.m_loadTime == Millis(0))
        finishLoading(m_orders, order);
    else if (outcome == OrderOutcome::Loading)
        spawnFiber([this, order, epoch = m_epoch] {
            if (sleepFor(m_thread.context(), m_settings.m_loadTime) && epoch == m_epoch)
                finishLoading(m_orders, order);
        });
    respondJson(exchange, 200, { { "accepted", true } });
}

void EngineStandin::handleState(HttpExchange &exchange)
{
    respondJson(exchange, 200,
                { { "models", modelsToJson(m_orders) },
                  { "role", m_orders.m_role },
                  { "draining", m_fault.m_mode == EngineFaultMode::Drain },
                  { "fence", m_orders.m_fence },
                  { "memory_total", m_batch.memory().total() } });
}

void EngineStandin::handleListHandles(HttpExchange &exchange)
{
    expire(Clock::now());
    Json handles = Json::array();
    for (const auto &[id, handle] : m_batch.memory().handles())
        handles.push_back({ { "handle", id },
                            { "owner", handle.m_owner },
                            { "attempt", handle.m_attempt },
                            { "tokens", handle.m_tokens } });
    respondJson(exchange, 200, { { "handles", std::move(handles) } });
}

void EngineStandin::handleReserve(HttpExchange &exchange, const Json &body)
{
    expire(Clock::now());
    KvHandle handle;
    handle.m_id = randomToken();
    handle.m_owner = textMember(body, "owner");
    handle.m_attempt = textMember(body, "attempt");
    handle.m_tokens = sizeMember(body, "tokens");
    const Millis ttl(intMember(body, "ttl_ms", 0));
    const std::string id = handle.m_id;
    if (!m_batch.memory().addHandle(std::move(handle), ttl, Clock::now()))
        return refuse(exchange, "no_memory");
    m_expiry.notifyAll();
    sampleLoad();
    respondJson(exchange, 200, { { "handle", id } });
}

void EngineStandin::handleRelease(HttpExchange &exchange, const std::string &id)
{
    const bool removed = m_batch.removeHandle(id);
    sampleLoad();
    m_work.notifyAll();
    if (removed)
        respondJson(exchange, 200, Json::object());
    else
        respondError(exchange, 404, "not_found");
}

void EngineStandin::handleExport(HttpExchange &exchange, const Json &body)
{
    const KvHandle *handle = m_batch.memory().findHandle(textMember(body, "handle"));
    if (!handle) {
        respondError(exchange, 404, "not_found");
        return;
    }
    exchange.respond({ 200,
                       { { "Content-Type", "application/octet-stream" } },
                       exportedState(m_batch.memory(), *handle).dump() });
}

void EngineStandin::handleImport(HttpExchange &exchange)
{
    KvHandle *handle = m_batch.memory().findHandle(exchange.request().query("handle"));
    if (!handle) {
        respondError(exchange, 404, "not_found");
        return;
    }
    const auto body = parseBody(exchange);
    const auto state = body ? parseState(*body) : std::nullopt;
    if (!state) {
        respondError(exchange, 400, "invalid_state");
        return;
    }
    if (exchange.request().query("as") == "segment") {
        handle->m_covered = state->end();
        handle->m_coveredName = state->endName();
        respondJson(exchange, 200, { { "tokens", state->end() } });
        return;
    }
    const TimePoint now = Clock::now();
    if (state->m_start != handle->m_covered || state->m_startName != handle->m_coveredName) {
        respondError(exchange, 409, "wrong_prefix");
        return;
    }
    if (!m_batch.memory().takeInHandle(*handle, state->m_blocks, 0, now))
        return refuse(exchange, "no_memory");
    m_batch.memory().markComputed(state->m_blocks, now);
    respondJson(exchange, 200, { { "tokens", state->end() } });
}

} // namespace stackquay::standin
