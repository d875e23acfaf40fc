#include "entry/completion_handler.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "entry/completion_run.h"
#include "entry/shutdown_refusal.h"

namespace stackquay {

namespace {

/// Of a prompt, beside the body that it came in: parsed, in the attempt, and in its request.
constexpr size_t PromptCopies = 3;

Status checkModel(const RoutingView &view, const CompletionRequest &request)
{
    const ModelRoute *route = view.findModel(request.m_model);
    if (!route)
        return makeError(ErrorCode::NotFound,
                         fmt::format("model '{}' does not exist", request.m_model.str()));
    const auto &adapters = route->m_model.m_adapters;
    if (!request.m_adapter.empty()
        && std::find(adapters.begin(), adapters.end(), request.m_adapter) == adapters.end())
        return makeError(ErrorCode::NotFound,
                         fmt::format("model '{}' has no adapter '{}'", request.m_model.str(),
                                     request.m_adapter));
    return {};
}

/// Parses and validates the request, and refuses it if the model, the prompt length or a shutdown
/// rules it out.
/// @p memory holds the copies of the prompt.
tl::expected<AdmittedCompletion, Refusal> prepare(TrafficWorker &worker, const HttpRequest &http,
                                                  const RequestId &id, ApiShape shape,
                                                  TimePoint arrived, AnswerMemory &memory)
{
    const NodeSettings &settings = worker.node().m_settings;
    auto context = makeRequestContext(http, id, worker.node().m_view.get(), arrived);
    if (!context)
        return tl::unexpected(context.error());
    if (!memory.resize(PromptCopies * http.m_body.size(), {}))
        return tl::unexpected(refuseNotRun(RequestError::NoCapacity, "not enough memory"));
    auto request = parseCompletionRequest(shape, http.m_body);
    if (!request)
        return tl::unexpected(
            refuseNotRun(RequestError::InvalidRequest, request.error().m_message));
    const Status model = checkModel(*context->m_view, *request);
    if (!model)
        return tl::unexpected(refuseNotRun(RequestError::ModelNotFound, model.error().m_message));
    AdmittedCompletion admitted;
    admitted.m_promptTokens = estimateTokens(request->m_prompt.size());
    const uint64_t maxTokens = context->m_view->findModel(request->m_model)->m_model.m_maxTokens;
    if (admitted.m_promptTokens + request->m_maxTokens > maxTokens)
        return tl::unexpected(refuseNotRun(
            RequestError::PromptTooLong,
            fmt::format("prompt and 'max_tokens' have {} tokens in total, the model allows {}",
                        admitted.m_promptTokens + request->m_maxTokens, maxTokens)));
    admitted.m_length = lengthClass(admitted.m_promptTokens);
    admitted.m_deadline = requestDeadline(settings.m_deadlines, context->m_requestedDeadline,
                                          admitted.m_length, arrived);
    if (auto shutdown = refuseIfShuttingDown(worker.node(), admitted.m_deadline))
        return tl::unexpected(std::move(*shutdown));
    admitted.m_context = std::move(*context);
    admitted.m_request = std::move(*request);
    return admitted;
}

void runAdmitted(TrafficWorker &worker, HttpExchange &exchange, AdmittedCompletion admitted)
{
    Node &node = worker.node();
    const RequestId id = admitted.m_context.m_id;
    const CustomerId customer = admitted.m_context.m_customer->m_id;
    const auto prompt = static_cast<double>(admitted.m_promptTokens);
    const double tokens = prompt + static_cast<double>(admitted.m_request.m_maxTokens);
    const auto refusal = node.m_admission.admit(customer, tokens, Clock::now());
    if (refusal) {
        node.m_entryMetrics.countOutcome(refusal->m_outcome);
        respondRefusal(exchange, id, *refusal);
        return;
    }
    CompletionRun run(worker, exchange, std::move(admitted));
    worker.activeRequests().insert(&run);
    const Outcome outcome = run.execute();
    worker.activeRequests().erase(&run);
    node.m_entryMetrics.countOutcome(outcome);
    const double used = prompt + static_cast<double>(run.tokens());
    node.m_admission.finish(customer, tokens, used, outcome == Outcome::Complete, Clock::now());
}

} // namespace

void handleCompletion(TrafficWorker &worker, HttpExchange &exchange, ApiShape shape)
{
    const RequestId id(randomToken());
    AnswerMemory memory(exchange);
    auto admitted = prepare(worker, exchange.request(), id, shape, Clock::now(), memory);
    if (!admitted) {
        worker.node().m_entryMetrics.countOutcome(admitted.error().m_outcome);
        respondRefusal(exchange, id, admitted.error());
        return;
    }
    exchange.setAnswerDeadline(admitted->m_deadline);
    // The body may be megabytes, and the parsed prompt has replaced it.
    std::string().swap(exchange.request().m_body);
    runAdmitted(worker, exchange, std::move(*admitted));
}

void handleModels(TrafficWorker &worker, HttpExchange &exchange)
{
    const RequestId id(randomToken());
    const auto context =
        makeRequestContext(exchange.request(), id, worker.node().m_view.get(), Clock::now());
    if (!context) {
        respondRefusal(exchange, id, context.error());
        return;
    }
    nlohmann::json models = nlohmann::json::array();
    for (const Model &model : context->m_view->m_intent->m_models)
        models.push_back({ { "id", model.m_id.str() }, { "object", "model" } });
    const nlohmann::json body{ { "object", "list" }, { "data", models } };
    const Status sent =
        exchange.respond({ 200, { { "Content-Type", "application/json" } }, body.dump() });
    if (!sent)
        log(LogPart::Entry)
            .debug("Client disconnected before the response was sent. request={}", id.str());
}

} // namespace stackquay
