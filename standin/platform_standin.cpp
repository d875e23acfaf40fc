#include "standin/platform_standin.h"

#include <array>

namespace stackquay::standin {

namespace {

constexpr size_t ValueBytesLimit = 1024 * 1024;
constexpr std::string_view ObjectsPath = "/objects/";
constexpr std::string_view AdminPath = "/admin/";
constexpr Millis DefaultWatchTimeout{ 30'000 };
constexpr Millis LongestWatchTimeout{ 60'000 };
constexpr int64_t DefaultLostWrites = 1;

struct ModeName {
    std::string_view m_name;
    PlatformFaultMode m_mode;
};

constexpr std::array ModeNames{
    ModeName{ "ok", PlatformFaultMode::Ok },
    ModeName{ "down", PlatformFaultMode::Down },
    ModeName{ "cut", PlatformFaultMode::Cut },
    ModeName{ "slow", PlatformFaultMode::Slow },
    ModeName{ "lose_answer", PlatformFaultMode::LoseAnswer },
    ModeName{ "lose_request", PlatformFaultMode::LoseRequest },
};

std::optional<uint64_t> ifVersion(const HttpRequest &request)
{
    const std::string_view value = findHeader(request.m_headers, "If-Version");
    if (value.empty())
        return std::nullopt;
    return static_cast<uint64_t>(toInt(value, -1));
}

bool isWrite(const HttpRequest &request)
{
    return request.m_method == "PUT" || request.m_method == "DELETE";
}

Json toJson(const std::vector<ObjectChange> &changes)
{
    Json events = Json::array();
    for (const ObjectChange &change : changes)
        events.push_back({ { "key", change.m_key },
                           { "version", change.m_version },
                           { "deleted", change.m_deleted } });
    return events;
}

} // namespace

Result<PlatformFaultMode> parsePlatformFaultMode(std::string_view name)
{
    for (const ModeName &mode : ModeNames) {
        if (mode.m_name == name)
            return mode.m_mode;
    }
    return makeError(ErrorCode::InvalidArgument, "unknown fault mode: " + std::string(name));
}

PlatformStandin::PlatformStandin(FiberThread &thread, PlatformSettings settings)
    : m_thread(thread)
    , m_server(thread, [this](HttpExchange &exchange) { handle(exchange); })
    , m_changed(thread.context())
    , m_reads(makeRateBucket(settings.m_readsPerSecond, Clock::now()))
    , m_writes(makeRateBucket(settings.m_writesPerSecond, Clock::now()))
    , m_vmsLag(settings.m_vmsLag)
{
    m_store.m_changesKept = settings.m_changesKept;
}

Result<Address> PlatformStandin::listen(const Address &address)
{
    return m_server.listen(address);
}

void PlatformStandin::setFault(PlatformFault fault)
{
    {
        const std::lock_guard lock(m_mutex);
        m_fault = fault;
    }
    wakeWatches();
}

void PlatformStandin::setVms(Json vms)
{
    const std::lock_guard lock(m_mutex);
    m_vms.push_back({ Clock::now(), std::move(vms) });
}

void PlatformStandin::setVmsLag(Millis lag)
{
    const std::lock_guard lock(m_mutex);
    m_vmsLag = lag;
}

void PlatformStandin::compact()
{
    const std::lock_guard lock(m_mutex);
    compactChanges(m_store);
}

PlatformStats PlatformStandin::stats() const
{
    const std::lock_guard lock(m_mutex);
    return m_stats;
}

std::optional<StoredObject> PlatformStandin::object(const std::string &key) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_store.m_objects.find(key);
    if (found == m_store.m_objects.end())
        return std::nullopt;
    return found->second;
}

std::vector<ListedObject> PlatformStandin::list(std::string_view prefix) const
{
    const std::lock_guard lock(m_mutex);
    return listObjects(m_store, prefix);
}

uint64_t PlatformStandin::put(const std::string &key, std::string value)
{
    uint64_t version = 0;
    {
        const std::lock_guard lock(m_mutex);
        version = putObject(m_store, key, std::move(value), std::nullopt).m_version;
    }
    wakeWatches();
    return version;
}

void PlatformStandin::wakeWatches()
{
    m_thread.post([this] { m_changed.notifyAll(); });
}

PlatformFault PlatformStandin::fault() const
{
    const std::lock_guard lock(m_mutex);
    return m_fault;
}

void PlatformStandin::handle(HttpExchange &exchange)
{
    if (!isRequestTarget(exchange.request().m_target)) {
        respondError(exchange, 400, "invalid_target");
        return;
    }
    const std::string path = percentDecode(exchange.request().path()).value_or("");
    if (path.starts_with(AdminPath))
        return handleAdmin(exchange, path);
    const PlatformFault now = fault();
    if (now.m_mode == PlatformFaultMode::Down)
        return refuse(exchange, 503);
    if (now.m_mode == PlatformFaultMode::Cut)
        return exchange.abort();
    if (now.m_mode == PlatformFaultMode::Slow && !sleepFor(m_thread.context(), now.m_delay))
        return;
    if (!takeRate(isWrite(exchange.request())))
        return refuse(exchange, 429);
    handleCall(exchange, path);
}

void PlatformStandin::refuse(HttpExchange &exchange, unsigned status)
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_stats.m_refused;
    }
    respondError(exchange, status, status == 429 ? "rate" : "down");
}

