#include "load/client.h"

#include <fmt/format.h>

namespace stackquay {

namespace {

constexpr size_t IdleConnections = 4'096;
constexpr size_t ProblemsKept = 5;
constexpr Seconds ConnectTimeout{ 5 };
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusTooLong = 413;
constexpr unsigned StatusUnavailable = 503;
constexpr size_t ProblemBytes = 300;

Micros toMicros(Duration duration)
{
    return std::chrono::duration_cast<Micros>(duration);
}

} // namespace

bool AnswerBook::agrees(uint64_t promptSeed, uint64_t textHash)
{
    const std::lock_guard lock(m_mutex);
    return m_hashes.try_emplace(promptSeed, textHash).first->second == textHash;
}

/// One request under way.
struct LoadClient::Call {
    explicit Call(const PlannedRequest &planned)
        : m_planned(planned)
    { }

    const PlannedRequest &m_planned;
    TimePoint m_due;
    Address m_target;
    std::unique_ptr<HttpConnection> m_connection;
    AttemptId m_attempt;
    AnswerCheck m_check{ {} };
    LoadRecord m_record;
    TimePoint m_lastFrame;
    bool m_cleanEnd = false;
};

LoadClient::LoadClient(FiberThread &thread, LoadShared &shared, size_t firstTarget)
    : m_thread(thread)
    , m_shared(shared)
    , m_pool(thread.context(), IdleConnections)
    , m_nextTarget(firstTarget)
    , m_sendingEnd(shared.m_start + planLength(shared.m_options))
{ }

LoadRecord LoadClient::run(const PlannedRequest &planned)
{
    const bool closedLoop = m_shared.m_options.m_closedLoops > 0;
    Call call(planned);
    call.m_due = closedLoop ? Clock::now() : m_shared.m_start + planned.m_arrival;
    call.m_target = nextTarget();
    LoadRecord &record = call.m_record;
    record.m_class = planned.m_class;
    record.m_priority = planned.m_priority;
    record.m_phase = planned.m_phase;
    record.m_customer = planned.m_customer;
    record.m_promptTokens = planned.m_promptTokens;
    record.m_arrival = toMicros(call.m_due - m_shared.m_start);
    send(call);
    record.m_total = toMicros(Clock::now() - call.m_due);
    if (record.m_outcome != LoadOutcome::Complete && m_shared.m_cutOff)
        record.m_outcome = LoadOutcome::Unfinished;
    return record;
}

void LoadClient::send(Call &call)
{
    HttpRequest request = makeRequest(call);
    if (!exchangeHeader(call, request))
        return;
    request = {};
    if (call.m_record.m_outcome == LoadOutcome::Refused)
        return;
    if (call.m_planned.m_service) {
        const auto body = call.m_connection->readWhole(m_shared.m_options.m_requestTimeout);
        if (!body)
            return fail(call, LoadOutcome::Failed, toString(body.error()));
        call.m_record.m_outcome = LoadOutcome::Complete;
    } else {
        readStream(call);
    }
    if (call.m_record.m_outcome == LoadOutcome::Complete)
        m_pool.release(call.m_target, std::move(call.m_connection));
}

/// Sends and reads status and headers. True if a body to check follows. A kept-alive connection
/// that the peer has closed meanwhile is replaced once, unless the call must not be repeated.
bool LoadClient::exchangeHeader(Call &call, const HttpRequest &request)
{
    const Duration timeout = m_shared.m_options.m_requestTimeout;
    const bool repeatable = !call.m_planned.m_service;
    for (bool fresh = !repeatable;; fresh = true) {
        auto connection = m_pool.acquire(call.m_target, ConnectTimeout, fresh);
        if (!connection) {
            fail(call, LoadOutcome::Unreachable, toString(connection.error()));
            return false;
        }
        call.m_connection = std::move(*connection);
        const bool reused = call.m_connection->bytesSent() > 0;
        Error error;
        if (const Status sent = call.m_connection->send(request, timeout); !sent) {
            error = sent.error();
        } else {
            const auto response = call.m_connection->readHeader(timeout);
            if (response) {
                judgeStatus(call, *response);
                return response->m_status == StatusOk;
            }
            error = response.error();
        }
        if (reused && repeatable && error.m_code == ErrorCode::Unavailable)
            continue;
        fail(call, LoadOutcome::Failed, toString(error));
        return false;
    }
}

void LoadClient::judgeStatus(Call &call, const HttpResponse &response)
{
    call.m_record.m_status = static_cast<uint16_t>(response.m_status);
    if (response.m_status == StatusOk)
        return;
    const auto body = call.m_connection->readWhole(m_shared.m_options.m_requestTimeout);
    const bool direct = m_shared.m_options.m_direct;
    const bool refusedByEngine =
        direct && (response.m_status == StatusUnavailable || response.m_status == StatusTooLong);
    const bool refused =
        refusedByEngine || findHeader(response.m_headers, "Stackquay-Outcome") == "not-run";
    fail(call, refused ? LoadOutcome::Refused : LoadOutcome::Failed,
         fmt::format("status {}: {}", response.m_status, body ? *body : toString(body.error())));
    if (body)
        m_pool.release(call.m_target, std::move(call.m_connection));
}

void LoadClient::readStream(Call &call)
{
    std::string piece;
    while (true) {
        const Status status =
            call.m_connection->readBody(piece, m_shared.m_options.m_requestTimeout);
        if (!status) {
            const std::string problem =
                call.m_check.problem().empty() ? toString(status.error()) : call.m_check.problem();
            const bool wrong = call.m_check.state() == AnswerState::Wrong;
            return fail(call, wrong ? LoadOutcome::Wrong : LoadOutcome::Failed, problem);
        }
        if (piece.empty())
            return judgeStream(call);
        const uint32_t before = call.m_check.tokens();
        call.m_check.feed(piece);
        if (call.m_check.tokens() > before)
            noteTokens(call, before);
    }
}

void LoadClient::noteTokens(Call &call, uint32_t before)
{
    LoadRecord &record = call.m_record;
    const TimePoint now = Clock::now();
    record.m_outputTokens = call.m_check.tokens();
    if (now < m_sendingEnd)
        m_tokensWhileSending += record.m_outputTokens - before;
    if (before == 0)
        record.m_firstToken = toMicros(now - call.m_due);
    else
        record.m_longestGap = std::max(record.m_longestGap, toMicros(now - call.m_lastFrame));
    call.m_lastFrame = now;
}

void LoadClient::judgeStream(Call &call)
{
    const AnswerCheck &check = call.m_check;
    LoadRecord &record = call.m_record;
    record.m_cachedTokens = check.cachedTokens();
    if (check.state() == AnswerState::Open)
        return fail(call, LoadOutcome::Truncated, "clean end without the final frame");
    if (check.state() == AnswerState::Errored)
        return fail(call, LoadOutcome::Failed, check.problem());
    if (check.state() == AnswerState::Wrong)
        return fail(call, LoadOutcome::Wrong, check.problem());
    const bool compare = m_shared.m_options.m_repeatShare > 0;
    if (compare && !m_shared.m_answers.agrees(call.m_planned.m_promptSeed, check.textHash()))
        return fail(call, LoadOutcome::Wrong, "another answer to the same prompt");
    record.m_outcome = LoadOutcome::Complete;
    if (record.m_outputTokens > 1) {
        const Micros first = record.m_firstToken;
        const Micros last = toMicros(call.m_lastFrame - call.m_due);
        record.m_meanGap = (last - first) / (record.m_outputTokens - 1);
    }
}

void LoadClient::fail(Call &call, LoadOutcome outcome, std::string problem)
{
    call.m_record.m_outcome = outcome;
    if (m_problems.size() >= ProblemsKept || m_shared.m_cutOff)
        return;
    problem.resize(std::min(problem.size(), ProblemBytes));
    m_problems.push_back(
        fmt::format("{} {}: {}", toString(call.m_target), loadOutcomeName(outcome), problem));
}

HttpRequest LoadClient::makeRequest(Call &call) const
{
    const LoadOptions &options = m_shared.m_options;
    const PlannedRequest &planned = call.m_planned;
    HttpRequest request;
    request.m_method = "POST";
    request.m_headers.push_back({ "Content-Type", "application/json" });
    const std::string &key = options.m_customers[planned.m_customer].m_key;
    if (!key.empty())
        request.m_headers.push_back({ "Authorization", "Bearer " + key });
    if (planned.m_service) {
        request.m_target = fmt::format("/service/{}/entries", options.m_service);
        request.m_headers.push_back({ "Stackquay-Repeatable", "no" });
        request.m_headers.push_back({ "Idempotency-Key", planned.m_idempotencyKey });
        request.m_body = fmt::format(R"({{"entry":"{}"}})", planned.m_idempotencyKey);
        return request;
    }
    request.m_target = "/v1/completions";
    ExpectedAnswer expected;
    expected.m_promptTokens = planned.m_promptTokens;
    expected.m_maxTokens = planned.m_outputTokens;
    if (options.m_direct) {
        call.m_attempt = AttemptId(randomToken());
        expected.m_form = AnswerForm::Engine;
        expected.m_attempt = call.m_attempt.str();
        request.m_body = makeEngineBody(m_shared.m_text, planned, options, call.m_attempt);
    } else {
        request.m_body = makeCallerBody(m_shared.m_text, planned, options);
        if (planned.m_priority > 0)
            request.m_headers.push_back(
                { "Stackquay-Priority", std::to_string(planned.m_priority) });
        if (options.m_deadline > Duration::zero())
            request.m_headers.push_back(
                { "Stackquay-Deadline",
                  std::to_string(std::chrono::duration_cast<Millis>(options.m_deadline).count()) });
    }
    call.m_check = AnswerCheck(std::move(expected));
    return request;
}

Address LoadClient::nextTarget()
{
    const auto &targets = m_shared.m_options.m_targets;
    return targets[m_nextTarget++ % targets.size()];
}

} // namespace stackquay
