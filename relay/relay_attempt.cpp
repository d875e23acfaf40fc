/// Part of RelayRun: one attempt at an endpoint, from the memory reservation to the last event.
#include <algorithm>

#include <fmt/format.h>

#include "relay/relay_run.h"

namespace stackquay {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusRedirect = 300;
constexpr unsigned StatusServerError = 500;

/// A connection to another data centre takes a few milliseconds; TCP sends a lost packet again
/// after a second.
constexpr Millis ConnectTimeout{ 200 };
/// Requests that may run only once, and retries, use a connection that carried a response within
/// this part of the recovery time (250 ms of 3 s), or a new one: idle connections may be dead.
constexpr int JustUsedShare = 12;
/// For the rest of a response whose head has arrived.
constexpr Millis BodyTimeout{ 1'000 };
/// Of one event that is not complete. An event has some tens of tokens, a few KB.
constexpr size_t MaxEventBytes = 1024 * 1024;
/// Of the body of a refusal, which is read only to reuse the connection.
constexpr size_t MaxRefusalBytes = 64 * 1024;

constexpr Millis MinFirstEventTimeout{ 300 };
/// A first event is late after this multiple of its predicted time.
constexpr double LateFactor = 2;

/// Weights of an endpoint that is not reached against this VM's own path: a refusal costs little
/// time, so another endpoint is tried first.
constexpr uint32_t RefusalWeight = 1;
constexpr uint32_t SilenceWeight = 2;

/// Requests with a longer body are not remembered as answered: the whole body would be hashed for
/// each of them, and popular resources have none.
constexpr size_t MaxRememberedBytes = 1024;

/// Ledger entries expire this long after the deadline of their request.
constexpr Millis LedgerSlack{ 500 };

bool isSuccess(unsigned status)
{
    return status >= StatusOk && status < StatusRedirect;
}

} // namespace

RelayRun::AttemptResult RelayRun::attempt(const GangPlan &plan)
{
    m_attempt.m_plan = &plan;
    MemoryReservations reservations(m_node);
    const Status reserved = reservations.reserve(plan.m_members, m_attempt.m_cancelled);
    if (!reserved) {
        m_node.end(m_attempt.m_loadKey);
        m_failureReason = "memory not reserved: " + reserved.error().m_message;
        if (reserved.error().m_code == ErrorCode::OutcomeUnknown)
            m_node.noteFailure(reservations.refusingEndpoint(), FailureWeight::Weak,
                               "reservation not answered");
        if (!sleepFor(m_node.m_thread.context(), PlacementRetryDelay))
            return AttemptResult::Failed;
        return AttemptResult::NotSent;
    }
    std::vector<LoadPart> parts;
    for (const GangMember &member : plan.m_members)
        parts.push_back({ member.m_endpoint.m_id, member.m_prefillMs, member.m_tokens });
    m_node.place(m_attempt.m_loadKey, std::move(parts), gapLimitMs(), remainingTime() + LedgerSlack,
                 m_suspectHandling == SuspectHandling::None ? std::nullopt : m_fingerprint,
                 usageCustomer());
    logPlacement(plan);
    const AttemptResult end = attemptPlaced(plan, reservations);
    m_node.end(m_attempt.m_loadKey);
    return end;
}

Duration RelayRun::streamSilenceTimeout() const
{
    // Each attempt that the route allows gets the same part of the time for which the client waits.
    return Duration(m_route->m_clientPatience) / attemptLimit();
}

Duration RelayRun::justUsedTime() const
{
    return m_node.m_settings.m_bounds.m_recoveryTime / JustUsedShare;
}

uint32_t RelayRun::attemptLimit() const
{
    const uint32_t left = m_head.m_attemptsLeft.value_or(m_route->m_maxAttempts);
    return std::max(std::min(left, m_route->m_maxAttempts), 1u);
}

bool RelayRun::mayRunElsewhere() const
{
    // A request that may crash its endpoint runs at one endpoint at a time.
    return !atMostOnce() && possibleRuns() < attemptLimit() && m_placements < MaxPlacements
           && remainingTime() > Duration::zero() && !maybeSuspect();
}

Duration RelayRun::firstEventTimeout(const GangPlan &plan) const
{
    if (m_route->m_kind != RouteKind::Stream) {
        const Duration part = (m_deadline - m_arrival) / attemptLimit();
        const auto late = m_node.m_responseTimes[m_serviceId].lateAfter();
        return late ? std::clamp<Duration>(std::chrono::duration_cast<Duration>(*late),
                                           std::min<Duration>(MinFirstEventTimeout, part), part)
                    : part;
    }
    // With a long backlog, a late first event says little about the endpoint.
    return std::max(streamSilenceTimeout(),
                    std::chrono::duration_cast<Duration>(plan.m_firstEvent * LateFactor));
}

HttpRequest RelayRun::upstreamRequest(const GangPlan &plan,
                                      const MemoryReservations &reservations) const
{
    const HttpRequest &request = m_exchange.request();
    AttemptHead head;
    head.m_endpoint = plan.m_members.front().m_endpoint.m_id;
    head.m_remaining = std::chrono::duration_cast<Millis>(remainingTime());
    head.m_customer = m_customer;
    head.m_lastEvent = m_lastEvent;
    if (m_service && m_service->m_engine)
        head.m_urgency = m_urgency;
    for (size_t i = 1; i < plan.m_members.size(); ++i) {
        const EndpointRecord &helper = plan.m_members[i].m_endpoint;
        head.m_helpers.push_back({ helper.m_address, reservations.ticketFor(helper.m_id) });
    }
    return {
        request.m_method, request.m_target, m_node.m_dialect.m_writeAttemptHeaders(m_head, head), {}
    };
}

bool RelayRun::mayStillSend()
{
    // The client may have disconnected before its request was read, or while this fiber was
    // blocked, without a notification yet.
    m_clientDisconnected = m_clientDisconnected || m_exchange.callerLeft();
    return !isCancelled() && remainingTime() > Duration::zero() && !cannotFinishInDrain()
           && maySend();
}

Result<std::unique_ptr<HttpConnection>> RelayRun::connectTo(const Address &address,
                                                            bool holdsMemory)
{
    // Responses name the request, not the attempt: a late one to an earlier attempt would be taken
    // for the answer to this one.
    const bool fresh =
        std::any_of(m_sent.begin(), m_sent.end(), [&address](const SentAttempt &sent) {
            return sent.m_address == toString(address);
        });
    const bool proved = atMostOnce() || !m_sent.empty() || holdsMemory;
    return m_node.m_pool.acquire(address, std::min<Duration>(remainingTime(), ConnectTimeout),
                                 fresh, proved ? justUsedTime() : Duration::max());
}

void RelayRun::recordSentAttempt(const std::string &target, const Address &address,
                                 const HttpConnection &connection)
{
    const HttpRequest &request = m_exchange.request();
    SentAttempt sent{ target, toString(address), connection.localPort() };
    sent.m_facts.m_bytesSent =
        request.m_method.size() + request.m_target.size() + request.m_body.size();
    m_sent.push_back(std::move(sent));
    m_attempt.m_number = m_sent.size();
    m_attempt.m_sentAt = Clock::now();
    m_retryPaid = false;
}

void RelayRun::recordReply(const HttpResponse &response, EndpointReply reply, bool matches)
{
    SentAttempt &sent = recordOf(m_attempt);
    sent.m_status = response.m_status;
    sent.m_facts.m_reply = reply;
    sent.m_facts.m_replyMatchesAttempt = matches;
}

uint32_t RelayRun::possibleRuns() const
{
    std::vector<AttemptFacts> facts;
    for (const SentAttempt &sent : m_sent)
        facts.push_back(sent.m_facts);
    return countPossibleRuns(facts);
}

std::string RelayRun::describeAttempts() const
{
    std::string text;
    for (const SentAttempt &sent : m_sent)
        text +=
            fmt::format("{}{}:{}/{}/{}", text.empty() ? "" : " ", sent.m_target, sent.m_localPort,
                        sent.m_status, outcomeName(attemptOutcome(sent.m_facts)));
    return text;
}

bool RelayRun::takeSendBudget(const GangPlan &plan)
{
    const RelayViewPtr view = m_node.m_view.load();
    EndpointLimiter &limiter = m_node.m_limiter;
    const bool allowed =
        std::all_of(plan.m_members.begin(), plan.m_members.end(), [&](const GangMember &member) {
            return limiter.maySend(*view, member.m_endpoint);
        });
    if (!allowed)
        return false;
    limiter.recordSend(*view, plan.m_members.front().m_endpoint.m_id);
    for (size_t i = 1; i < plan.m_members.size(); ++i)
        limiter.recordPart(plan.m_members[i].m_endpoint.m_id);
    return true;
}

RelayRun::AttemptResult RelayRun::attemptPlaced(const GangPlan &plan,
                                                MemoryReservations &reservations)
{
    const EndpointRecord &endpoint = plan.m_members.front().m_endpoint;
    const auto address = parseAddress(endpoint.m_address);
    if (!address)
        return failAttempt(endpoint, FailureWeight::Strong, "no address");
    auto connection = connectTo(*address, !reservations.empty());
    if (!connection) {
        const bool silent = connection.error().m_code == ErrorCode::DeadlineExceeded;
        noteUnreached(endpoint, silent ? SilenceWeight : RefusalWeight);
        m_unreachable.insert(endpoint.m_dataCentre);
        failAttempt(endpoint, FailureWeight::Strong, connection.error().m_message);
        return AttemptResult::NotSent;
    }
    // The fiber does not yield from here to the send, so abortForShutdown() runs before this check
    // or finds the connection.
    if (!mayStillSend())
        return AttemptResult::NotSent;
    // One may have left, or been evacuated, while memory was reserved.
    const bool accepted =
        std::all_of(plan.m_members.begin(), plan.m_members.end(), [this](const GangMember &member) {
            return m_node.acceptsWork(member.m_endpoint);
        });
    if (!accepted) {
        m_failureReason = "an endpoint has left";
        return AttemptResult::NotSent;
    }
    if (!takeSendBudget(plan)) {
        m_failureReason = LimitedReason;
        return AttemptResult::NotSent;
    }
    const bool reused = (*connection)->reused();
    m_attempt.m_connection = connection->get();
    m_attempt.m_reservations = &reservations;
    m_attempt.m_firstEventTimeout = firstEventTimeout(plan);
    (*connection)->setSilenceHandler([this] { return handleSilence(); });
    if (m_attempt.holdsMemory())
        m_node.m_absence.start();
    const HttpRequest request = upstreamRequest(plan, reservations);
    recordSentAttempt(endpoint.m_id.str(), *address, **connection);
    if (decideParts().m_isProbe)
        m_node.m_parts.noteProbe(promptParts());
    m_node.m_metrics.m_attempts.add();
    const Status sent = (*connection)
                            ->send(request, m_exchange.request().m_body,
                                   std::min<Duration>(remainingTime(), BodyTimeout));
    AttemptResult end = AttemptResult::Failed;
    if (sent) {
        (*connection)->expectBytesBy(Clock::now() + m_attempt.m_firstEventTimeout);
        end = processResponse(**connection, endpoint, reused);
    } else {
        failRead(**connection, endpoint, sent.error());
    }
    m_attempt.m_connection = nullptr;
    (*connection)->setSilenceHandler({});
    if (end == AttemptResult::Answered || end == AttemptResult::NotRun)
        m_node.m_pool.release(*address, std::move(*connection));
    return end;
}

RelayRun::AttemptResult RelayRun::failAttempt(const EndpointRecord &endpoint, FailureWeight weight,
                                              std::string_view why)
{
    if (isCancelled())
        return AttemptResult::Failed;
    m_failureReason = why;
    if (m_forwarding)
        return AttemptResult::Failed;
    m_triedEndpoints.insert(endpoint.m_id);
    m_node.noteFailure(endpoint.m_id, weight, why);
    const bool sent = m_attempt.m_number > 0;
    DecisionLine("relay", "attempt failed")
        .text("request", m_head.m_id.str())
        .number("attempt", static_cast<int64_t>(m_attempt.m_number))
        .number("local_port", sent ? recordOf(m_attempt).m_localPort : 0)
        .number("status", sent ? recordOf(m_attempt).m_status : 0)
        .text("print", toString(fingerprint()))
        .text("endpoint", endpoint.m_id.str())
        .text("parts", partNames())
        .flag("answered", m_attempt.m_answeredAt != TimePoint{})
        .text("why", why)
        .number("ms", std::chrono::duration_cast<Millis>(Clock::now() - m_arrival).count())
        .write();
    return AttemptResult::Failed;
}

void RelayRun::noteSilentConnection(const HttpConnection &connection,
                                    const EndpointRecord &endpoint)
{
    const auto address = parseAddress(endpoint.m_address);
    if (address)
        m_node.m_pool.noteSilent(*address, connection);
    if (!m_forwarding)
        noteUnreached(endpoint, SilenceWeight);
    DecisionLine("relay", "connection fell silent")
        .text("request", m_head.m_id.str())
        .text("endpoint", endpoint.m_id.str())
        .number("ms", std::chrono::duration_cast<Millis>(Clock::now() - m_arrival).count())
        .write();
}

std::vector<PendingAttempt> RelayRun::pendingAttempts()
{
    std::vector<PendingAttempt> pending;
    const auto add = [&](Attempt &attempt) {
        if (attempt.m_connection && !attempt.m_abandoned && !attempt.m_cancelled)
            pending.push_back({ this, &attempt });
    };
    for (Attempt &standby : m_standbys)
        add(standby);
    if (!m_forwarding)
        add(m_attempt);
    return pending;
}

void RelayRun::abandonAttempt(Attempt &attempt, FailureWeight weight, const char *why)
{
    attempt.m_abandoned = weight;
    attempt.m_abandonedReason = why;
    attempt.m_connection->cancel();
    releaseLoad(attempt);
}

RelayRun::AttemptResult RelayRun::failRead(const HttpConnection &connection,
                                           const EndpointRecord &endpoint, const Error &error)
{
    if (isCancelled())
        return AttemptResult::Failed;
    if (m_attempt.m_abandoned)
        return failAttempt(endpoint, *m_attempt.m_abandoned, m_attempt.m_abandonedReason);
    // The attempt was not sent: something that the endpoint's entry declares is not HTTP.
    if (error.m_code == ErrorCode::InvalidArgument) {
        recordOf(m_attempt).m_facts.m_bytesSent = 0;
        return failAttempt(endpoint, FailureWeight::Strong, error.m_message);
    }
    // Not a failure of the endpoint: if it is unreachable, the next connection shows it.
    if (connection.silent()) {
        m_failureReason = "the connection fell silent";
        if (!m_attempt.m_silent)
            noteSilentConnection(connection, endpoint);
        return AttemptResult::Failed;
    }
    if (error.m_code == ErrorCode::ResourceExhausted)
        return failAttempt(endpoint, FailureWeight::None, NoMemoryReason);
    const bool late = error.m_code == ErrorCode::DeadlineExceeded;
    // Expiry of the request's deadline is not a failure of the endpoint.
    if (late && Clock::now() >= m_deadline) {
        m_failureReason = "no answer by the deadline";
        return AttemptResult::Failed;
    }
    if (!late && !m_forwarding) {
        if (!connection.reused() && connection.lastReadAt() == TimePoint{})
            noteUnreached(endpoint, RefusalWeight);
        m_unreachable.insert(endpoint.m_dataCentre);
        noteBrokenResponse(connection, endpoint);
    }
    return failAttempt(endpoint, FailureWeight::Weak, late ? "silent" : error.m_message);
}

void RelayRun::noteBrokenResponse(const HttpConnection &connection, const EndpointRecord &endpoint)
{
    if (m_clientDisconnected || m_node.m_stopping)
        return;
    // The other VMs need to know immediately that this attempt is over. That of a suspect is over
    // once it is known whether the process exited: until then no other one may begin.
    if (m_suspectHandling == SuspectHandling::None)
        m_node.end(m_attempt.m_loadKey);
    BrokenAttempt attempt{
        {}, fingerprint(), promptParts(), hasSoundAnswer(), m_attempt.m_sentAt, Clock::now()
    };
    for (const GangMember &member : m_attempt.m_plan->m_members)
        attempt.m_endpoints.push_back(member.m_endpoint);
    if (m_node.m_suspects.noteBrokenResponse(attempt))
        m_node.m_metrics.m_processExits.add();
    m_node.end(m_attempt.m_loadKey);
    // No successes are reported for plain services, so their failures are not reported either.
    if (isModelRequest() && !connection.reused())
        m_node.reportBrokenResponse(endpoint.m_id);
}

void RelayRun::noteCompleted(unsigned status)
{
    recordOf(m_attempt).m_facts.m_reply = EndpointReply::Whole;
    if (!isSuccess(status))
        return;
    if (m_route->m_kind != RouteKind::Stream)
        m_node.m_responseTimes[m_serviceId].record(Clock::now() - m_attempt.m_sentAt);
    if (maybeSuspect() || m_exchange.request().m_body.size() <= MaxRememberedBytes)
        m_node.m_suspects.noteCompleted(fingerprint());
    if (!m_head.m_promptParts.empty())
        m_node.m_parts.noteAnswered(promptParts());
}

bool RelayRun::isStream(unsigned status) const
{
    return m_route->m_kind == RouteKind::Stream && isSuccess(status) && status != StatusNoContent;
}

RelayRun::AttemptResult RelayRun::processResponse(HttpConnection &connection,
                                                  const EndpointRecord &endpoint, bool reused)
{
    auto response = connection.readHeader(std::max<Duration>(remainingTime(), Millis(1)));
    if (!response)
        return failRead(connection, endpoint, response.error());
    if (isCancelled())
        return AttemptResult::Failed;
    m_node.m_path.noteReached(endpoint);
    noteActive(endpoint);
    const ResponseHead head = m_node.m_dialect.m_readResponseHead(*response);
    const bool ours = head.m_id == m_head.m_id || (head.m_id.empty() && !reused);
    recordReply(*response, head.m_notRun ? EndpointReply::NotRun : EndpointReply::Partial, ours);
    if (!ours)
        return failAttempt(endpoint, FailureWeight::Weak, "the answer belongs to another request");
    m_node.noteAnswer(endpoint, head);
    if (!head.m_misdirected)
        m_node.m_limiter.noteAnswer(*m_node.m_view.load(), endpoint, head.m_requestLimit);
    if (head.m_notRun)
        return handleRefusal(connection, endpoint, head, *response, reused);
    if (isStream(response->m_status))
        return relayStream(connection, endpoint, head, *response);
    return relayWholeResponse(connection, endpoint, head, std::move(*response));
}

RelayRun::AttemptResult RelayRun::handleRefusal(HttpConnection &connection,
                                                const EndpointRecord &endpoint,
                                                const ResponseHead &head,
                                                const HttpResponse &response, bool reused)
{
    connection.setSilenceHandler({});
    m_triedEndpoints.insert(endpoint.m_id);
    m_failureReason = fmt::format("refused by the endpoint with status {}", response.m_status);
    EndpointId faulty = endpoint.m_id;
    if (!head.m_failedAddress.empty()) {
        for (const EndpointRecord &candidate : candidates()) {
            if (candidate.m_address == head.m_failedAddress)
                faulty = candidate.m_id;
        }
        m_triedEndpoints.insert(faulty);
    }
    const bool telling = head.m_misdirected || faulty != endpoint.m_id;
    m_node.noteFailure(faulty, telling ? FailureWeight::Strong : FailureWeight::None,
                       m_failureReason);
    DecisionLine("relay", "attempt refused")
        .text("request", m_head.m_id.str())
        .number("attempt", static_cast<int64_t>(m_attempt.m_number))
        .number("local_port", recordOf(m_attempt).m_localPort)
        .text("endpoint", endpoint.m_id.str())
        .text("faulty", faulty.str())
        .number("status", response.m_status)
        .flag("reused", reused)
        .write();
    // Reads the whole body, so that the connection can be reused.
    const auto body =
        connection.readWhole(std::min<Duration>(remainingTime(), BodyTimeout), MaxRefusalBytes);
    if (!body)
        connection.cancel();
    return AttemptResult::NotRun;
}

RelayRun::AttemptResult RelayRun::relayWholeResponse(HttpConnection &connection,
                                                     const EndpointRecord &endpoint,
                                                     const ResponseHead &head,
                                                     HttpResponse response)
{
    AnswerMemory memory(m_exchange);
    auto body =
        connection.readWhole(std::max<Duration>(remainingTime(), Millis(1)), MaxResponseBytes,
                             [&](size_t bytes) { return holdAnswer(memory, bytes, connection); });
    if (!body)
        return failRead(connection, endpoint, body.error());
    if (isCancelled())
        return AttemptResult::Failed;
    if (!head.m_signed || head.m_encoded)
        return failAttempt(endpoint, FailureWeight::Weak, "the answer is not the endpoint's own");
    if (m_streaming)
        return failAttempt(endpoint, FailureWeight::None,
                           "the answer to a resumption is no stream");
    // Not handed on: the client would take it for a promise, which the endpoint has not made.
    if (promisesNotRun(response.m_status))
        return failAttempt(endpoint, FailureWeight::None,
                           fmt::format("status {}, but it may have run", response.m_status));
    response.m_body = std::move(*body);
    response.m_headers = head.m_forwardedHeaders;
    if (response.m_status < StatusServerError) {
        recordSuccess(m_node.m_ejections, endpoint.m_id);
        noteCompleted(response.m_status);
        cancelStandbys();
        forwardResponse(response);
        return AttemptResult::Answered;
    }
    m_endpointFailure = std::move(response);
    m_endpointFailureMemory = std::move(memory);
    return failAttempt(endpoint, FailureWeight::None,
                       fmt::format("status {}", m_endpointFailure->m_status));
}

bool RelayRun::collectEvents(EventSplitter &events, std::string_view &batch)
{
    while (auto event = events.next()) {
        if (event->m_id) {
            if (m_lastEvent && *event->m_id != *m_lastEvent + 1)
                return false;
            m_lastEvent = event->m_id;
        }
        const char *start = batch.empty() ? event->m_bytes.data() : batch.data();
        batch = { start, batch.size() + event->m_bytes.size() };
    }
    return true;
}

/// Reads the endpoint's answer only as far as there is memory for it: the rest waits there.
bool RelayRun::holdAnswer(AnswerMemory &memory, size_t bytes, HttpConnection &connection)
{
    bool waited = false;
    const bool held = memory.resize(bytes, [&] {
        waited = true;
        return !isCancelled() && remainingTime() > Duration::zero();
    });
    // The endpoint was not silent meanwhile.
    if (waited && !m_forwarding)
        connection.expectBytesBy(Clock::now() + m_attempt.m_firstEventTimeout);
    return held;
}

void RelayRun::recordFirstEvent(const EndpointRecord &endpoint)
{
    m_attempt.m_answeredAt = Clock::now();
    m_node.recordFirstEvent(m_attempt.m_loadKey);
    recordSuccess(m_node.m_ejections, endpoint.m_id);
}

/// A process that ends closes its connections in order, so the end of an unframed stream says less
/// than a last chunk.
bool RelayRun::endsBroken(const HttpConnection &connection, const EndpointRecord &endpoint,
                          const EventSplitter &events, bool withoutEvent)
{
    const bool unframed = connection.responseEndsWithConnection();
    const bool broken = !events.empty() || (unframed && withoutEvent);
    if (broken && unframed && !m_forwarding)
        noteBrokenResponse(connection, endpoint);
    return broken;
}

RelayRun::AttemptResult RelayRun::relayStream(HttpConnection &connection,
                                              const EndpointRecord &endpoint,
                                              const ResponseHead &head,
                                              const HttpResponse &response)
{
    if (!head.m_signed || head.m_encoded)
        return failAttempt(endpoint, FailureWeight::Weak, "the answer is not the endpoint's own");
    AnswerMemory memory(m_exchange);
    EventSplitter events;
    std::string piece;
    bool first = true;
    for (;;) {
        const Status read =
            connection.readBody(piece, std::max<Duration>(remainingTime(), Millis(1)));
        if (!read)
            return failRead(connection, endpoint, read.error());
        // It may have been cancelled after its bytes had come.
        if (isCancelled())
            return AttemptResult::Failed;
        if (piece.empty()) {
            if (endsBroken(connection, endpoint, events, first))
                return failAttempt(endpoint, FailureWeight::Weak,
                                   first ? "the stream ended without an event"
                                         : "the stream ended inside an event");
            break;
        }
        if (!m_forwarding)
            noteActive(endpoint);
        if (!holdAnswer(memory, std::max(events.capacity(), events.pending() + piece.size()),
                        connection))
            return failAttempt(endpoint, FailureWeight::None, NoMemoryReason);
        events.feed(piece);
        std::string_view batch;
        const bool ordered = collectEvents(events, batch);
        if (!batch.empty()) {
            if (first) {
                first = false;
                if (!m_forwarding)
                    recordFirstEvent(endpoint);
            }
            forwardEvents(head, response.m_status, batch);
        }
        if (m_clientDisconnected)
            return AttemptResult::Failed;
        if (!ordered)
            return failAttempt(endpoint, FailureWeight::Strong, "events out of order");
        if (events.pending() > MaxEventBytes)
            return failAttempt(endpoint, FailureWeight::Weak, "an event is too long");
        // With bytes always there, no read waits until the deadline.
        if (remainingTime() <= Duration::zero())
            return AttemptResult::Failed;
    }
    cancelStandbys();
    if (!m_streaming) {
        m_streaming = true;
        m_exchange.startStream(response.m_status, head.m_forwardedHeaders);
    }
    m_exchange.finish();
    noteCompleted(response.m_status);
    m_answered = true;
    logEnd(RelayOutcome::Complete, response.m_status, endpoint.m_id.str());
    return AttemptResult::Answered;
}

void RelayRun::forwardEvents(const ResponseHead &head, unsigned status, std::string_view batch)
{
    cancelStandbys();
    const TimePoint now = Clock::now();
    Status passed;
    if (m_streaming) {
        m_longestGap = std::max(m_longestGap, now - m_lastForwardedAt);
        passed = m_exchange.write(batch);
    } else {
        m_streaming = true;
        m_firstEventDelay = now - m_arrival;
        m_node.m_metrics.recordFirstEventTime(*m_route, m_firstEventDelay);
        passed = m_exchange.startStream(status, head.m_forwardedHeaders, batch);
    }
    m_clientDisconnected = m_clientDisconnected || !passed;
    m_lastForwardedAt = now;
}

} // namespace stackquay
