#include "control/command.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "control/intent_tables.h"
#include "control/parser.h"

namespace stackquay {

namespace {

constexpr std::array OutcomeCodes{
    CommandOutcomeCodes{ CommandOutcome::Answered, "answered", 0, 200 },
    CommandOutcomeCodes{ CommandOutcome::Checked, "checked", 0, 200 },
    CommandOutcomeCodes{ CommandOutcome::Committed, "committed", 0, 200 },
    CommandOutcomeCodes{ CommandOutcome::Unchanged, "unchanged", 0, 200 },
    CommandOutcomeCodes{ CommandOutcome::Refused, "refused", 1, 400 },
    CommandOutcomeCodes{ CommandOutcome::Conflict, "conflict", 3, 409 },
    CommandOutcomeCodes{ CommandOutcome::NotPermitted, "not_permitted", 4, 403 },
    CommandOutcomeCodes{ CommandOutcome::Unavailable, "unavailable", 5, 503 },
    CommandOutcomeCodes{ CommandOutcome::Unknown, "unknown", 6, 504 },
    CommandOutcomeCodes{ CommandOutcome::NotInForce, "not_in_force", 7, 200 },
};

constexpr unsigned CommitTries = 16; ///< Against operators who are faster.
constexpr Millis InForcePoll{ 50 };
constexpr uint64_t DefaultHistory = 20;

using Transform = std::function<Result<Intent>(const Intent &)>;

CommandAnswer answer(CommandOutcome outcome, uint64_t revision, std::string text)
{
    CommandAnswer result;
    result.m_outcome = outcome;
    result.m_revision = revision;
    result.m_text = std::move(text);
    if (!result.m_text.ends_with('\n'))
        result.m_text += '\n';
    return result;
}

CommandOutcome outcomeOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Conflict:
        return CommandOutcome::Conflict;
    case ErrorCode::PermissionDenied:
    case ErrorCode::Unauthenticated:
        return CommandOutcome::NotPermitted;
    case ErrorCode::InvalidArgument:
    case ErrorCode::NotFound:
    case ErrorCode::AlreadyExists:
        return CommandOutcome::Refused;
    case ErrorCode::OutcomeUnknown:
        return CommandOutcome::Unknown;
    default:
        return CommandOutcome::Unavailable;
    }
}

CommandAnswer refusal(const Error &error, uint64_t revision)
{
    return answer(outcomeOf(error.m_code), revision, error.m_message);
}

Result<Intent> decodeState(const IntentState &state, UnknownFields unknown)
{
    if (state.m_revision == 0)
        return Intent();
    Result<Intent> intent = decodeIntent(state.m_snapshot, unknown);
    if (!intent)
        return makeError(ErrorCode::ProtocolError,
                         "The stored intent is of another version: " + intent.error().m_message);
    intent->m_revision = state.m_revision;
    return intent;
}

ChangeRow toRow(const IntentChange &change)
{
    return { change.m_revision, change.m_operator, change.m_statement, change.m_id,
             formatWallTime(change.m_at) };
}

bool countsForForce(const VmRow &vm)
{
    return vm.m_state == "live" || vm.m_state == "suspect";
}

/// One command of one operator.
class CommandRun
{
public:
    CommandRun(const CommandEnvironment &environment, const CommandRequest &request,
               const Operator &person)
        : m_environment(environment)
        , m_request(request)
        , m_operator(person)
        , m_change(request.m_change.empty() ? ChangeId(randomToken()) : request.m_change)
        , m_intent(environment.m_intent())
    { }

    CommandAnswer run()
    {
        const Result<Statement> statement = parseStatement(m_request.m_statement);
        if (!statement)
            return refusal(statement.error(), revision());
        m_text = statement->m_text;
        return std::visit([this](const auto &body) { return execute(body); }, statement->m_body);
    }

private:
    uint64_t revision() const { return m_intent ? m_intent->m_revision : 0; }

