/// Reads, commits and watches the declared intent in the object store. The text is opaque here.
///
/// A commit first writes the snapshot, then the head by a conditional write. The change either
/// becomes the next revision exactly as written, or has no effect.
#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

#include "store/backoff.h"
#include "store/intent_head.h"

namespace stackquay {

struct IntentState {
    uint64_t m_revision = 0; ///< 0: no intent was ever committed.
    std::string m_snapshot; ///< The complete intent as text; empty at revision 0.
};

struct IntentCommit {
    uint64_t m_expectedRevision = 0; ///< The revision on which the change is based.
    ChangeId m_change; ///< Unique per change; the same in retries of it.
    std::string m_operator; ///< Who makes the change.
    std::string m_statement;
    std::string m_snapshot; ///< The complete intent after the change.
    /// Time since the operator first sent this change, by the operator's clock; zero: a first try.
    Duration m_age{};
};

enum class CommitOutcome {
    Committed, ///< Took effect as written at m_revision, now or in an earlier try.
    Conflict, ///< Has no effect, now or later: the intent had changed.
    NotWritten, ///< Has no effect, now or later: see m_error.
    Unknown, ///< May have taken effect, or may still do so.
};

struct CommitResult {
    CommitOutcome m_outcome = CommitOutcome::Unknown;
    uint64_t m_revision = 0; ///< Committed: of the change. Conflict: the current one.
    IntentHead m_head; ///< For Committed and Conflict: the head last read or written.
    Error m_error; ///< For Conflict, NotWritten and Unknown.
};

struct IntentSettings {
    Duration m_watchTimeout = Seconds(30); ///< Longest wait of one watch call.
    BackoffSettings m_backoff{ Millis(100), Seconds(5) };
    /// How many times a write with unknown outcome is retried, and the head read after a conflict.
    unsigned m_unknownOutcomeRetries = 8;
};

/// To be used by the fibers of one thread.
class IntentStore
{
public:
    using WallClock = std::function<WallTime()>;
    using Callback = std::function<void(const IntentState &)>;

    IntentStore(ObjectApi &objects, boost::asio::io_context &context, IntentSettings settings,
                RandomEngine random, WallClock wallClock = std::chrono::system_clock::now);

    /// A default head (revision 0) if no intent was ever committed.
    Result<IntentHead> loadHead();
    /// Reads the head and its snapshot.
    Result<IntentState> load();
    /// Idempotent: a change that the head already lists is Committed at its first revision.
    CommitResult commit(const IntentCommit &commit);
    /// Calls @p callback for each revision above @p revision that it observes, in increasing order;
    /// it may skip some. Returns when the thread is stopping or stop() was called. Polls the head
    /// while watch calls fail.
    void watch(uint64_t revision, const Callback &callback);
    /// Ends watch() after its current call.
    void stop() { m_stopped = true; }
    /// Allows watch() to be called again after stop().
    void resume() { m_stopped = false; }
    /// Removes snapshots that neither the head nor a listed change references, such as those of
    /// failed commits. commit() itself removes the snapshots of changes that leave the head.
    Status removeOrphanedSnapshots();

private:
    CommitResult writeHead(const IntentCommit &commit, const IntentHead &seen,
                           const std::string &snapshotKey);
    CommitResult resolveConflict(const IntentCommit &commit, bool mayBeWritten);
    Result<std::string> writeSnapshot(const IntentCommit &commit);
    void removeSnapshots(const std::vector<IntentChange> &changes);
    bool watchOnce(uint64_t &revision, std::optional<uint64_t> &sequence, const Callback &callback);
    bool reportNewer(uint64_t &revision, const Callback &callback);
    bool pauseAfterFailure(unsigned failures);

    ObjectApi &m_objects;
    boost::asio::io_context &m_context;
    IntentSettings m_settings;
    RandomEngine m_random;
    WallClock m_wallClock;
    bool m_stopped = false;
};

} // namespace stackquay