bool PlatformStandin::takeRate(bool write)
{
    const std::lock_guard lock(m_mutex);
    return takeToken(write ? m_writes : m_reads, Clock::now());
}

void PlatformStandin::handleCall(HttpExchange &exchange, std::string_view path)
{
    if (!isWrite(exchange.request()))
        return handleRead(exchange, path);
    if (!path.starts_with(ObjectsPath) || !validObjectKey(path.substr(ObjectsPath.size()))) {
        respondError(exchange, 400, "invalid_key");
        return;
    }
    handleWrite(exchange, std::string(path.substr(ObjectsPath.size())));
}

void PlatformStandin::handleRead(HttpExchange &exchange, std::string_view path)
{
    if (path == "/watch")
        return handleWatch(exchange);
    {
        const std::lock_guard lock(m_mutex);
        ++m_stats.m_reads;
    }
    if (path == "/list")
        return handleList(exchange);
    if (path == "/vms")
        return handleVms(exchange);
    if (path.starts_with(ObjectsPath))
        return handleGet(exchange, std::string(path.substr(ObjectsPath.size())));
    respondError(exchange, 404, "not_found");
}

void PlatformStandin::handleGet(HttpExchange &exchange, const std::string &key)
{
    auto found = object(key);
    if (!found) {
        respondError(exchange, 404, "not_found");
        return;
    }
    exchange.respond({ 200,
                       { { "Content-Type", "application/octet-stream" },
                         { "Object-Version", std::to_string(found->m_version) } },
                       std::move(found->m_value) });
}

void PlatformStandin::handleList(HttpExchange &exchange)
{
    Json answer;
    {
        const std::lock_guard lock(m_mutex);
        Json objects = Json::array();
        for (const ListedObject &listed : listObjects(m_store, exchange.request().query("prefix")))
            objects.push_back({ { "key", listed.m_key }, { "version", listed.m_version } });
        answer = { { "objects", std::move(objects) }, { "sequence", m_store.m_sequence } };
    }
    respondJson(exchange, 200, answer);
}

void PlatformStandin::handleVms(HttpExchange &exchange)
{
    Json answer = { { "age_ms", 0 }, { "vms", Json::array() } };
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint visible = Clock::now() - m_vmsLag;
        while (m_vms.size() > 1 && m_vms[1].m_setAt <= visible)
            m_vms.pop_front();
        answer["age_ms"] = m_vmsLag.count();
        if (!m_vms.empty())
            answer["vms"] = m_vms.front().m_vms;
    }
    respondJson(exchange, 200, answer);
}

void PlatformStandin::handleWatch(HttpExchange &exchange)
{
    const std::string prefix = exchange.request().query("prefix");
    const int64_t from = toInt(exchange.request().query("from"), -1);
    const Millis timeout(
        toInt(exchange.request().query("timeout_ms"), DefaultWatchTimeout.count()));
    const TimePoint until = Clock::now() + std::min(timeout, LongestWatchTimeout);
    const auto gone = std::make_shared<bool>(false);
    exchange.onHangup([gone, this] {
        *gone = true;
        m_changed.notifyAll();
    });
    {
        const std::lock_guard lock(m_mutex);
        ++m_stats.m_watches;
    }
    for (;;) {
        const PlatformFaultMode mode = fault().m_mode;
        if (mode == PlatformFaultMode::Down)
            return refuse(exchange, 503);
        if (*gone || mode == PlatformFaultMode::Cut)
            return exchange.abort();
        const TimePoint now = Clock::now();
        if (answerWatch(exchange, from, prefix, now >= until))
            return;
        if (!m_changed.waitFor(until - now))
            return exchange.abort();
    }
}