    CommandAnswer tableAnswer(const Table &table, std::vector<std::string> missing = {})
    {
        CommandAnswer result = answer(CommandOutcome::Answered, revision(), renderText(table));
        result.m_result = renderJson(table);
        result.m_missing = std::move(missing);
        if (!result.m_missing.empty())
            result.m_text += fmt::format("missing: {}\n", fmt::join(result.m_missing, ", "));
        return result;
    }

    CommandAnswer inStatement(const Error &error) const
    {
        return refusal({ error.m_code, fmt::format("In \"{}\": {}.", m_text, error.m_message) },
                       revision());
    }

    CommandAnswer execute(const ShowStatement &show)
    {
        std::vector<std::string> missing;
        const Result<Table> table = findTable(show.m_table, missing);
        if (!table)
            return inStatement(table.error());
        const Result<Table> selected = selectRows(*table, show);
        if (!selected)
            return inStatement(selected.error());
        return tableAnswer(*selected, std::move(missing));
    }

    Result<Table> findTable(const std::string &name, std::vector<std::string> &missing)
    {
        static const Intent nothing;
        if (Result<Table> table = intentTable(m_intent ? *m_intent : nothing, name))
            return table;
        if (name == "changes")
            return loadChanges();
        TextList allowed = intentTableNames();
        const TextList runtime = runtimeTableNames();
        if (std::find(runtime.begin(), runtime.end(), name) == runtime.end()) {
            allowed.insert(allowed.end(), runtime.begin(), runtime.end());
            return makeError(
                ErrorCode::InvalidArgument,
                fmt::format("found \"{}\", allowed a table: {}", name, fmt::join(allowed, ", ")));
        }
        if (name == "orders")
            return orderTable(m_environment.m_orders ? m_environment.m_orders()
                                                     : std::vector<OrderRow>());
        if (name == "leases")
            return leaseTable(m_environment.m_leases ? m_environment.m_leases()
                                                     : std::vector<LeaseRow>());
        const RuntimeState state = m_environment.m_runtime();
        missing = state.m_missing;
        return name == "vms" ? vmTable(state.m_vms) : requestTable(state.m_requests);
    }

    Result<Table> loadChanges()
    {
        const Result<IntentHead> head = m_environment.m_loadHead();
        if (!head)
            return tl::unexpected(head.error());
        std::vector<ChangeRow> rows;
        for (const IntentChange &change : head->m_changes)
            rows.push_back(toRow(change));
        return changeTable(rows);
    }

    CommandAnswer execute(const WhyStatement &why)
    {
        const Result<Explanation> explanation = m_environment.m_explain(why);
        if (!explanation)
            return inStatement(explanation.error());
        std::string text = explanation->m_decision + "\n";
        IntentJson figures = IntentJson::object();
        for (const ExplainedFigure &figure : explanation->m_figures) {
            text += fmt::format("  {}: {}\n", figure.m_name, figure.m_value);
            figures[figure.m_name] = figure.m_value;
        }
        CommandAnswer result = answer(CommandOutcome::Answered, revision(), std::move(text));
        result.m_result = { { "decision", explanation->m_decision }, { "figures", figures } };
        return result;
    }

    CommandAnswer execute(const HistoryStatement &history)
    {
        Result<Table> table = loadChanges();
        if (!table)
            return inStatement(table.error());
        std::reverse(table->m_rows.begin(), table->m_rows.end());
        const uint64_t limit = history.m_limit.value_or(DefaultHistory);
        if (limit < table->m_rows.size())
            table->m_rows.resize(limit);
        return tableAnswer(*table);
    }

    CommandAnswer execute(const ChangeStatement &statement)
    {
        return change(statement.m_dryRun, [&statement](const Intent &intent) {
            return applyChanges(intent, statement);
        });
    }

