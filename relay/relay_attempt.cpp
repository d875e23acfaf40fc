/// Part of RelayRun: one attempt at an endpoint, from its memory to its last event.
#include <algorithm>

#include <fmt/format.h>

#include "relay/relay_run.h"

namespace stackquay {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusRedirect = 300;
constexpr unsigned StatusServerError = 500;

/// A data centre away a connection takes a few ms; a lost packet is sent again after a second.
constexpr Millis ConnectTimeout{ 200 };
/// What may run only once, and what is sent once more, goes on a connection that carried an answer
/// within this part of the time in which service must be back after a disturbance (250 ms of 3 s),
/// or on a new one: idle connections may have fallen silent.
constexpr int JustUsedShare = 12;
/// What is left of an answer whose head has come.
constexpr Millis BodyTimeout{ 1'000 };

/// A repeat after this part of the client's patience still comes in time.
constexpr double PatienceShare = 0.45;
constexpr Millis LeastPatience{ 300 };
/// A first event is not late before so many times its prediction.
constexpr double LateFactor = 2;
/// Plain services that are silent for this many aims are given up, where that is allowed.
constexpr int ServiceAims = 2;

/// Entries of a ledger live at most this much longer than their deadline.
constexpr Millis LedgerSlack{ 500 };

bool isSuccess(unsigned status)
{
    return status >= StatusOk && status < StatusRedirect;
}

} // namespace

RelayRun::AttemptEnd RelayRun::attempt(const GangPlan &plan)
{
    m_plan = &plan;
    MemoryTickets tickets(m_node);
    const Status reserved = tickets.reserve(plan.m_members, m_hungUp);
    if (!reserved) {
        m_node.end(m_load);
        m_why = "memory not reserved: " + reserved.error().m_message;
        if (reserved.error().m_code == ErrorCode::OutcomeUnknown)
            m_node.noteFailure(tickets.refusedBy(), FailureWeight::Chance,
                               "reservation not answered");
        if (!sleepFor(m_node.m_thread.context(), PlacementPause))
            return AttemptEnd::Failed;
        return AttemptEnd::NotSent;
    }
    std::vector<LoadPart> parts;
    for (const GangMember &member : plan.m_members)
        parts.push_back({ member.m_endpoint.m_id, member.m_readMs, member.m_tokens });
    m_node.place(m_load, std::move(parts), gapLimitMs(), left() + LedgerSlack,
                 m_care == SuspectCare::None ? std::nullopt : m_print);
    logPlacement(plan);
    const AttemptEnd end = attemptPlaced(plan, tickets);
    m_node.end(m_load);
    return end;
}

Duration RelayRun::silencePatience() const
{
    return std::chrono::duration_cast<Duration>(clientPatience() * PatienceShare);
}

bool RelayRun::mayRepeat() const
{
    // An answer that is slow is better than one broken off for a repeat that the budget refuses.
    return !strict() && m_mayHaveRun < m_route->m_maxAttempts
           && m_node.mayRepeat(m_serviceId, *m_view);
}

Duration RelayRun::firstPatience(const GangPlan &plan) const
{
    if (!mayRepeat())
        return left();
    if (m_route->m_kind != RouteKind::Stream)
        return std::max<Duration>(m_route->m_aim * ServiceAims, LeastPatience);
    // Where much waits, a late first event says little about the endpoint.
    return std::max(silencePatience(),
                    std::chrono::duration_cast<Duration>(plan.m_firstEvent * LateFactor));
}

HttpRequest RelayRun::upstreamRequest(const GangPlan &plan, const MemoryTickets &tickets) const
{
    const HttpRequest &request = m_exchange.request();
    AttemptHead head;
    head.m_endpoint = plan.m_members.front().m_endpoint.m_id;
    head.m_left = std::chrono::duration_cast<Millis>(left());
    head.m_customer = m_customer;
    head.m_lastEvent = m_lastEvent;
    if (m_service && m_service->m_engine)
        head.m_urgency = m_urgency;
    for (size_t i = 1; i < plan.m_members.size(); ++i) {
        const EndpointRecord &helper = plan.m_members[i].m_endpoint;
        head.m_helpers.push_back({ helper.m_address, tickets.ticketAt(helper.m_id) });
    }
    return { request.m_method, request.m_target, m_node.m_dialect.m_writeAttempt(m_head, head),
             request.m_body };
}

RelayRun::AttemptEnd RelayRun::attemptPlaced(const GangPlan &plan, const MemoryTickets &tickets)
{
    const EndpointRecord &endpoint = plan.m_members.front().m_endpoint;
    const auto address = parseAddress(endpoint.m_address);
    if (!address)
        return failAttempt(endpoint, FailureWeight::Telling, "no address");
    // Memory that waits at other endpoints makes a silent connection dear, too.
    const bool holdsMemory = std::any_of(plan.m_members.begin(), plan.m_members.end(),
                                         [](const GangMember &member) { return member.m_reserve; });
    const bool proved = strict() || m_arrivals > 0 || holdsMemory;
    const Duration justUsed = m_node.m_settings.m_bounds.m_contact / JustUsedShare;
    auto connection = m_node.m_pool.acquire(*address, std::min<Duration>(left(), ConnectTimeout),
                                            false, proved ? justUsed : Duration::max());
    if (!connection) {
        failAttempt(endpoint, FailureWeight::Telling, connection.error().m_message);
        return AttemptEnd::NotSent;
    }
    // It may have left before it was read, or while this waited, with the news still to be heard.
    m_hungUp = m_hungUp || m_exchange.callerLeft();
    // Nothing waits from here to the send, so that giveUp() comes before this or finds it.
    if (m_hungUp || m_node.m_ending || left() <= Duration::zero() || betterElsewhere()
        || !maySend())
        return AttemptEnd::NotSent;
    const bool reused = (*connection)->reused();
    m_connection = connection->get();
    const HttpRequest request = upstreamRequest(plan, tickets);
    ++m_arrivals;
    ++m_mayHaveRun;
    m_node.m_metrics.m_attempts.add();
    const Status sent = (*connection)->send(request, std::min<Duration>(left(), BodyTimeout));
    AttemptEnd end = AttemptEnd::Failed;
    if (sent) {
        end = converse(**connection, endpoint, reused,
                       std::min(Clock::now() + firstPatience(plan), m_deadline));
    } else {
        failRead(**connection, endpoint, sent.error());
    }
    m_connection = nullptr;
    if (end == AttemptEnd::Answered || end == AttemptEnd::NotRun)
        m_node.m_pool.release(*address, std::move(*connection));
    return end;
}

RelayRun::AttemptEnd RelayRun::failAttempt(const EndpointRecord &endpoint, FailureWeight weight,
                                           std::string_view why)
{
    // Broken off by this side.
    if (m_hungUp || m_node.m_ending)
        return AttemptEnd::Failed;
    m_why = why;
    m_tried.insert(endpoint.m_id);
    m_node.noteFailure(endpoint.m_id, weight, why);
    DecisionLine("relay", "attempt failed")
        .text("request", m_head.m_id.str())
        .text("print", toString(print()))
        .text("endpoint", endpoint.m_id.str())
        .text("why", why)
        .number("ms", std::chrono::duration_cast<Millis>(Clock::now() - m_arrival).count())
        .write();
    return AttemptEnd::Failed;
}

RelayRun::AttemptEnd RelayRun::failSilent(const HttpConnection &connection,
                                          const EndpointRecord &endpoint)
{
    m_why = "the connection fell silent";
    const auto address = parseAddress(endpoint.m_address);
    if (address)
        m_node.m_pool.noteSilent(*address, connection);
    DecisionLine("relay", "connection fell silent")
        .text("request", m_head.m_id.str())
        .text("endpoint", endpoint.m_id.str())
        .number("ms", std::chrono::duration_cast<Millis>(Clock::now() - m_arrival).count())
        .write();
    return AttemptEnd::Failed;
}

RelayRun::AttemptEnd RelayRun::failRead(const HttpConnection &connection,
                                        const EndpointRecord &endpoint, const Error &error)
{
    // Not the endpoint's failure: it can be reached, or a new connection tells otherwise.
    if (connection.silent())
        return failSilent(connection, endpoint);
    const bool silent = error.m_code == ErrorCode::DeadlineExceeded;
    // Out of time: that says nothing of the endpoint.
    if (silent && Clock::now() >= m_deadline)
        return AttemptEnd::Failed;
    if (!silent)
        noteBroken(connection, endpoint);
    return failAttempt(endpoint, FailureWeight::Chance, silent ? "silent" : error.m_message);
}

void RelayRun::noteBroken(const HttpConnection &connection, const EndpointRecord &endpoint)
{
    if (m_hungUp || m_node.m_ending)
        return;
    // The others have to know at once that this attempt is over.
    m_node.end(m_load);
    std::vector<EndpointRecord> endpoints;
    for (const GangMember &member : m_plan->m_members)
        endpoints.push_back(member.m_endpoint);
    if (m_node.m_suspects.noteBroken(endpoints, print()))
        m_node.m_metrics.m_ends.add();
    // Plain services tell no success, which would be missing beside it.
    if (isModelRequest() && !connection.reused())
        m_node.noteBrokenOff(endpoint.m_id);
}

void RelayRun::noteCompleted(unsigned status)
{
    if (isSuccess(status) && maybeSuspect())
        m_node.m_suspects.noteCompleted(print());
}

RelayRun::AttemptEnd RelayRun::converse(HttpConnection &connection, const EndpointRecord &endpoint,
                                        bool reused, TimePoint firstBy)
{
    auto response = connection.readHeader(std::max<Duration>(firstBy - Clock::now(), Millis(1)));
    if (!response)
        return failRead(connection, endpoint, response.error());
    const AnswerHead head = m_node.m_dialect.m_readAnswer(*response);
    const bool ours = head.m_id == m_head.m_id || (head.m_id.empty() && !reused);
    if (!ours)
        return failAttempt(endpoint, FailureWeight::Chance,
                           "the answer belongs to another request");
    if (head.m_notRun)
        return takeRefusal(connection, endpoint, head, *response, reused);
    if (m_route->m_kind == RouteKind::Stream && isSuccess(response->m_status))
        return takeStream(connection, endpoint, head, *response, firstBy);
    return takeAnswer(connection, endpoint, head, std::move(*response), firstBy);
}

RelayRun::AttemptEnd RelayRun::takeRefusal(HttpConnection &connection,
                                           const EndpointRecord &endpoint, const AnswerHead &head,
                                           const HttpResponse &response, bool reused)
{
    --m_mayHaveRun;
    m_tried.insert(endpoint.m_id);
    m_why = fmt::format("refused by the endpoint with status {}", response.m_status);
    EndpointId faulty = endpoint.m_id;
    if (!head.m_faultyAddress.empty()) {
        for (const EndpointRecord &candidate : candidates()) {
            if (candidate.m_address == head.m_faultyAddress)
                faulty = candidate.m_id;
        }
        m_tried.insert(faulty);
    }
    const bool telling = head.m_misdirected || faulty != endpoint.m_id;
    m_node.noteFailure(faulty, telling ? FailureWeight::Telling : FailureWeight::None, m_why);
    DecisionLine("relay", "attempt refused")
        .text("request", m_head.m_id.str())
        .text("endpoint", endpoint.m_id.str())
        .text("faulty", faulty.str())
        .number("status", response.m_status)
        .flag("reused", reused)
        .write();
    // Read to its end, so that the connection can serve again.
    const auto body = connection.readWhole(std::min<Duration>(left(), BodyTimeout));
    if (!body)
        connection.cancel();
    return AttemptEnd::NotRun;
}

RelayRun::AttemptEnd RelayRun::takeAnswer(HttpConnection &connection,
                                          const EndpointRecord &endpoint, const AnswerHead &head,
                                          HttpResponse response, TimePoint firstBy)
{
    const TimePoint by = std::max(firstBy, Clock::now() + BodyTimeout);
    auto body = connection.readWhole(std::min(by, m_deadline) - Clock::now());
    if (!body)
        return failRead(connection, endpoint, body.error());
    if (!head.m_signed || head.m_encoded)
        return failAttempt(endpoint, FailureWeight::Chance, "the answer is not the endpoint's own");
    response.m_body = std::move(*body);
    response.m_headers = head.m_endToEnd;
    if (response.m_status < StatusServerError) {
        recordSuccess(m_node.m_ejections, endpoint.m_id);
        noteCompleted(response.m_status);
        passOn(response);
        return AttemptEnd::Answered;
    }
    m_failure = std::move(response);
    return failAttempt(endpoint, FailureWeight::None,
                       fmt::format("status {}", m_failure->m_status));
}

bool RelayRun::takeEvents(EventSplitter &events, std::string &batch)
{
    while (auto event = events.next()) {
        if (event->m_id) {
            if (m_lastEvent && *event->m_id != *m_lastEvent + 1)
                return false;
            m_lastEvent = event->m_id;
        }
        batch += event->m_bytes;
    }
    return true;
}

RelayRun::AttemptEnd RelayRun::takeStream(HttpConnection &connection,
                                          const EndpointRecord &endpoint, const AnswerHead &head,
                                          const HttpResponse &response, TimePoint firstBy)
{
    if (!head.m_signed || head.m_encoded)
        return failAttempt(endpoint, FailureWeight::Chance, "the answer is not the endpoint's own");
    EventSplitter events;
    std::string piece;
    bool first = true;
    for (;;) {
        const TimePoint silentUntil =
            mayRepeat() ? std::min(m_deadline, Clock::now() + silencePatience()) : m_deadline;
        const TimePoint until = first ? firstBy : silentUntil;
        const Status read =
            connection.readBody(piece, std::max<Duration>(until - Clock::now(), Millis(1)));
        if (!read)
            return failRead(connection, endpoint, read.error());
        if (piece.empty()) {
            if (!events.empty())
                return failAttempt(endpoint, FailureWeight::Chance,
                                   "the stream ended inside an event");
            break;
        }
        events.feed(piece);
        std::string batch;
        const bool ordered = takeEvents(events, batch);
        if (!batch.empty()) {
            if (first) {
                first = false;
                m_node.startWriting(m_load);
                recordSuccess(m_node.m_ejections, endpoint.m_id);
            }
            passOnEvents(head, response.m_status, batch);
        }
        if (m_hungUp)
            return AttemptEnd::Failed;
        if (!ordered)
            return failAttempt(endpoint, FailureWeight::Telling, "events out of order");
    }
    if (!m_streaming) {
        m_streaming = true;
        m_exchange.startStream(response.m_status, head.m_endToEnd);
    }
    m_exchange.finish();
    noteCompleted(response.m_status);
    logEnd(RelayOutcome::Complete, response.m_status, endpoint.m_id.str());
    return AttemptEnd::Answered;
}

void RelayRun::passOnEvents(const AnswerHead &head, unsigned status, const std::string &batch)
{
    const TimePoint now = Clock::now();
    Status passed;
    if (m_streaming) {
        m_longestGap = std::max(m_longestGap, now - m_lastPassedOn);
        passed = m_exchange.write(batch);
    } else {
        m_streaming = true;
        m_firstAfter = now - m_arrival;
        m_node.m_metrics.recordFirst(*m_route, m_firstAfter);
        passed = m_exchange.startStream(status, head.m_endToEnd, batch);
    }
    m_hungUp = m_hungUp || !passed;
    m_lastPassedOn = now;
}

} // namespace stackquay
