#include "relay/relay_run.h"

#include <algorithm>

#include <fmt/format.h>

namespace stackquay {

namespace {

constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;

/// Subtracted from the revocation time: a proof is up to one heartbeat old when it arrives, and the
/// check takes time.
constexpr Millis FreshnessMargin{ 700 };
/// Unknown routes and keys are denied only if the configuration was proved this recently.
constexpr Millis DenialFreshness{ 2'500 };

/// An answer that began this long ago, and goes on, shows that its engine does not crash on it: a
/// crash follows the begin within milliseconds.
constexpr Millis SoundAnswerAge{ 250 };

/// Retry-After values: a queue slot frees within some engine steps, a start takes a second.
constexpr Millis RetryAfterBusy{ 250 };
constexpr Millis RetryAfterStart{ 500 };
/// Longest one while the endpoints limit their requests: other VMs may have budget sooner.
constexpr Millis RetryAfterLimited{ 1'000 };
/// Other VMs can serve the request now; zero would mean that there is no Retry-After.
constexpr Millis RetryAfterDrain{ 10 };

constexpr size_t MaxLoggedParts = 16;

std::string_view hostOf(const HttpRequest &request)
{
    return findHeader(request.m_headers, "Host");
}

std::string retryAfterText(Millis delay)
{
    return fmt::format("{:.2f}", std::chrono::duration<double>(delay).count());
}

} // namespace

RelayRun::RelayRun(RelayNode &node, HttpExchange &exchange, RequestSource source)
    : m_node(node)
    , m_exchange(exchange)
    , m_source(source)
    , m_arrival(Clock::now())
    , m_head(node.m_dialect.m_readRequestHead(exchange.request()))
    , m_view(node.m_view.load())
    , m_lastEvent(m_head.m_lastEvent)
{
    m_node.m_runs.insert(this);
}

RelayRun::~RelayRun()
{
    m_node.m_runs.erase(this);
}

void RelayRun::run()
{
    if (!admit())
        return;
    m_exchange.onHangup([this] {
        m_clientDisconnected = true;
        cancelAttempts();
    });
    attemptUntilDone();
}

bool RelayRun::admit()
{
    if (!m_view->complete()) {
        refuse(StatusUnavailable, "no configuration yet", RetryAfterStart);
        return false;
    }
    const RouteTable &routes = *m_view->m_routes;
    const bool fresh = isFreshEnough(m_view->m_proof, routes.m_version, DenialFreshness, m_arrival);
    m_route = findRoute(routes, hostOf(m_exchange.request()), m_exchange.request().path());
    if (!m_route) {
        if (fresh)
            refuse(StatusNotFound, "no such route", {});
        else
            refuse(StatusUnavailable, "no such route in a configuration of some age",
                   RetryAfterStart);
        return false;
    }
    if (!admitKey(fresh))
        return false;
    const double draw = std::uniform_real_distribution<double>(0, 1)(m_node.m_random);
    m_serviceId = selectService(*m_route, draw);
    const auto service = routes.m_services.find(m_serviceId);
    m_service = service == routes.m_services.end() ? nullptr : &service->second;
    m_deadline =
        m_arrival + std::min(m_head.m_deadline.value_or(m_route->m_timeout), m_route->m_timeout);
    m_exchange.setAnswerDeadline(m_deadline);
    if (!admitWhileDraining())
        return false;
    if (!maySend()) {
        refuse(StatusUnavailable, m_failureReason, *m_quarantineRetryAfter);
        return false;
    }
    // The VM that forwards a request has counted it.
    if (m_source == RequestSource::Client)
        m_node.countArrival(m_serviceId, m_arrival);
    return true;
}

bool RelayRun::admitWhileDraining()
{
    const RelayViewPtr view = m_node.m_view.load();
    if (!m_node.m_stopping
        && (!isDraining(view->m_drain) || mayAccept(view->m_drain, m_arrival, timeNeeded())))
        return true;
    refuse(StatusUnavailable, "this VM is stopping", RetryAfterDrain);
    return false;
}

bool RelayRun::maySend()
{
    if (!maySendParts())
        return false;
    if (!maybeSuspect()) {
        m_suspectHandling = SuspectHandling::None;
        return true;
    }
    const SuspectDecision verdict =
        m_node.m_suspects.decideAttempt(fingerprint(), m_attempt.m_loadKey);
    m_suspectHandling = verdict.m_handling;
    if (verdict.isAllowed())
        return true;
    refuseSending(verdict.m_nextTryAfter,
                  verdict.m_handling == SuspectHandling::Quarantined
                      ? "the processes of endpoints ended under it"
                      : "endpoints ended under it, and it is being tried elsewhere");
    return false;
}

bool RelayRun::maySendParts()
{
    const PartDecision decision = decideParts();
    if (!decision.m_allowed)
        refuseSending(decision.m_nextTryAfter, QuarantinedPart);
    return decision.m_allowed;
}

void RelayRun::refuseSending(Duration retryAfter, std::string_view why)
{
    m_quarantineRetryAfter = std::chrono::duration_cast<Millis>(retryAfter);
    m_failureReason = why;
    m_node.m_metrics.m_blocked.add();
}

PartDecision RelayRun::decideParts()
{
    const PartTable &table = m_node.m_parts.table();
    if (table.m_quarantines.empty() || m_head.m_promptParts.empty())
        return {};
    const RelayViewPtr view = m_node.m_view.load();
    const TimePoint now = Clock::now();
    const bool mayProbe = mayProbeParts(table, promptParts(), m_node.m_settings.m_vm, view->m_peers,
                                        view->m_cell, now);
    return decidePrompt(table, promptParts(), mayProbe, now);
}

const PromptParts &RelayRun::promptParts()
{
    if (m_promptParts)
        return *m_promptParts;
    m_promptParts.emplace();
    m_promptParts->m_customer = partCustomerHash(m_customer);
    for (const PromptPartId &part : m_head.m_promptParts)
        m_promptParts->m_parts.push_back(partHash(part.str()));
    return *m_promptParts;
}

bool RelayRun::hasSoundAnswer() const
{
    return m_attempt.m_answeredAt != TimePoint{}
           && Clock::now() - m_attempt.m_answeredAt >= SoundAnswerAge;
}

bool RelayRun::hasAnswerOn(uint64_t part)
{
    if (!hasSoundAnswer())
        return false;
    const auto &parts = promptParts().m_parts;
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

void RelayRun::abandonIfQuarantined()
{
    if (!m_attempt.m_connection || m_attempt.m_abandoned || m_forwarding
        || m_attempt.m_answeredAt != TimePoint{} || decideParts().m_allowed)
        return;
    abandonAttempt(m_attempt, FailureWeight::None, QuarantinedPart);
}

bool RelayRun::admitKey(bool fresh)
{
    constexpr uint32_t LowestUrgency = 9;
    m_urgency = std::min(m_route->m_priority, LowestUrgency);
    const RouteTable &routes = *m_view->m_routes;
    if (m_route->m_public || !routes.m_hasCustomers)
        return true;
    const RelayBounds &bounds = m_view->m_bounds;
    const Duration bound = bounds.m_revocationTime - FreshnessMargin;
    if (bounds.m_strictKeys
        && !isFreshEnough(m_view->m_proof, routes.m_version, bound, m_arrival)) {
        refuse(StatusUnavailable, "keys cannot be checked: the configuration may be old",
               RetryAfterStart);
        return false;
    }
    const auto holder = routes.m_keys.find(m_head.m_key);
    if (holder == routes.m_keys.end()) {
        if (fresh)
            refuse(StatusUnauthorized, "no such key", {});
        else
            refuse(StatusUnavailable, "no such key in a configuration of some age",
                   RetryAfterStart);
        return false;
    }
    m_customer = holder->second.m_customer;
    if (!isFieldValue(m_customer.str())) {
        refuse(StatusUnavailable, "endpoints cannot be told the name of the customer",
               RetryAfterStart);
        return false;
    }
    m_urgency = std::min(holder->second.m_priority.value_or(m_urgency), LowestUrgency);
    return true;
}

const Fingerprint &RelayRun::fingerprint()
{
    const HttpRequest &request = m_exchange.request();
    if (!m_fingerprint)
        m_fingerprint =
            fingerprintOf({ request.m_method, request.m_target, m_customer.str() }, request.m_body);
    return *m_fingerprint;
}

bool RelayRun::maybeSuspect() const
{
    if (m_node.m_suspects.empty())
        return false;
    const HttpRequest &request = m_exchange.request();
    return m_node.m_suspects.mayContain(
        outlineOf({ request.m_method, request.m_target, m_customer.str() }, request.m_body.size()));
}

Duration RelayRun::remainingTime() const
{
    return m_deadline - Clock::now();
}

void RelayRun::attemptUntilDone()
{
    while (mayAttempt()) {
        ++m_placements;
        m_attempt = {};
        const Round round = attemptOnce();
        if (round == Round::Answered || m_answered)
            return;
        if (round == Round::GiveUp)
            break;
    }
    finishUnanswered();
}

RelayRun::Round RelayRun::attemptOnce()
{
    if (const auto peer = forwardPeer())
        return forward(*peer) == AttemptResult::Answered ? Round::Answered : Round::Again;
    // An attempt of this VM's own would most likely break, and promise nothing.
    if (!m_forwardedTo.empty() && m_node.m_path.isIsolated())
        return Round::GiveUp;
    m_attempt.m_loadKey = m_node.nextKey();
    const auto plan = awaitTurn();
    if (plan)
        return attempt(*plan) == AttemptResult::Answered ? Round::Answered : Round::Again;
    m_node.end(m_attempt.m_loadKey);
    if (isModelRequest() || noteLimited())
        return Round::GiveUp;
    m_failureReason = "no endpoint can take it";
    return sleepFor(m_node.m_thread.context(), PlacementRetryDelay) ? Round::Again : Round::GiveUp;
}

bool RelayRun::noteLimited()
{
    const RelayViewPtr view = m_node.m_view.load();
    const auto *pool = poolOf(*view, m_serviceId);
    const auto isFull = [&](const EndpointRecord &endpoint) {
        return m_node.m_limiter.isRestricted(endpoint)
               && !m_node.m_limiter.maySend(*view, endpoint);
    };
    if (!pool || pool->empty() || !std::all_of(pool->begin(), pool->end(), isFull))
        return false;
    m_failureReason = LimitedReason;
    const auto budget =
        std::chrono::ceil<Millis>(m_node.m_limiter.timeToBudget(*pool).value_or(RetryAfterLimited));
    // A client that comes back too late for its deadline does not come back.
    const bool comesBack = m_node.m_limiter.blocksAll(*pool) && budget < remainingTime();
    m_limitedRetryAfter =
        std::clamp(budget, RetryAfterBusy, comesBack ? budget + RetryAfterBusy : RetryAfterLimited);
    return true;
}

bool RelayRun::isBlockedBeyond(TimePoint latest) const
{
    const RelayViewPtr view = m_node.m_view.load();
    const auto *pool = poolOf(*view, m_serviceId);
    if (!pool || !m_node.m_limiter.blocksAll(*pool))
        return false;
    const auto time = m_node.m_limiter.timeToBudget(*pool);
    return !time || Clock::now() + *time > latest;
}

bool RelayRun::mayAttempt()
{
    if (m_clientDisconnected || m_node.m_stopping || remainingTime() <= Duration::zero()
        || m_placements >= MaxPlacements)
        return false;
    if (m_quarantineRetryAfter || !maySend())
        return false;
    if (cannotFinishInDrain())
        return false;
    const uint32_t runs = possibleRuns();
    if (runs > 0 && (atMostOnce() || runs >= attemptLimit()))
        return false;
    if (isEvacuated()) {
        m_failureReason = EvacuatedReason;
        return false;
    }
    if (m_sent.empty() || m_retryPaid)
        return true;
    m_retryPaid = m_node.spendRetryBudget(m_serviceId, *m_view, retryPurpose());
    if (m_retryPaid)
        return true;
    DecisionLine("relay", "retry refused by the budget")
        .text("request", m_head.m_id.str())
        .text("service", m_serviceId.str())
        .number("arrivals", static_cast<int64_t>(m_sent.size()))
        .number("left_ms", std::chrono::duration_cast<Millis>(remainingTime()).count())
        .write();
    return false;
}

RetryPurpose RelayRun::retryPurpose() const
{
    return m_standbys.empty() ? RetryPurpose::Replace : RetryPurpose::Parallel;
}

bool RelayRun::isEvacuated() const
{
    return m_node.m_view.load()->m_evacuatedServices.count(m_serviceId) > 0;
}

void RelayRun::finishUnanswered()
{
    if (m_clientDisconnected) {
        m_exchange.abort();
        logEnd(RelayOutcome::Abandoned, 0, m_failureReason);
        return;
    }
    if (m_streaming) {
        m_exchange.abort();
        logEnd(RelayOutcome::Cut, 0, m_failureReason);
        return;
    }
    const bool mayHaveRun = possibleRuns() > 0;
    if (!mayHaveRun && m_returnAdvice) {
        refuse(StatusUnavailable, m_failureReason,
               std::chrono::ceil<Millis>(
                   m_returnAdvice->m_delay.value_or(longestHonoured({}, remainingTime()))));
        return;
    }
    if (!mayHaveRun) {
        refuse(StatusUnavailable, m_failureReason.empty() ? "no time left" : m_failureReason,
               m_quarantineRetryAfter.value_or(m_limitedRetryAfter.value_or(retryDelay())));
        return;
    }
    if (m_endpointFailure) {
        forwardResponse(*m_endpointFailure);
        return;
    }
    const bool late = remainingTime() <= Duration::zero();
    refuse(late ? StatusGatewayTimeout : StatusBadGateway, m_failureReason, {});
}

void RelayRun::forwardResponse(const HttpResponse &response)
{
    if (m_route->m_kind != RouteKind::Stream)
        m_node.m_metrics.recordFirstEventTime(*m_route, Clock::now() - m_arrival);
    m_exchange.respond(response);
    m_answered = true;
    logEnd(RelayOutcome::Complete, response.m_status, m_failureReason);
}

void RelayRun::refuse(unsigned status, std::string_view why, Millis retryAfter)
{
    HttpResponse response;
    response.m_status = status;
    response.m_headers = m_node.m_dialect.m_writeResponseHeaders(m_head.m_id);
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

std::string RelayRun::partNames() const
{
    std::string names;
    for (size_t i = 0; i < std::min(m_head.m_promptParts.size(), MaxLoggedParts); ++i)
        names += (i > 0 ? " " : "") + m_head.m_promptParts[i].str();
    return names;
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
        .number("rank", m_urgency)
        .flag("returned", m_returnOf.has_value())
        .text("parts", partNames())
        .number("placements", m_placements)
        .number("arrivals", static_cast<int64_t>(m_sent.size()))
        .text("attempts", describeAttempts())
        .flag("from_vm", m_source == RequestSource::Vm)
        .number("first_ms", std::chrono::duration_cast<Millis>(m_firstEventDelay).count())
        .number("longest_gap_ms", std::chrono::duration_cast<Millis>(m_longestGap).count())
        .number("aim_ms", m_route ? m_route->m_latencyTarget.count() : 0)
        .number("gap_aim_ms", m_route ? m_route->m_gapLimit.count() : 0)
        .number("drain_ms", arrivedInDrainMs())
        .number("ms", std::chrono::duration_cast<Millis>(now - m_arrival).count())
        .write();
}

int64_t RelayRun::arrivedInDrainMs() const
{
    const RelayViewPtr view = m_node.m_view.load();
    if (!isDraining(view->m_drain))
        return -1;
    return std::chrono::duration_cast<Millis>(m_arrival - view->m_drain.m_drainStartedAt).count();
}

Millis RelayRun::retryDelay() const
{
    return isDraining(m_node.m_view.load()->m_drain) ? RetryAfterDrain : RetryAfterBusy;
}

void RelayRun::abortForShutdown()
{
    m_failureReason = "the process ends";
    cancelAttempts();
    DecisionLine("relay", "request given up")
        .text("request", m_head.m_id.str())
        .text("route", m_route ? std::string_view(m_route->m_name) : std::string_view())
        .flag("streaming", m_streaming)
        .number("may_have_run", possibleRuns())
        .text("attempts", describeAttempts())
        .number("drain_ms", arrivedInDrainMs())
        .number("ms", std::chrono::duration_cast<Millis>(Clock::now() - m_arrival).count())
        .write();
}

} // namespace stackquay
