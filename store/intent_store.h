/// Reads, commits and watches the declared intent. Its text is opaque here.
///
/// A commit writes the snapshot first and then the head, conditionally: the change takes effect as
/// written at the next revision, or not at all.
#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

#include "store/backoff.h"
#include "store/intent_head.h"

namespace stackquay {

struct IntentState {
    uint64_t m_revision = 0; ///< 0: nothing was ever declared.
    std::string m_snapshot; ///< The whole intent as text; empty at revision 0.
};

struct IntentCommit {
    uint64_t m_expectedRevision = 0; ///< What the change was checked against.
    ChangeId m_change; ///< Unique; the same when an operator sends the same change again.
    std::string m_operator;
    std::string m_statement;
    std::string m_snapshot; ///< The whole intent after the change.
    /// Time since the operator first sent this change, by the operator's own clock.
    Duration m_age{};
};

enum class CommitOutcome {
    Committed, ///< In effect as written, now or earlier, at m_revision.
    Conflict, ///< Not in effect and never will be: the intent had changed.
    NotWritten, ///< Not in effect and never will be: see m_error.
    Unknown, ///< May be in effect, or may come into effect.
};

struct CommitResult {
    CommitOutcome m_outcome = CommitOutcome::Unknown;
    uint64_t m_revision = 0; ///< Committed: of the change. Conflict: the present one.
    IntentHead m_head; ///< The head last seen, for Committed and Conflict.
    Error m_error; ///< For Conflict, NotWritten and Unknown.
};

struct IntentSettings {
    Duration m_watchTimeout = Seconds(30); ///< One waiting watch.
    BackoffSettings m_backoff{ Millis(100), Seconds(5) };
    /// How often the lost answer of one write is followed up.
    unsigned m_settleTries = 8;
};

/// For fibers of one thread.
class IntentStore
{
public:
    using WallClock = std::function<WallTime()>;
    using Callback = std::function<void(const IntentState &)>;

    IntentStore(ObjectApi &objects, boost::asio::io_context &context, IntentSettings settings,
                RandomEngine random, WallClock wallClock = std::chrono::system_clock::now);

    Result<IntentHead> loadHead();
    Result<IntentState> load();
    CommitResult commit(const IntentCommit &commit);
    /// Calls back with each higher revision that it sees, starting above @p revision, until the
    /// thread stops or stop() is called. Falls back to reading while watching fails.
    void watch(uint64_t revision, const Callback &callback);
    void stop() { m_stopped = true; }
    /// Lets watch() run again after stop().
    void resume() { m_stopped = false; }
    /// Removes snapshots that neither the head nor a kept change names, such as those of commits
    /// that lost. commit() removes what falls out of the head by itself.
    Status dropOldSnapshots();

private:
    CommitResult writeHead(const IntentCommit &commit, const IntentHead &seen,
                           const std::string &snapshotKey);
    CommitResult afterConflict(const IntentCommit &commit, bool mayBeWritten);
    Result<std::string> writeSnapshot(const IntentCommit &commit);
    void removeSnapshots(const std::vector<IntentChange> &changes);
    bool watchOnce(uint64_t &revision, std::optional<uint64_t> &sequence, const Callback &callback);
    bool applyNewer(uint64_t &revision, const Callback &callback);
    bool pauseAfterFailure(unsigned failures);

    ObjectApi &m_objects;
    boost::asio::io_context &m_context;
    IntentSettings m_settings;
    RandomEngine m_random;
    WallClock m_wallClock;
    bool m_stopped = false;
};

} // namespace stackquay
