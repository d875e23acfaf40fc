/// Commands of operators: one statement in, one answer out.
#pragma once

#include <functional>
#include <memory>

#include "control/apply.h"
#include "control/runtime_tables.h"
#include "store/store.h"

namespace stackquay {

enum class CommandOutcome {
    Answered, ///< A query.
    Checked, ///< A dry run that would be accepted.
    Committed, ///< In effect as written.
    Unchanged, ///< Accepted, and already so.
    Refused, ///< Not in effect: the statement is wrong.
    Conflict, ///< Not in effect: a condition does not hold, or others were faster.
    NotPermitted, ///< Not in effect: no valid key, or its role does not allow it.
    Unavailable, ///< Not in effect, or no answer: the store or the daemon cannot be reached.
    Unknown, ///< May be in effect.
    NotInForce, ///< In effect, but not yet in force everywhere when the wait ended.
};

/// How an outcome shows towards programs.
struct CommandOutcomeCodes {
    CommandOutcome m_outcome;
    std::string_view m_name;
    int m_exitCode; ///< Of stackquayctl.
    unsigned m_httpStatus;
};

const CommandOutcomeCodes &outcomeCodes(CommandOutcome outcome);
/// ProtocolError if there is no such name.
Result<CommandOutcome> commandOutcomeFromName(std::string_view name);

struct CommandRequest {
    std::string m_statement; ///< Exactly one.
    /// The same when the caller sends the same change again; empty: a new one.
    ChangeId m_change;
    Duration m_age{}; ///< Since the caller first sent this change.
    Millis m_wait{ 0 }; ///< How long to wait until the change is in force everywhere.
};

struct CommandAnswer {
    CommandOutcome m_outcome = CommandOutcome::Answered;
    uint64_t m_revision = 0; ///< Of the intent that the answer speaks of.
    std::string m_text; ///< For people; ends with a newline.
    IntentJson m_result; ///< The same for programs; null if the text is all.
    std::vector<std::string> m_behind; ///< Nodes where the change is not yet in force.
    std::vector<std::string> m_missing; ///< Nodes that did not report.
    ChangeId m_change; ///< For changes.
};

/// A figure that a decision used.
struct ExplainedFigure {
    std::string m_name;
    std::string m_value;
};

/// The answer to `why`.
struct Explanation {
    std::string m_decision; ///< One sentence.
    std::vector<ExplainedFigure> m_figures;
};

/// What commands act on. Every function is called in a fiber of the control thread and may block
/// it.
struct CommandEnvironment {
    /// The intent in force on this node; null before the first.
    std::function<std::shared_ptr<const Intent>()> m_intent;
    std::function<Result<IntentState>()> m_load; ///< The newest of the store.
    std::function<Result<IntentHead>()> m_loadHead;
    std::function<Result<std::string>(const std::string &key)> m_loadSnapshot;
    std::function<CommitResult(const IntentCommit &)> m_commit;
    /// Told of a commit, so that it comes into force here without waiting for the watch.
    std::function<void(const IntentState &)> m_committed;
    std::function<RuntimeState()> m_runtime;
    std::function<Result<Explanation>(const WhyStatement &)> m_explain;
    std::function<bool(Duration)> m_sleep; ///< False: the thread is stopping.
    std::function<TimePoint()> m_now;
};

/// Who may do what: the operator with this bearer key, or Unauthenticated.
Result<Operator> findOperator(const Intent *intent, std::string_view key);

/// Runs one statement for one operator.
CommandAnswer runCommand(const CommandEnvironment &environment, const CommandRequest &request,
                         const Operator &person);

} // namespace stackquay
