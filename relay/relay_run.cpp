#include "relay/relay_run.h"

#include <algorithm>

#include <fmt/format.h>

namespace stackquay {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusRedirect = 300;
constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusServerError = 500;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;

/// A request without a deadline of its own gets its route's.
/// A proof travels for one beat, and a check takes its time: so much earlier than the bound.
constexpr Millis FreshnessMargin{ 700 };
/// "No such route" and "no such key" are said only under a configuration proved this recently.
constexpr Millis DenialFreshness{ 2'500 };

/// A data centre away a connection takes a few ms; a lost packet is sent again after a second.
constexpr Millis ConnectTimeout{ 200 };
/// What is left of an answer whose head has come.
constexpr Millis BodyTimeout{ 1'000 };
/// Attempts that one request makes at most, sent or not.
constexpr uint32_t MostPlacements = 6;
/// Between looks whether a long prompt may be read: a tenth of a usual part.
constexpr Millis TurnPoll{ 12 };
/// Waits between tries while no endpoint can take the request.
constexpr Millis PlacementPause{ 60 };

/// Clients leave a stream after the longest of these silences (the users' pages); a repeat after
/// this part of it still comes in time.
constexpr Millis LeastAbandon{ 2'000 };
constexpr int AbandonAims = 4;
constexpr int AbandonGaps = 8;
constexpr double PatienceShare = 0.45;
constexpr Millis LeastPatience{ 300 };
/// A first event is not late before so many times its prediction.
constexpr double LateFactor = 2;
/// Plain services that are silent for this many aims are given up, where that is allowed.
constexpr int ServiceAims = 2;

/// When to come back: a place in a queue frees within some passes, a start takes a second.
constexpr Millis RetryBusy{ 250 };
constexpr Millis RetryStarting{ 500 };

/// Entries of a ledger live at most this much longer than their deadline.
constexpr Millis LedgerSlack{ 500 };

std::string_view hostOf(const HttpRequest &request)
{
    return findHeader(request.m_headers, "Host");
}

bool isSuccess(unsigned status)
{
    return status >= StatusOk && status < StatusRedirect;
}

std::string retryAfterText(Millis delay)
{
    return fmt::format("{:.2f}", std::chrono::duration<double>(delay).count());
}

} // namespace

RelayRun::RelayRun(RelayNode &node, HttpExchange &exchange)
    : m_node(node)
    , m_exchange(exchange)
    , m_arrival(Clock::now())
    , m_head(node.m_dialect.m_readRequest(exchange.request()))
    , m_view(node.m_view.load())
    , m_lastEvent(m_head.m_lastEvent)
{ }

void RelayRun::run()
{
    if (!admit())
        return;
    m_exchange.onHangup([this] {
        m_hungUp = true;
        if (m_connection)
            m_connection->cancel();
    });
    attemptUntilDone();
}

bool RelayRun::admit()
{
    if (!m_view->complete()) {
        refuse(StatusUnavailable, "no configuration yet", RetryStarting);
        return false;
    }
    const RouteTable &routes = *m_view->m_routes;
    const bool fresh = freshEnough(m_view->m_proof, routes.m_version, DenialFreshness, m_arrival);
    m_route = findRoute(routes, hostOf(m_exchange.request()), m_exchange.request().path());
    if (!m_route) {
        if (fresh)
            refuse(StatusNotFound, "no such route", {});
        else
            refuse(StatusUnavailable, "no such route in a configuration of some age",
                   RetryStarting);
        return false;
    }
    if (!admitKey(fresh))
        return false;
    const double draw = std::uniform_real_distribution<double>(0, 1)(m_node.m_random);
    m_serviceId = drawService(*m_route, draw);
    const auto service = routes.m_services.find(m_serviceId);
    m_service = service == routes.m_services.end() ? nullptr : &service->second;
    m_deadline =
        m_arrival + std::min(m_head.m_deadline.value_or(m_route->m_timeout), m_route->m_timeout);
    countArrival(m_node.m_retries, m_serviceId, m_arrival);
    return true;
}

bool RelayRun::admitKey(bool fresh)
{
    constexpr uint32_t LeastUrgent = 9;
    m_urgency = std::min(m_route->m_priority, LeastUrgent);
    const RouteTable &routes = *m_view->m_routes;
    if (m_route->m_public || !routes.m_hasCustomers)
        return true;
    const RelayBounds &bounds = m_view->m_bounds;
    const Duration bound = bounds.m_revoke - FreshnessMargin;
    if (bounds.m_strictKeys && !freshEnough(m_view->m_proof, routes.m_version, bound, m_arrival)) {
        refuse(StatusUnavailable, "keys cannot be checked: the configuration may be old",
               RetryStarting);
        return false;
    }
    const auto holder = routes.m_keys.find(m_head.m_key);
    if (holder == routes.m_keys.end()) {
        if (fresh)
            refuse(StatusUnauthorized, "no such key", {});
        else
            refuse(StatusUnavailable, "no such key in a configuration of some age", RetryStarting);
        return false;
    }
    m_customer = holder->second.m_customer;
    m_urgency = std::min(holder->second.m_priority.value_or(m_urgency), LeastUrgent);
    return true;
}

Duration RelayRun::left() const
{
    return m_deadline - Clock::now();
}

void RelayRun::attemptUntilDone()
{
    while (mayAttempt()) {
        ++m_placements;
        m_load = m_node.nextKey();
        if (!awaitTurn())
            break;
        const auto plan = choose();
        if (!plan) {
            m_why = "no endpoint can take it";
            m_node.end(m_load);
            const bool waited = sleepFor(m_node.m_thread.context(), PlacementPause);
            if (waited)
                continue;
            break;
        }
        if (attempt(*plan) == AttemptEnd::Answered)
            return;
    }
    finishUnanswered();
}

bool RelayRun::mayAttempt()
{
    if (m_hungUp || left() <= Duration::zero() || m_placements >= MostPlacements)
        return false;
    if (m_mayHaveRun > 0 && (strict() || m_mayHaveRun >= m_route->m_maxAttempts))
        return false;
    return m_arrivals == 0 || m_node.takeRepeat(m_serviceId, *m_view);
}

std::vector<EndpointRecord> RelayRun::candidates() const
{
    // The newest list: endpoints may have left since the request arrived.
    const RelayViewPtr view = m_node.m_view.load();
    const auto pool = view->m_pools.find(m_serviceId);
    if (pool == view->m_pools.end())
        return {};
    std::vector<EndpointRecord> untried;
    for (const EndpointRecord &endpoint : pool->second) {
        if (m_tried.count(endpoint.m_id) == 0)
            untried.push_back(endpoint);
    }
    return healthyOf(m_node.m_ejections, std::move(untried), Clock::now());
}

GangSides RelayRun::sidesOf(const std::vector<EndpointRecord> &pool, const EndpointUses &uses,
                            bool strictStream) const
{
    const RelayViewPtr view = m_node.m_view.load();
    const auto whole = view->m_pools.find(m_serviceId);
    if (whole == view->m_pools.end())
        return { pool, {} };
    const auto strictSide =
        m_node.strictSide(m_serviceId, *m_service->m_engine, whole->second, uses);
    GangSides sides;
    for (const EndpointRecord &endpoint : pool) {
        const bool own = (strictSide.count(endpoint.m_id) > 0) == strictStream;
        (own ? sides.m_own : sides.m_other).push_back(endpoint);
    }
    return sides;
}

std::optional<GangPlan> RelayRun::choose()
{
    const std::vector<EndpointRecord> pool = candidates();
    const TimePoint now = Clock::now();
    const EndpointUses uses = m_node.m_ledger.uses(now);
    const DataCentreId &here = m_node.m_settings.m_dataCentre;
    if (!isModelRequest()) {
        const EndpointRecord *best = leastLoaded(pool, uses, here);
        if (!best)
            return std::nullopt;
        return GangPlan{ { { *best, 0, 0, false } }, FloatMillis(0) };
    }
    const EngineCosts &costs = *m_service->m_engine;
    GangQuestion question;
    question.m_promptTokens = static_cast<double>(m_head.m_promptTokens);
    question.m_answerTokens = static_cast<double>(costs.m_usualAnswerTokens);
    question.m_gapLimitMs = gapLimitMs();
    question.m_dataCentre = here;
    question.m_aim = m_route->m_aim;
    question.m_draw = [this] {
        return std::uniform_real_distribution<double>(0, 1)(m_node.m_random);
    };
    return planGang(m_node.m_gang, costs, sidesOf(pool, uses, question.strict()), uses, question);
}

bool RelayRun::isModelRequest() const
{
    return m_service && m_service->m_engine && m_head.m_promptTokens > 0;
}

uint32_t RelayRun::roomNow() const
{
    const RelayViewPtr view = m_node.m_view.load();
    const auto pool = view->m_pools.find(m_serviceId);
    if (pool == view->m_pools.end())
        return 1;
    const EndpointUses uses = m_node.m_ledger.uses(Clock::now());
    const auto strictSide =
        m_node.strictSide(m_serviceId, *m_service->m_engine, pool->second, uses);
    const bool strictStream = isStrictGap(gapLimitMs());
    SideLoad load;
    load.m_reading = m_node.m_ledger.readingLong();
    load.m_engines = strictStream ? strictSide.size() : pool->second.size() - strictSide.size();
    load.m_engines = std::max<size_t>(load.m_engines, 1);
    load.m_slots = static_cast<uint32_t>(load.m_engines) * m_service->m_engine->m_slots;
    for (const EndpointRecord &endpoint : pool->second) {
        const auto use = uses.find(endpoint.m_id);
        if (use != uses.end())
            load.m_strictStreams += use->second.m_strictWriters;
    }
    return strictStream ? roomToWrite(m_node.m_turns, load) : roomToRead(m_node.m_turns, load);
}

WaitingTurn RelayRun::turnWanted() const
{
    const TurnSettings &turns = m_node.m_turns;
    const RelayViewPtr view = m_node.m_view.load();
    const auto pool = view->m_pools.find(m_serviceId);
    const size_t engines = pool == view->m_pools.end() ? 1 : pool->second.size();
    const FloatMillis read =
        readTime(*m_service->m_engine, static_cast<double>(m_head.m_promptTokens));
    const FloatMillis needed =
        isStrictGap(gapLimitMs())
            ? read + turns.m_strictNeed
            : read / static_cast<double>(engines) * turns.m_readFactor + turns.m_readOverhead;
    const auto patience =
        std::chrono::duration_cast<Duration>(clientPatience() * turns.m_patienceShare);
    const auto most =
        std::chrono::duration_cast<Duration>((m_deadline - m_arrival) * turns.m_timeShare);
    return { m_arrival + m_route->m_aim, std::chrono::duration_cast<Duration>(needed),
             m_arrival + std::min(patience, most) };
}

bool RelayRun::awaitTurn()
{
    if (!isModelRequest())
        return true;
    TurnQueue &queue = m_node.queueOf(gapLimitMs());
    const WaitingTurn turn = turnWanted();
    queue[m_load] = turn;
    bool told = false;
    for (;;) {
        const TimePoint now = Clock::now();
        const bool impatient = now >= turn.m_expiresAt;
        if (impatient || mayBegin(queue, m_load, roomNow(), now))
            return true;
        if (!told)
            m_node.wait(m_load, gapLimitMs(), turn);
        told = true;
        if (!sleepFor(m_node.m_thread.context(), TurnPoll) || m_hungUp || left() <= TurnPoll) {
            m_why = "waited for its turn";
            m_node.end(m_load);
            return false;
        }
    }
}

RelayRun::AttemptEnd RelayRun::attempt(const GangPlan &plan)
{
    MemoryTickets tickets(m_node);
    const Status reserved = tickets.reserve(plan.m_members);
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
    m_node.place(m_load, std::move(parts), static_cast<uint32_t>(m_route->m_gapAim.count()),
                 left() + LedgerSlack);
    logPlacement(plan);
    const AttemptEnd end = attemptPlaced(plan, tickets);
    m_node.end(m_load);
    return end;
}

Duration RelayRun::clientPatience() const
{
    return std::max(
        { LeastAbandon, m_route->m_aim * AbandonAims, m_route->m_gapAim * AbandonGaps });
}

Duration RelayRun::silencePatience() const
{
    return std::chrono::duration_cast<Duration>(clientPatience() * PatienceShare);
}

bool RelayRun::mayRepeat() const
{
    return !strict() && m_mayHaveRun < m_route->m_maxAttempts;
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
    auto connection = m_node.m_pool.acquire(*address, std::min<Duration>(left(), ConnectTimeout));
    if (!connection) {
        failAttempt(endpoint, FailureWeight::Telling, connection.error().m_message);
        return AttemptEnd::NotSent;
    }
    if (m_hungUp || left() <= Duration::zero())
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
        failAttempt(endpoint, FailureWeight::Chance, sent.error().m_message);
    }
    m_connection = nullptr;
    if (end == AttemptEnd::Answered || end == AttemptEnd::NotRun)
        m_node.m_pool.release(*address, std::move(*connection));
    return end;
}

RelayRun::AttemptEnd RelayRun::failAttempt(const EndpointRecord &endpoint, FailureWeight weight,
                                           std::string_view why)
{
    m_why = why;
    if (m_hungUp)
        return AttemptEnd::Failed;
    m_tried.insert(endpoint.m_id);
    m_node.noteFailure(endpoint.m_id, weight, why);
    DecisionLine("relay", "attempt failed")
        .text("request", m_head.m_id.str())
        .text("endpoint", endpoint.m_id.str())
        .text("why", why)
        .number("ms", std::chrono::duration_cast<Millis>(Clock::now() - m_arrival).count())
        .write();
    return AttemptEnd::Failed;
}

RelayRun::AttemptEnd RelayRun::converse(HttpConnection &connection, const EndpointRecord &endpoint,
                                        bool reused, TimePoint firstBy)
{
    auto response = connection.readHeader(std::max<Duration>(firstBy - Clock::now(), Millis(1)));
    if (!response) {
        // One that is silent past its time may only be slow; one that resets is failing.
        const bool silent = response.error().m_code == ErrorCode::DeadlineExceeded;
        if (silent && Clock::now() >= m_deadline)
            return AttemptEnd::Failed;
        return failAttempt(endpoint, FailureWeight::Chance,
                           silent ? "silent" : response.error().m_message);
    }
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
        return failAttempt(endpoint, FailureWeight::Chance, body.error().m_message);
    if (!head.m_signed || head.m_encoded)
        return failAttempt(endpoint, FailureWeight::Chance, "the answer is not the endpoint's own");
    response.m_body = std::move(*body);
    response.m_headers = head.m_endToEnd;
    if (response.m_status < StatusServerError) {
        recordSuccess(m_node.m_ejections, endpoint.m_id);
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
        if (!read) {
            const bool silent = read.error().m_code == ErrorCode::DeadlineExceeded;
            if (silent && Clock::now() >= m_deadline)
                return AttemptEnd::Failed;
            return failAttempt(endpoint, FailureWeight::Chance,
                               silent ? "silent" : read.error().m_message);
        }
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
        if (!ordered)
            return failAttempt(endpoint, FailureWeight::Telling, "events out of order");
    }
    if (!m_streaming) {
        m_streaming = true;
        m_exchange.startStream(response.m_status, head.m_endToEnd);
    }
    m_exchange.finish();
    logEnd(RelayOutcome::Complete, response.m_status, endpoint.m_id.str());
    return AttemptEnd::Answered;
}

void RelayRun::passOnEvents(const AnswerHead &head, unsigned status, const std::string &batch)
{
    const TimePoint now = Clock::now();
    if (m_streaming) {
        m_longestGap = std::max(m_longestGap, now - m_lastPassedOn);
        m_exchange.write(batch);
    } else {
        m_streaming = true;
        m_firstAfter = now - m_arrival;
        m_node.m_metrics.recordFirst(*m_route, m_firstAfter);
        m_exchange.startStream(status, head.m_endToEnd, batch);
    }
    m_lastPassedOn = now;
}

void RelayRun::logPlacement(const GangPlan &plan) const
{
    const GangMember &first = plan.m_members.front();
    DecisionLine("relay", "placed")
        .text("request", m_head.m_id.str())
        .text("endpoint", first.m_endpoint.m_id.str())
        .number("width", static_cast<int64_t>(plan.m_members.size()))
        .number("part_ms", static_cast<int64_t>(first.m_readMs))
        .number("predicted_ms", static_cast<int64_t>(plan.m_firstEvent.count()))
        .number("in_flight", static_cast<int64_t>(m_node.m_ledger.size()))
        .number("tried", static_cast<int64_t>(m_tried.size()))
        .write();
}

void RelayRun::finishUnanswered()
{
    if (m_hungUp) {
        m_exchange.abort();
        logEnd(RelayOutcome::Abandoned, 0, m_why);
        return;
    }
    if (m_streaming) {
        m_exchange.abort();
        logEnd(RelayOutcome::Cut, 0, m_why);
        return;
    }
    if (m_mayHaveRun == 0) {
        refuse(StatusUnavailable, m_why.empty() ? "no time left" : m_why, RetryBusy);
        return;
    }
    if (m_failure) {
        passOn(*m_failure);
        return;
    }
    const bool late = left() <= Duration::zero();
    refuse(late ? StatusGatewayTimeout : StatusBadGateway, m_why, {});
}

void RelayRun::passOn(const HttpResponse &response)
{
    if (m_route->m_kind != RouteKind::Stream)
        m_node.m_metrics.recordFirst(*m_route, Clock::now() - m_arrival);
    m_exchange.respond(response);
    logEnd(RelayOutcome::Complete, response.m_status, m_why);
}

void RelayRun::refuse(unsigned status, std::string_view why, Millis retryAfter)
{
    HttpResponse response;
    response.m_status = status;
    response.m_headers = m_node.m_dialect.m_writeAnswer(m_head.m_id);
    response.m_headers.push_back({ "Content-Type", "application/json" });
    if (retryAfter > Millis(0))
        response.m_headers.push_back({ "Retry-After", retryAfterText(retryAfter) });
    response.m_body = fmt::format(R"({{"error":{{"message":"{}","code":{}}}}})", why, status);
    m_exchange.respond(response);
    const bool denied = status == StatusUnauthorized || status == StatusNotFound;
    const bool notRun = status == StatusUnavailable;
    logEnd(denied   ? RelayOutcome::Denied
           : notRun ? RelayOutcome::Refused
                    : RelayOutcome::Failed,
           status, why);
}

void RelayRun::logEnd(RelayOutcome outcome, unsigned status, std::string_view why)
{
    const TimePoint now = Clock::now();
    if (m_route)
        m_node.m_metrics.countOutcome(m_route->m_kind, outcome);
    const FreshnessProof &proof = m_view->m_proof;
    DecisionLine("relay", "request ended")
        .text("request", m_head.m_id.str())
        .text("outcome", relayOutcomeName(outcome))
        .number("status", status)
        .text("why", why)
        .text("route", m_route ? std::string_view(m_route->m_name) : std::string_view())
        .text("service", m_serviceId.str())
        .text("customer", m_customer.str())
        .number("version", static_cast<int64_t>(proof.m_version))
        .number("version_age_ms",
                proof.known() ? std::chrono::duration_cast<Millis>(now - proof.m_provedAt).count()
                              : -1)
        .number("tokens", static_cast<int64_t>(m_head.m_promptTokens))
        .number("placements", m_placements)
        .number("arrivals", m_arrivals)
        .number("first_ms", std::chrono::duration_cast<Millis>(m_firstAfter).count())
        .number("longest_gap_ms", std::chrono::duration_cast<Millis>(m_longestGap).count())
        .number("ms", std::chrono::duration_cast<Millis>(now - m_arrival).count())
        .write();
}

} // namespace stackquay
