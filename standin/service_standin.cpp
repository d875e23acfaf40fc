#include "standin/service_standin.h"

#include <array>

namespace stackquay::standin {

namespace {

constexpr std::string_view AdminPath = "/admin/";
constexpr const char *AttemptHeader = "Stackquay-Attempt-Id";
constexpr const char *KeyHeader = "Idempotency-Key";
constexpr const char *NotRunHeader = "Stackquay-Not-Run";

struct ModeName {
    std::string_view m_name;
    ServiceFaultMode m_mode;
};

constexpr std::array ModeNames{
    ModeName{ "ok", ServiceFaultMode::Ok },
    ModeName{ "lose_answer", ServiceFaultMode::LoseAnswer },
    ModeName{ "lose_request", ServiceFaultMode::LoseRequest },
    ModeName{ "refuse", ServiceFaultMode::Refuse },
    ModeName{ "hang", ServiceFaultMode::Hang },
};

std::string attemptOf(const HttpRequest &request)
{
    return std::string(findHeader(request.m_headers, AttemptHeader));
}

} // namespace

Result<ServiceFaultMode> parseServiceFaultMode(std::string_view name)
{
    for (const ModeName &mode : ModeNames) {
        if (mode.m_name == name)
            return mode.m_mode;
    }
    return makeError(ErrorCode::InvalidArgument, "unknown fault mode: " + std::string(name));
}

ServiceStandin::ServiceStandin(FiberThread &thread, ServiceSettings settings)
    : m_thread(thread)
    , m_settings(settings)
    , m_server(thread, [this](HttpExchange &exchange) { handle(exchange); })
    , m_faultChanged(thread.context())
{ }

Result<Address> ServiceStandin::listen(const Address &address)
{
    return m_server.listen(address);
}

void ServiceStandin::setFault(ServiceFault fault)
{
    {
        const std::lock_guard lock(m_mutex);
        m_fault = fault;
    }
    m_thread.post([this] { m_faultChanged.notifyAll(); });
}

ServiceStats ServiceStandin::stats() const
{
    const std::lock_guard lock(m_mutex);
    return m_stats;
}

ServiceFaultMode ServiceStandin::mode() const
{
    const std::lock_guard lock(m_mutex);
    return m_fault.m_mode;
}

bool ServiceStandin::takeFault(ServiceFaultMode mode)
{
    const std::lock_guard lock(m_mutex);
    if (m_fault.m_mode != mode)
        return false;
    if (m_fault.m_count > 0 && --m_fault.m_count == 0)
        m_fault.m_mode = ServiceFaultMode::Ok;
    return true;
}

void ServiceStandin::handle(HttpExchange &exchange)
{
    const std::string path(exchange.request().path());
    if (path.starts_with(AdminPath))
        return handleAdmin(exchange, path);
    if (!awaitAnswering(exchange))
        return exchange.abort();
    handleCall(exchange);
}

/// Waits while the service hangs. False if the caller left meanwhile: its call doesn't run.
bool ServiceStandin::awaitAnswering(HttpExchange &exchange)
{
    if (mode() != ServiceFaultMode::Hang)
        return true;
    const auto hungUp = std::make_shared<bool>(false);
    exchange.onHangup([this, hungUp] {
        *hungUp = true;
        m_faultChanged.notifyAll();
    });
    while (mode() == ServiceFaultMode::Hang) {
        if (!m_faultChanged.wait() || *hungUp)
            return false;
    }
    return true;
}

void ServiceStandin::handleCall(HttpExchange &exchange)
{
    if (takeFault(ServiceFaultMode::Refuse))
        return refuse(exchange);
    if (takeFault(ServiceFaultMode::LoseRequest))
        return exchange.abort();
    const bool loses = takeFault(ServiceFaultMode::LoseAnswer);
    if (m_settings.m_serviceTime > Millis(0)
        && !sleepFor(m_thread.context(), m_settings.m_serviceTime))
        return exchange.abort();
    execute(exchange.request());
    if (loses)
        return exchange.abort();
    answer(exchange);
}

void ServiceStandin::execute(const HttpRequest &request)
{
    const std::string_view key = findHeader(request.m_headers, KeyHeader);
    const std::string attempt = attemptOf(request);
    const std::lock_guard lock(m_mutex);
    ++m_stats.m_total;
    if (!key.empty())
        ++m_stats.m_executions[std::string(key)];
    if (!attempt.empty())
        ++m_stats.m_attempts[attempt];
}

void ServiceStandin::refuse(HttpExchange &exchange)
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_stats.m_refused;
    }
    exchange.respond(
        { 503, { { NotRunHeader, "yes" }, { AttemptHeader, attemptOf(exchange.request()) } }, "" });
}

/// Echoes the body.
void ServiceStandin::answer(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    HttpHeaders headers{ { AttemptHeader, attemptOf(request) } };
    const std::string_view type = findHeader(request.m_headers, "Content-Type");
    if (!type.empty())
        headers.push_back({ "Content-Type", std::string(type) });
    exchange.respond({ 200, std::move(headers), request.m_body });
}

void ServiceStandin::handleAdmin(HttpExchange &exchange, std::string_view path)
{
    const auto body = parseBody(exchange);
    if (!body) {
        respondError(exchange, 400, body.error().m_message);
        return;
    }
    if (path == "/admin/fault") {
        const auto mode = parseServiceFaultMode(textMember(*body, "mode"));
        if (!mode) {
            respondError(exchange, 400, mode.error().m_message);
            return;
        }
        setFault({ *mode, intMember(*body, "count", 0) });
    } else if (path != "/admin/stats") {
        respondError(exchange, 404, "not_found");
        return;
    }
    const ServiceStats now = stats();
    respondJson(exchange, 200,
                { { "total", now.m_total },
                  { "refused", now.m_refused },
                  { "executions", now.m_executions },
                  { "attempts", now.m_attempts } });
}

} // namespace stackquay::standin
