#include "entry/http_routes.h"

#include <fmt/format.h>

#include "entry/completion_answer.h"
#include "entry/completion_handler.h"
#include "entry/request_context.h"
#include "entry/service_handler.h"
#include "entry/shutdown_refusal.h"

namespace stackquay {

namespace {

constexpr std::string_view ServicePrefix = "/service/";

void respondText(HttpExchange &exchange, unsigned status, std::string text)
{
    const Status sent =
        exchange.respond({ status, { { "Content-Type", "text/plain" } }, std::move(text) });
    if (!sent)
        log(LogPart::Entry).debug("Client disconnected before the response was sent.");
}

void respondReady(const Node &node, HttpExchange &exchange)
{
    if (isDraining(node.drainPlan()))
        return respondText(exchange, 503, "draining\n");
    if (!node.m_view.get())
        return respondText(exchange, 503, "no configuration yet\n");
    respondText(exchange, 200, "ready\n");
}

void refuseRoute(HttpExchange &exchange, RequestError error, std::string message)
{
    respondRefusal(exchange, RequestId(randomToken()), refuseNotRun(error, std::move(message)));
}

void handleExtra(const Node &node, const ExtraRoute &route, HttpExchange &exchange)
{
    const auto refusal = refuseIfShuttingDown(node, Clock::now());
    if (refusal)
        return respondRefusal(exchange, RequestId(randomToken()), *refusal);
    route.m_handler(exchange);
}

void dispatch(TrafficWorker &worker, const std::vector<ExtraRoute> &extra, HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string_view path = request.path();
    if (path == "/v1/chat/completions" || path == "/v1/completions") {
        if (request.m_method != "POST")
            return refuseRoute(exchange, RequestError::InvalidRequest, "the method must be POST");
        const bool chat = path == "/v1/chat/completions";
        return handleCompletion(worker, exchange, chat ? ApiShape::Chat : ApiShape::Text);
    }
    if (path == "/v1/models")
        return handleModels(worker, exchange);
    if (path.substr(0, ServicePrefix.size()) == ServicePrefix)
        return handleService(worker, exchange);
    if (path == "/healthz")
        return respondText(exchange, 200, "ok\n");
    if (path == "/readyz")
        return respondReady(worker.node(), exchange);
    if (path == "/metrics")
        return respondText(exchange, 200, worker.node().m_metrics.exposition());
    for (const ExtraRoute &route : extra) {
        if (route.m_path == path)
            return handleExtra(worker.node(), route, exchange);
    }
    refuseRoute(exchange, RequestError::ServiceNotFound, fmt::format("no route '{}'", path));
}

} // namespace

HttpHandler makeRoutes(TrafficWorker &worker, std::vector<ExtraRoute> extra)
{
    return [&worker, extra = std::move(extra)](HttpExchange &exchange) {
        dispatch(worker, extra, exchange);
    };
}

} // namespace stackquay