    CommandAnswer execute(const UndoStatement &statement)
    {
        const Result<Intent> before = loadRevision(statement.m_revision - 1);
        const Result<Intent> after = loadRevision(statement.m_revision);
        if (!before || !after)
            return inStatement(before ? after.error() : before.error());
        return change(statement.m_dryRun, [&, this](const Intent &intent) {
            return applyUndo(intent, *before, *after, statement, m_text);
        });
    }

    Result<Intent> loadRevision(uint64_t wanted)
    {
        const Result<IntentHead> head = m_environment.m_loadHead();
        if (!head)
            return tl::unexpected(head.error());
        for (const IntentChange &change : head->m_changes) {
            if (change.m_revision != wanted)
                continue;
            const Result<std::string> snapshot = m_environment.m_loadSnapshot(change.m_snapshot);
            if (!snapshot)
                return tl::unexpected(snapshot.error());
            return decodeState({ wanted, *snapshot }, UnknownFields::Refuse);
        }
        const uint64_t oldest = head->m_changes.empty() ? 0 : head->m_changes.front().m_revision;
        return makeError(ErrorCode::InvalidArgument,
                         fmt::format("found no snapshot of revision {}, allowed revisions {} to {}",
                                     wanted, oldest + 1, head->m_revision));
    }

    CommandAnswer change(bool dryRun, const Transform &transform)
    {
        if (dryRun)
            return check(transform);
        if (m_operator.m_role != OperatorRole::Change)
            return answer(CommandOutcome::NotPermitted, revision(),
                          fmt::format("In \"{}\": {} has the role read, allowed change.", m_text,
                                      m_operator.m_name));
        CommandAnswer result = commit(transform);
        result.m_change = m_change;
        if (result.m_outcome == CommandOutcome::Committed && m_request.m_wait > Millis::zero())
            waitInForce(result);
        return result;
    }

    CommandAnswer check(const Transform &transform)
    {
        const Result<Intent> present = loadNewest();
        if (!present)
            return refusal(present.error(), revision());
        const Result<Intent> next = transform(*present);
        if (!next)
            return refusal(next.error(), present->m_revision);
        const std::vector<Difference> differences = compareIntents(*present, *next);
        CommandAnswer result = answer(CommandOutcome::Checked, present->m_revision,
                                      stackquay::renderText(differences));
        result.m_result = renderJson(differences);
        return result;
    }

    Result<Intent> loadNewest()
    {
        const Result<IntentState> state = m_environment.m_load();
        if (!state)
            return tl::unexpected(state.error());
        return decodeState(*state, UnknownFields::Refuse);
    }

    CommandAnswer commit(const Transform &transform)
    {
        uint64_t seen = revision();
        for (unsigned tries = 0; tries < CommitTries; ++tries) {
            if (tries > 0 || m_request.m_age > Duration::zero()) {
                if (const auto settled = settle())
                    return *settled;
            }
            if (const auto finished = tryCommit(transform, seen))
                return *finished;
        }
        return answer(CommandOutcome::Conflict, seen,
                      fmt::format("In \"{}\": not in effect, other changes came first {} times.",
                                  m_text, CommitTries));
    }

    /// For a change that may have been sent before: the answer, if the head has it.
    std::optional<CommandAnswer> settle()
    {
        const Result<IntentHead> head = m_environment.m_loadHead();
        if (!head && m_request.m_age > Duration::zero())
            return answer(CommandOutcome::Unknown, revision(),
                          "May be in effect: " + head.error().m_message);
        if (!head)
            return std::nullopt;
        if (const IntentChange *change = findChange(*head, m_change))
            return committed(change->m_revision);
        if (m_request.m_age > IntentChangeRetention)
            return answer(CommandOutcome::Unknown, head->m_revision,
                          "May be in effect: it was first sent too long ago to tell.");
        return std::nullopt;
    }

