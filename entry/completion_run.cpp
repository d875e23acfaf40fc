#include "entry/completion_run.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "entry/shutdown_refusal.h"

namespace stackquay {

namespace {

constexpr Millis CancelTimeout{ 2'000 };
constexpr Millis CancelRetryDelay{ 200 };
constexpr int MaxCancelAttempts = 3;

/// Cancels an abandoned attempt, which frees its memory on the engine. Runs in a fiber of its own.
void cancelAtEngine(TrafficWorker &worker, const Address &address, const AttemptId &attempt)
{
    for (int i = 0; i < MaxCancelAttempts; ++i) {
        if (stackquay::cancelAttempt(worker.pool(), address, attempt, CancelTimeout))
            return;
        if (!sleepFor(worker.thread().context(), CancelRetryDelay))
            return;
    }
    log(LogPart::Entry)
        .warn("Attempt could not be cancelled. attempt={} engine={}", attempt.str(),
              toString(address));
}

/// Maps the reason of an engine's refusal to the end that is reported to the steward.
AttemptEnd attemptEndFor(std::string_view reason)
{
    if (reason == "no_memory")
        return AttemptEnd::NoMemory;
    if (reason == "queue_full")
        return AttemptEnd::QueueFull;
    if (reason == "draining")
        return AttemptEnd::Draining;
    if (reason == "model_not_loaded")
        return AttemptEnd::ModelNotLoaded;
    return AttemptEnd::Failed;
}

} // namespace

CompletionRun::CompletionRun(TrafficWorker &worker, HttpExchange &exchange,
                             AdmittedCompletion admitted)
    : m_worker(worker)
    , m_exchange(exchange)
    , m_admitted(std::move(admitted))
    , m_route(m_admitted.m_context.m_view->findModel(m_admitted.m_request.m_model))
    , m_answer(exchange, m_admitted.m_request, m_admitted.m_context.m_id, m_admitted.m_promptTokens)
{
    m_need.m_promptTokens = m_admitted.m_promptTokens;
    m_need.m_outputTokens = m_admitted.m_request.m_maxTokens;
    m_need.m_prefix = prefixBlocks(m_admitted.m_request.m_prompt);
}

Outcome CompletionRun::execute()
{
    const RequestChart &chart = m_worker.node().m_requestChart;
    RequestChartInstance instance(chart);
    m_exchange.onHangup([this] { onHangup(); });
    instance.start(chart, *this);
    while (!instance.finished(chart)) {
        const RequestEvent event = step(instance.state());
        instance.dispatch(chart, event, *this);
    }
    if (instance.state() == RequestState::Abandoned)
        m_exchange.abort();
    if (instance.state() == RequestState::Complete)
        return Outcome::Complete;
    return requestOutcome(m_attempts);
}

RequestEvent CompletionRun::step(RequestState state)
{
    if (m_clientDisconnected)
        return RequestEvent::HungUp;
    if (deadlinePassed())
        return handleDeadline();
    switch (state) {
    case RequestState::Placing:
        return place();
    case RequestState::Prefilling:
        return prefill();
    case RequestState::Sending:
        return send();
    case RequestState::Streaming:
        return stream();
    case RequestState::Resuming:
        return resume();
    case RequestState::BackingOff:
        return backOff();
    case RequestState::Complete:
    case RequestState::Failed:
    case RequestState::Refused:
    case RequestState::Abandoned:
        break;
    }
    std::abort();
}

RequestEvent CompletionRun::handleDeadline()
{
    m_report.m_end = AttemptEnd::Cancelled;
    if (m_deadlineError == RequestError::ShuttingDown)
        fail(m_deadlineError, "this VM is shutting down");
    else
        fail(m_deadlineError, "the deadline has passed");
    return RequestEvent::DeadlinePassed;
}

void CompletionRun::shutDown()
{
    m_deadlineError = RequestError::ShuttingDown;
    m_admitted.m_deadline = Clock::now();
    cancelWaits();
}

void CompletionRun::cancelWaits()
{
    cancelPlacement(m_worker, m_admitted.m_context.m_id, m_wait);
    for (const auto &stream : { m_stream.get(), m_prefillStream.get() }) {
        if (stream)
            stream->cancel();
    }
}

RequestEvent CompletionRun::place()
{
    newAttempt();
    const RequestContext &context = m_admitted.m_context;
    PlacementRequest request;
    request.m_request = context.m_id;
    request.m_attempt = m_attempt;
    request.m_customer = context.m_customer->m_id;
    request.m_model = m_admitted.m_request.m_model;
    request.m_priority = context.m_priority;
    request.m_weight = context.m_customer->m_share;
    request.m_need = m_need;
    request.m_deadline = m_admitted.m_deadline;
    request.m_excluded = m_excluded;
    request.m_arrived = context.m_arrived;
    auto placement = stackquay::place(m_worker, *m_route, request, m_wait);
    if (m_clientDisconnected && !placement)
        return RequestEvent::HungUp;
    if (!placement && m_deadlineError == RequestError::ShuttingDown)
        return handleDeadline();
    if (!placement) {
        m_refusal = placement.error();
        return RequestEvent::NoEndpoint;
    }
    m_placement = std::move(*placement);
    m_report = AttemptReport();
    m_report.m_end = AttemptEnd::Failed;
    m_prefilled = m_placement->m_grant ? m_placement->m_grant->m_cachedTokens : 0;
    reportGrantStep(m_worker, *m_placement, GrantStep::Started, timeout());
    return RequestEvent::Granted;
}

RequestEvent CompletionRun::prefill()
{
    EngineAttempt attempt = makeAttempt();
    attempt.m_prefillOnly = true;
    attempt.m_prefillLimit = m_placement->m_chunkTokens;
    attempt.m_attempt = AttemptId(randomToken());
    m_prefillStream = std::make_unique<EngineStream>(m_worker.pool(), m_placement->m_address);
    markRunning(attempt.m_attempt);
    const auto started = m_prefillStream->start(attempt, timeout());
    if (!started)
        return handleStartFailure(started.error());
    const auto frame = m_prefillStream->next(timeout());
    const auto *prefilled = frame ? std::get_if<PrefillFrame>(&*frame) : nullptr;
    if (!prefilled)
        return handleStreamFailure(frame ? Error{ ErrorCode::ProtocolError, "no prefill frame" }
                                         : frame.error());
    m_prefillStream->release();
    m_prefillStream.reset();
    m_mayBeRunning = false;
    if (prefilled->m_prefilled == 0)
        return RequestEvent::Prefilled; // The cache is full: the attempt prefills the rest.
    m_prefilled = prefilled->m_cached + prefilled->m_prefilled;
    m_placement->m_chunkTokens = nextChunk(m_worker, *m_placement, m_prefilled);
    return needsChunks() ? RequestEvent::ChunkDone : RequestEvent::Prefilled;
}

RequestEvent CompletionRun::send()
{
    m_worker.node().m_entryMetrics.countAttempt();
    m_stream = std::make_unique<EngineStream>(m_worker.pool(), m_placement->m_address);
    markRunning(m_attempt);
    const auto started = m_stream->start(makeAttempt(), timeout());
    if (!started)
        return handleStartFailure(started.error());
    m_attempts.push_back({ 1, EndpointReply::Nothing, true });
    return RequestEvent::Started;
}

RequestEvent CompletionRun::handleStartFailure(const StartFailure &failure)
{
    m_mayBeRunning = !failure.m_notRun;
    if (m_clientDisconnected)
        return RequestEvent::HungUp;
    AttemptFacts facts;
    facts.m_bytesSent = failure.m_notRun && failure.m_reason.empty() ? 0 : 1;
    facts.m_reply = failure.m_notRun ? EndpointReply::NotRun : EndpointReply::Nothing;
    facts.m_replyMatchesAttempt = true;
    m_attempts.push_back(facts);
    if (checkShutdown(failure.m_error))
        return handleDeadline();
    m_report.m_end = attemptEndFor(failure.m_reason);
    if (failure.m_error.m_code == ErrorCode::InvalidArgument) {
        fail(RequestError::PromptTooLong, failure.m_error.m_message);
        return RequestEvent::Rejected;
    }
    fail(failure.m_reason.empty() ? RequestError::EndpointFailed : RequestError::NoCapacity,
         failure.m_error.m_message);
    m_excluded.push_back(m_placement->m_endpoint);
    return failure.m_notRun ? RequestEvent::NotRun : RequestEvent::Lost;
}

RequestEvent CompletionRun::stream()
{
    const Duration idle = m_worker.node().m_settings.m_streamIdleTimeout;
    for (;;) {
        // Before the first token, the prefill may take until the deadline.
        const auto frame = m_stream->next(m_firstToken ? timeout(idle) : timeout());
        if (!frame)
            return handleStreamFailure(frame.error());
        if (const auto *final = std::get_if<FinalFrame>(&*frame))
            return finish(*final);
        const auto *tokens = std::get_if<TokenFrame>(&*frame);
        if (!tokens)
            return handleStreamFailure({ ErrorCode::ProtocolError, "unexpected prefill frame" });
        if (!forwardTokens(*tokens) || m_clientDisconnected)
            return RequestEvent::HungUp;
        if (deadlinePassed())
            return handleStreamFailure({ ErrorCode::DeadlineExceeded, "the deadline has passed" });
    }
}

RequestEvent CompletionRun::handleStreamFailure(const Error &error)
{
    if (m_clientDisconnected)
        return RequestEvent::HungUp;
    if (!m_stream)
        m_attempts.push_back({ 1, EndpointReply::Nothing, true });
    if (checkShutdown(error) || deadlinePassed())
        return handleDeadline();
    m_engineSilent = error.m_code == ErrorCode::DeadlineExceeded;
    log(LogPart::Entry)
        .info("Engine stream was interrupted. request={} engine={} at={} error={}",
              m_admitted.m_context.m_id.str(), m_placement->m_endpoint.str(), m_position,
              toString(error));
    fail(RequestError::AnswerCut, error.m_message);
    if (!m_stream) {
        m_excluded.push_back(m_placement->m_endpoint);
        return RequestEvent::Lost;
    }
    return RequestEvent::Cut;
}

/// Cancelled means that this process interrupted the wait, so the engine has not failed.
bool CompletionRun::checkShutdown(const Error &error)
{
    if (error.m_code == ErrorCode::Cancelled)
        m_deadlineError = RequestError::ShuttingDown;
    return error.m_code == ErrorCode::Cancelled;
}

void CompletionRun::markRunning(const AttemptId &attempt)
{
    m_runningAttempt = attempt;
    m_mayBeRunning = true;
}

bool CompletionRun::forwardTokens(const TokenFrame &frame)
{
    noteFirstToken();
    m_resumeAttempts = 0;
    m_answer.append(frame);
    m_position = frame.m_index + frame.m_count;
    m_attempts.back().m_reply = EndpointReply::Partial;
    m_worker.node().m_entryMetrics.countTokens(frame.m_count);
    // Frames that have already been received are sent with the same write.
    return m_stream->ready() || m_answer.flush().has_value();
}

RequestEvent CompletionRun::finish(const FinalFrame &frame)
{
    noteFirstToken();
    m_mayBeRunning = false;
    m_report.m_end = AttemptEnd::Complete;
    m_report.m_cachedTokens = frame.m_cached;
    m_report.m_prefill = frame.m_prefill;
    m_report.m_decode = Clock::now() - m_firstTokenAt;
    m_report.m_outputTokens = frame.m_tokens;
    m_attempts.back().m_reply = EndpointReply::Whole;
    if (!m_answer.finish(frame))
        return RequestEvent::HungUp;
    m_stream->release();
    return RequestEvent::Finished;
}

RequestEvent CompletionRun::resume()
{
    Node &node = m_worker.node();
    const auto excludeEngine = [&] {
        m_excluded.push_back(m_placement->m_endpoint);
        return RequestEvent::Gone;
    };
    while (!m_clientDisconnected && !deadlinePassed()) {
        if (m_resumeAttempts >= node.m_settings.m_maxResumeAttempts && mayLeaveEngine())
            return excludeEngine();
        ++m_resumeAttempts;
        node.m_entryMetrics.countResume();
        const Status resumed = m_stream->resume(timeout(node.m_settings.m_connectTimeout));
        if (resumed)
            return RequestEvent::Resumed;
        if (m_clientDisconnected)
            return RequestEvent::HungUp;
        if (checkShutdown(resumed.error()))
            return handleDeadline();
        m_engineSilent = resumed.error().m_code == ErrorCode::DeadlineExceeded;
        if (resumed.error().m_code == ErrorCode::NotFound) {
            m_mayBeRunning = false;
            return excludeEngine();
        }
    }
    return excludeEngine();
}

bool CompletionRun::mayLeaveEngine()
{
    if (!m_engineSilent)
        return true;
    const auto isOther = [this](const EndpointRoute &endpoint) {
        return !endpoint.m_draining && endpoint.m_id != m_placement->m_endpoint
               && std::find(m_excluded.begin(), m_excluded.end(), endpoint.m_id)
                      == m_excluded.end();
    };
    if (std::none_of(m_route->m_endpoints.begin(), m_route->m_endpoints.end(), isOther))
        return false;
    const RetryQuery query = retryQuery();
    if (m_worker.node().m_admission.mayRetry(query, Clock::now()) != RetryDecision::Retry)
        return false;
    m_grantedBackoff = query.m_backoff;
    return true;
}

RetryQuery CompletionRun::retryQuery()
{
    const AdmissionGate &admission = m_worker.node().m_admission;
    RetryQuery query;
    query.m_customer = m_admitted.m_context.m_customer->m_id;
    query.m_outcome = requestOutcome(m_attempts);
    query.m_repeatable = m_admitted.m_context.m_repeatable;
    query.m_anyByteSent = !nothingRan();
    query.m_lastByteSent = attemptOutcome(m_attempts.back()) != Outcome::RefusedNotRun;
    query.m_attemptsMade = static_cast<uint32_t>(m_attempts.size());
    query.m_deadline = m_admitted.m_deadline;
    query.m_backoff = admission.backoff(query.m_attemptsMade, m_worker.random());
    return query;
}

RequestEvent CompletionRun::backOff()
{
    Node &node = m_worker.node();
    std::optional<Duration> backoff = std::exchange(m_grantedBackoff, std::nullopt);
    if (!backoff) {
        const RetryQuery query = retryQuery();
        const RetryDecision decision = node.m_admission.mayRetry(query, Clock::now());
        if (decision != RetryDecision::Retry) {
            log(LogPart::Entry)
                .info("Request is not retried. request={} decision={}",
                      m_admitted.m_context.m_id.str(), retryDecisionName(decision));
            return RequestEvent::GiveUp;
        }
        backoff = query.m_backoff;
    }
    node.m_entryMetrics.countRetry();
    if (!sleepFor(m_worker.thread().context(), *backoff)) {
        fail(RequestError::ShuttingDown, "this VM is shutting down");
        return RequestEvent::GiveUp;
    }
    return RequestEvent::Retry;
}

bool CompletionRun::needsChunks() const
{
    const uint64_t chunk = m_placement->m_chunkTokens;
    return chunk > 0 && m_need.m_promptTokens > m_prefilled + chunk;
}

bool CompletionRun::nothingRan() const
{
    return requestOutcome(m_attempts) == Outcome::RefusedNotRun;
}

void CompletionRun::cancelAttempt()
{
    if (m_stream)
        m_stream->cancel();
    if (!m_mayBeRunning || !m_placement)
        return;
    m_mayBeRunning = false;
    spawnFiber([&worker = m_worker, address = m_placement->m_address, attempt = m_runningAttempt] {
        cancelAtEngine(worker, address, attempt);
    });
}

void CompletionRun::releaseGrant()
{
    if (!m_placement)
        return;
    if (m_clientDisconnected)
        m_report.m_end = AttemptEnd::Cancelled;
    endPlacement(m_worker, *m_placement, m_report);
    m_placement.reset();
}

void CompletionRun::answerFailure()
{
    m_refusal.m_outcome = requestOutcome(m_attempts);
    if (m_refusal.m_error == RequestError::ShuttingDown)
        m_refusal = shutdownRefusal(m_refusal.m_outcome);
    log(LogPart::Entry)
        .info("Request failed. request={} outcome={} error={} message={}",
              m_admitted.m_context.m_id.str(), outcomeName(m_refusal.m_outcome),
              requestErrorInfo(m_refusal.m_error).m_code, m_refusal.m_message);
    m_answer.fail(m_refusal);
}

EngineAttempt CompletionRun::makeAttempt() const
{
    const CompletionRequest &request = m_admitted.m_request;
    EngineAttempt attempt;
    attempt.m_attempt = m_attempt;
    attempt.m_model = request.m_model;
    attempt.m_version = m_route->m_model.m_version;
    attempt.m_adapter = request.m_adapter;
    attempt.m_prompt = request.m_prompt;
    attempt.m_maxTokens = request.m_maxTokens;
    attempt.m_priority =
        enginePriority(m_admitted.m_context.m_priority, m_placement->m_chunkTokens > 0);
    attempt.m_owner = m_worker.node().owner();
    attempt.m_skip = m_position;
    return attempt;
}

void CompletionRun::newAttempt()
{
    m_attempt = AttemptId(randomToken());
    m_stream.reset();
    m_prefillStream.reset();
    m_prefilled = 0;
    m_resumeAttempts = 0;
}

void CompletionRun::noteFirstToken()
{
    if (m_firstToken)
        return;
    m_firstToken = true;
    m_firstTokenAt = Clock::now();
    reportGrantStep(m_worker, *m_placement, GrantStep::FirstToken, timeout());
    const RequestContext &context = m_admitted.m_context;
    m_worker.node().m_entryMetrics.recordTtft(context.m_customer->m_id,
                                              m_admitted.m_request.m_model, m_admitted.m_length,
                                              Clock::now() - context.m_arrived);
}

void CompletionRun::fail(RequestError error, std::string message)
{
    m_refusal.m_error = error;
    m_refusal.m_message = std::move(message);
}

void CompletionRun::onHangup()
{
    m_clientDisconnected = true;
    cancelWaits();
}

Duration CompletionRun::timeout(Duration limit) const
{
    const Duration remaining = m_admitted.m_deadline - Clock::now();
    return std::clamp<Duration>(remaining, Millis(1), limit);
}

Duration CompletionRun::timeout() const
{
    return std::max<Duration>(m_admitted.m_deadline - Clock::now(), Millis(1));
}

} // namespace stackquay
