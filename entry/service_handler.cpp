#include "entry/service_handler.h"

#include <algorithm>

#include <fmt/format.h>

#include "endpoint/endpoint.h"
#include "entry/completion_answer.h"
#include "entry/placement.h"
#include "entry/recorded_outcome.h"
#include "entry/request_context.h"
#include "entry/shutdown_refusal.h"

namespace stackquay {

namespace {

constexpr std::string_view ServicePrefix = "/service/";
constexpr Millis StoreRetryAfter{ 1'000 };
/// Longest time to record the outcome of a call before its client gets the response.
constexpr Millis ResolveTimeout{ 5'000 };

/// A parsed target "/service/NAME/path?query".
struct ServiceTarget {
    ServiceId m_service;
    std::string m_pathAndQuery; ///< Starts with a slash.
};

std::optional<ServiceTarget> parseTarget(std::string_view target)
{
    target.remove_prefix(ServicePrefix.size());
    const size_t end = target.find_first_of("/?");
    const std::string name(target.substr(0, end));
    if (name.empty())
        return std::nullopt;
    std::string rest(end == std::string_view::npos ? "" : target.substr(end));
    if (rest.empty() || rest.front() != '/')
        rest.insert(0, "/");
    return ServiceTarget{ ServiceId(name), std::move(rest) };
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::string_view Names[] = {
        "Connection", "Keep-Alive", "Host",   "Transfer-Encoding", "Upgrade",
        "TE",         "Trailer",    "Expect", "Content-Length",    "Authorization"
    };
    const HttpHeaders probe{ { std::string(name), "x" } };
    return std::any_of(std::begin(Names), std::end(Names),
                       [&](std::string_view hop) { return !findHeader(probe, hop).empty(); });
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    HttpHeaders kept;
    for (const HttpHeader &header : headers) {
        if (!isHopByHop(header.m_name))
            kept.push_back(header);
    }
    return kept;
}

/// One call and its attempts.
struct ServiceRun : ActiveRequest {
    ServiceRun(TrafficWorker &worker, HttpExchange &exchange, const RequestContext &context,
               const ServiceRoute &route, AnswerMemory &memory)
        : m_worker(worker)
        , m_exchange(exchange)
        , m_context(context)
        , m_route(route)
        , m_memory(memory)
    {
        m_worker.activeRequests().insert(this);
    }

    ~ServiceRun() override { m_worker.activeRequests().erase(this); }
    ServiceRun(const ServiceRun &) = delete;
    ServiceRun &operator=(const ServiceRun &) = delete;

    void shutDown() override { m_cancellation.cancel(); }

    /// The body of the call, which the exchange holds.
    const std::string &body() const { return m_exchange.request().m_body; }
    /// Waits for memory, while the response waits at its endpoint, until the deadline.
    bool holdResponse(size_t bytes)
    {
        return m_memory.resize(
            bytes, [this] { return !m_cancellation.cancelled() && Clock::now() < m_deadline; });
    }

    TrafficWorker &m_worker;
    HttpExchange &m_exchange;
    const RequestContext &m_context;
    const ServiceRoute &m_route;
    AnswerMemory &m_memory; ///< Of the response.
    HttpRequest m_request; ///< Without its body.
    bool m_repeatable = true;
    TimePoint m_deadline;
    std::vector<AttemptFacts> m_attempts;
    std::vector<EndpointId> m_excluded;
    ServiceCallCancellation m_cancellation;
};

std::optional<size_t> chooseEndpoint(ServiceRun &run)
{
    const auto views = run.m_worker.node().m_endpoints.views(run.m_route.m_endpoints);
    return chooseRoundRobin(run.m_worker.roundRobin(), views, run.m_excluded, Clock::now());
}

/// Whether this process cancelled the call, in which case the endpoint has not failed.
bool wasCancelled(const Error &error)
{
    return error.m_code == ErrorCode::Cancelled;
}

/// Whether the call ended for a reason that is not its endpoint's.
bool isOwnFailure(const Error &error)
{
    return wasCancelled(error) || error.m_code == ErrorCode::ResourceExhausted;
}

tl::expected<HttpResponse, ServiceFailure> attempt(ServiceRun &run, const EndpointRoute &endpoint)
{
    EndpointTable &endpoints = run.m_worker.node().m_endpoints;
    ServiceCall call;
    call.m_request = run.m_request;
    call.m_body = run.body();
    call.m_reserve = [&run](size_t bytes) { return run.holdResponse(bytes); };
    call.m_attempt = AttemptId(randomToken());
    call.m_repeatable = run.m_repeatable;
    call.m_timeout = timeLeft(run.m_deadline, Clock::now());
    run.m_worker.node().m_entryMetrics.countAttempt();
    endpoints.noteStarted(endpoint.m_id);
    auto response =
        callService(run.m_worker.pool(), endpoint.m_address, std::move(call), run.m_cancellation);
    endpoints.noteEnded(endpoint.m_id);
    if (response)
        endpoints.noteSuccess(endpoint.m_id);
    else if (!isOwnFailure(response.error().m_error))
        endpoints.noteFailure(endpoint.m_id, Clock::now());
    return response;
}

Refusal callFailure(const ServiceRun &run, const Error &error)
{
    Refusal refusal;
    refusal.m_outcome = requestOutcome(run.m_attempts);
    refusal.m_error = timeLeft(run.m_deadline, Clock::now()) == Duration::zero()
                          ? RequestError::DeadlineExceeded
                          : RequestError::EndpointFailed;
    refusal.m_message = error.m_message;
    return refusal;
}

bool mayRetry(ServiceRun &run, bool notRun)
{
    Node &node = run.m_worker.node();
    RetryQuery question;
    question.m_customer = run.m_context.m_customer->m_id;
    question.m_outcome = requestOutcome(run.m_attempts);
    question.m_repeatable = run.m_repeatable;
    question.m_anyByteSent = question.m_outcome != Outcome::RefusedNotRun;
    question.m_lastByteSent = !notRun;
    question.m_attemptsMade = static_cast<uint32_t>(run.m_attempts.size());
    question.m_deadline = run.m_deadline;
    question.m_backoff = node.m_admission.backoff(question.m_attemptsMade, run.m_worker.random());
    if (node.m_admission.mayRetry(question, Clock::now()) != RetryDecision::Retry)
        return false;
    node.m_entryMetrics.countRetry();
    return sleepFor(run.m_worker.thread().context(), question.m_backoff);
}

tl::expected<HttpResponse, Refusal> execute(ServiceRun &run)
{
    for (;;) {
        if (run.m_cancellation.cancelled() || threadStopping())
            return tl::unexpected(shutdownRefusal(requestOutcome(run.m_attempts)));
        const auto index = chooseEndpoint(run);
        if (!index) {
            Refusal refusal =
                callFailure(run, { ErrorCode::Unavailable, "no endpoint of the service" });
            refusal.m_error = RequestError::NoCapacity;
            return tl::unexpected(std::move(refusal));
        }
        const EndpointRoute &endpoint = run.m_route.m_endpoints[*index];
        auto response = attempt(run, endpoint);
        if (response)
            return std::move(*response);
        const ServiceFailure &failure = response.error();
        run.m_excluded.push_back(endpoint.m_id);
        const size_t sent = failure.m_notRun ? 0 : 1;
        run.m_attempts.push_back({ sent, EndpointReply::Nothing, false });
        if (wasCancelled(failure.m_error))
            return tl::unexpected(shutdownRefusal(requestOutcome(run.m_attempts)));
        if (!mayRetry(run, failure.m_notRun))
            return tl::unexpected(callFailure(run, failure.m_error));
    }
}

tl::expected<HttpResponse, Refusal> answerExistingClaim(const ClaimResult &result)
{
    switch (result.m_outcome) {
    case ClaimOutcome::InProgress:
        return tl::unexpected(refuseNotRun(RequestError::DuplicateInProgress,
                                           "a call with this idempotency key is in progress"));
    case ClaimOutcome::DifferentBody:
        return tl::unexpected(refuseNotRun(RequestError::InvalidRequest,
                                           "the idempotency key belongs to a different call"));
    case ClaimOutcome::Recorded:
        return decodeRecordedOutcome(result.m_recorded);
    case ClaimOutcome::Claimed:
    case ClaimOutcome::Freed:
    case ClaimOutcome::Refused:
        break;
    }
    Refusal refusal = refuseNotRun(RequestError::StoreUnavailable, result.m_error.m_message);
    refusal.m_retryAfter = StoreRetryAfter;
    return tl::unexpected(std::move(refusal));
}

/// Records the outcome for retries, or releases the claim if the call did not run.
void resolveClaim(Node &node, const ClaimHandle &claim,
                  const tl::expected<HttpResponse, Refusal> &outcome)
{
    const TimePoint deadline = Clock::now() + ResolveTimeout;
    const bool notRun = !outcome && outcome.error().m_outcome == Outcome::RefusedNotRun;
    const Status resolved =
        notRun ? node.m_claims.m_free(claim, deadline)
               : node.m_claims.m_record(claim, encodeRecordedOutcome(outcome), deadline);
    if (!resolved)
        log(LogPart::Entry)
            .warn("Claim could not be resolved. error={}", toString(resolved.error()));
}

/// Claims the idempotency key, runs the call if the claim succeeded, and records the outcome.
tl::expected<HttpResponse, Refusal> executeClaimed(ServiceRun &run)
{
    Node &node = run.m_worker.node();
    ClaimRequest request;
    request.m_customer = run.m_context.m_customer->m_id;
    request.m_key = run.m_context.m_idempotencyKey;
    request.m_bodyHash =
        hashKey(run.m_request.m_method + " " + run.m_request.m_target + "\n" + run.body());
    request.m_attempt = AttemptId(randomToken());
    request.m_retention = run.m_route.m_service.m_retention;
    request.m_deadline = run.m_deadline;
    const ClaimResult result = node.m_claims.m_claim(request);
    if (result.m_outcome != ClaimOutcome::Claimed)
        return answerExistingClaim(result);
    const ClaimHandle claim{ request.m_customer, request.m_key, request.m_attempt };
    auto outcome = execute(run);
    resolveClaim(node, claim, outcome);
    return outcome;
}

/// @p memory holds the response.
tl::expected<HttpResponse, Refusal> serve(TrafficWorker &worker, HttpExchange &exchange,
                                          const RequestId &id, AnswerMemory &memory)
{
    const HttpRequest &http = exchange.request();
    const TimePoint arrived = Clock::now();
    const auto context = makeRequestContext(http, id, worker.node().m_view.get(), arrived);
    if (!context)
        return tl::unexpected(context.error());
    const auto target = parseTarget(http.m_target);
    const ServiceRoute *route = target ? context->m_view->findService(target->m_service) : nullptr;
    if (!route)
        return tl::unexpected(
            refuseNotRun(RequestError::ServiceNotFound, "the service does not exist"));
    const bool repeatable = route->m_service.m_repeatable && context->m_repeatable;
    const TimePoint deadline =
        requestDeadline(worker.node().m_settings.m_deadlines, context->m_requestedDeadline,
                        LengthClass::Short, arrived);
    if (auto shutdown = refuseIfShuttingDown(worker.node(), deadline))
        return tl::unexpected(std::move(*shutdown));
    exchange.setAnswerDeadline(deadline);
    ServiceRun run(worker, exchange, *context, *route, memory);
    run.m_repeatable = repeatable;
    run.m_deadline = deadline;
    run.m_request.m_method = http.m_method;
    run.m_request.m_target = target->m_pathAndQuery;
    run.m_request.m_headers = endToEndHeaders(http.m_headers);
    if (!repeatable && !context->m_idempotencyKey.empty())
        return executeClaimed(run);
    return execute(run);
}

} // namespace

void handleService(TrafficWorker &worker, HttpExchange &exchange)
{
    const RequestId id(randomToken());
    AnswerMemory memory(exchange);
    auto response = serve(worker, exchange, id, memory);
    if (!response) {
        worker.node().m_entryMetrics.countOutcome(response.error().m_outcome);
        respondRefusal(exchange, id, response.error());
        return;
    }
    worker.node().m_entryMetrics.countOutcome(Outcome::Complete);
    response->m_headers = endToEndHeaders(response->m_headers);
    response->m_headers.push_back({ "Stackquay-Request-Id", id.str() });
    const Status sent = exchange.respond(*response);
    if (!sent)
        log(LogPart::Entry)
            .info("Client disconnected before the response was sent. request={}", id.str());
}

} // namespace stackquay