    /// Nothing if another change came first.
    std::optional<CommandAnswer> tryCommit(const Transform &transform, uint64_t &seen)
    {
        const Result<Intent> present = loadNewest();
        if (!present)
            return answer(CommandOutcome::Unavailable, seen,
                          "Not in effect: " + present.error().m_message);
        seen = present->m_revision;
        const Result<Intent> next = transform(*present);
        if (!next)
            return refusal(next.error(), seen);
        if (compareIntents(*present, *next).empty())
            return answer(CommandOutcome::Unchanged, seen,
                          fmt::format("Unchanged: revision {} already has it.", seen));
        const std::string snapshot = encodeIntent(*next);
        const CommitResult result = m_environment.m_commit(
            { seen, m_change, m_operator.m_name, m_text, snapshot, m_request.m_age });
        switch (result.m_outcome) {
        case CommitOutcome::Committed:
            // An earlier commit of the same change has a snapshot of its own.
            if (result.m_revision == seen + 1)
                m_environment.m_committed({ result.m_revision, snapshot });
            return committed(result.m_revision);
        case CommitOutcome::Conflict:
            return std::nullopt;
        case CommitOutcome::NotWritten:
            return answer(CommandOutcome::Unavailable, seen,
                          "Not in effect: " + result.m_error.m_message);
        case CommitOutcome::Unknown:
            return answer(CommandOutcome::Unknown, seen,
                          "May be in effect: " + result.m_error.m_message);
        }
        std::abort();
    }

    CommandAnswer committed(uint64_t made)
    {
        return answer(CommandOutcome::Committed, made,
                      fmt::format("In effect at revision {}.", made));
    }

    void waitInForce(CommandAnswer &result)
    {
        const TimePoint until = m_environment.m_now() + m_request.m_wait;
        while (true) {
            const RuntimeState state = m_environment.m_runtime();
            result.m_missing = state.m_missing;
            result.m_behind.clear();
            for (const VmRow &vm : state.m_vms) {
                if (countsForForce(vm) && vm.m_revision < result.m_revision)
                    result.m_behind.push_back(vm.m_id.str());
            }
            if (result.m_behind.empty() && result.m_missing.empty()) {
                result.m_text += fmt::format("In force on {} nodes.\n", state.m_vms.size());
                return;
            }
            if (m_environment.m_now() >= until || !m_environment.m_sleep(InForcePoll))
                break;
        }
        result.m_outcome = CommandOutcome::NotInForce;
        result.m_text +=
            fmt::format("Not yet in force. behind: {} missing: {}\n",
                        fmt::join(result.m_behind, ", "), fmt::join(result.m_missing, ", "));
    }

    const CommandEnvironment &m_environment;
    const CommandRequest &m_request;
    const Operator &m_operator;
    const ChangeId m_change;
    const std::shared_ptr<const Intent> m_intent;
    std::string m_text;
};

} // namespace

const CommandOutcomeCodes &outcomeCodes(CommandOutcome outcome)
{
    return OutcomeCodes[static_cast<size_t>(outcome)];
}

Result<CommandOutcome> commandOutcomeFromName(std::string_view name)
{
    for (const CommandOutcomeCodes &codes : OutcomeCodes) {
        if (codes.m_name == name)
            return codes.m_outcome;
    }
    return makeError(ErrorCode::ProtocolError, fmt::format("unknown outcome \"{}\"", name));
}

Result<Operator> findOperator(const Intent *intent, std::string_view key)
{
    if (!key.empty() && intent) {
        const std::string hash = hashKey(key);
        for (const Operator &candidate : intent->m_operators) {
            if (candidate.m_keyHash == hash)
                return candidate;
        }
    }
    if (!intent)
        return makeError(ErrorCode::Unauthenticated, "No intent is in force here yet.");
    return makeError(ErrorCode::Unauthenticated, "No operator has this key.");
}

CommandAnswer runCommand(const CommandEnvironment &environment, const CommandRequest &request,
                         const Operator &person)
{
    return CommandRun(environment, request, person).run();
}

} // namespace stackquay