bool PlatformStandin::answerWatch(HttpExchange &exchange, int64_t from, std::string_view prefix,
                                  bool expired)
{
    std::unique_lock lock(m_mutex);
    if (from < 0 || !hasChangesSince(m_store, static_cast<uint64_t>(from))) {
        lock.unlock();
        respondError(exchange, 410, "gone");
        return true;
    }
    const auto changes = changesSince(m_store, static_cast<uint64_t>(from), prefix);
    const uint64_t sequence = m_store.m_sequence;
    lock.unlock();
    if (changes.empty() && !expired)
        return false;
    respondJson(exchange, 200, { { "sequence", sequence }, { "events", toJson(changes) } });
    return true;
}

bool PlatformStandin::takeLostWrite(PlatformFaultMode mode)
{
    const std::lock_guard lock(m_mutex);
    if (m_fault.m_mode != mode || m_fault.m_count <= 0)
        return false;
    if (--m_fault.m_count == 0)
        m_fault.m_mode = PlatformFaultMode::Ok;
    return true;
}

WriteOutcome PlatformStandin::applyWrite(const HttpRequest &request, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto condition = ifVersion(request);
    const bool put = request.m_method == "PUT";
    const WriteOutcome outcome = put ? putObject(m_store, key, request.m_body, condition)
                                     : deleteObject(m_store, key, condition);
    ++m_stats.m_writes;
    m_stats.m_conflicts += outcome.m_applied ? 0 : 1;
    return outcome;
}

void PlatformStandin::handleWrite(HttpExchange &exchange, const std::string &key)
{
    if (takeLostWrite(PlatformFaultMode::LoseRequest))
        return exchange.abort();
    if (exchange.request().m_body.size() > ValueBytesLimit) {
        respondError(exchange, 413, "too_large");
        return;
    }
    const WriteOutcome outcome = applyWrite(exchange.request(), key);
    if (outcome.m_applied)
        m_changed.notifyAll();
    if (takeLostWrite(PlatformFaultMode::LoseAnswer))
        return exchange.abort();
    const bool missing = exchange.request().m_method == "DELETE" && !outcome.m_found;
    const unsigned status = outcome.m_applied ? 200 : missing ? 404 : 409;
    respondJson(exchange, status, { { "version", outcome.m_version } });
}

void PlatformStandin::handleAdmin(HttpExchange &exchange, std::string_view path)
{
    const auto body = parseBody(exchange);
    if (!body) {
        respondError(exchange, 400, body.error().m_message);
        return;
    }
    if (path == "/admin/fault")
        return handleFault(exchange, *body);
    if (path == "/admin/vms") {
        if (body->contains("lag_ms"))
            setVmsLag(Millis(intMember(*body, "lag_ms", 0)));
        if (body->contains("vms"))
            setVms(body->at("vms"));
    } else if (path == "/admin/compact") {
        compact();
    } else if (path != "/admin/stats") {
        respondError(exchange, 404, "not_found");
        return;
    }
    const PlatformStats now = stats();
    respondJson(exchange, 200,
                { { "reads", now.m_reads },
                  { "writes", now.m_writes },
                  { "watches", now.m_watches },
                  { "conflicts", now.m_conflicts },
                  { "refused", now.m_refused } });
}

void PlatformStandin::handleFault(HttpExchange &exchange, const Json &body)
{
    const auto mode = parsePlatformFaultMode(textMember(body, "mode"));
    if (!mode) {
        respondError(exchange, 400, mode.error().m_message);
        return;
    }
    setFault({ *mode, Millis(intMember(body, "delay_ms", 0)),
               intMember(body, "count", DefaultLostWrites) });
    respondJson(exchange, 200, { { "mode", textMember(body, "mode") } });
}

} // namespace stackquay::standin
