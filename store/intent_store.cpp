#include "store/intent_store.h"

#include <fmt/format.h>

#include "net/net.h"

namespace stackquay {

namespace {

constexpr unsigned MaxLoadAttempts = 3;

/// A unique key. Keys sort by revision when listed.
std::string snapshotKey(uint64_t revision)
{
    return fmt::format("{}{:020}-{}", IntentSnapshotPrefix, revision, randomToken());
}

CommitResult notWrittenResult(Error error)
{
    return { CommitOutcome::NotWritten, 0, {}, std::move(error) };
}

CommitResult unknownResult(std::string message)
{
    return { CommitOutcome::Unknown, 0, {}, { ErrorCode::OutcomeUnknown, std::move(message) } };
}

CommitResult committedResult(uint64_t revision, IntentHead head)
{
    return { CommitOutcome::Committed, revision, std::move(head), {} };
}

CommitResult conflictResult(IntentHead head)
{
    Error error{ ErrorCode::Conflict,
                 fmt::format("the intent is at revision {}", head.m_revision) };
    const uint64_t revision = head.m_revision;
    return { CommitOutcome::Conflict, revision, std::move(head), std::move(error) };
}

/// The result of the commit if the head alone decides it; nullopt if the change has to be written.
std::optional<CommitResult> resultFromHead(const IntentCommit &commit, const IntentHead &head)
{
    if (const IntentChange *change = findChange(head, commit.m_change))
        return committedResult(change->m_revision, head);
    if (commit.m_age > IntentChangeRetention)
        return unknownResult("the change was first sent too long ago to tell");
    if (commit.m_expectedRevision == head.m_revision)
        return std::nullopt;
    const bool isRetry = commit.m_age > Duration::zero();
    if (isRetry && !listsChangesAfter(head, commit.m_expectedRevision))
        return unknownResult("the head no longer lists all changes since the expected revision");
    return conflictResult(head);
}

} // namespace

IntentStore::IntentStore(ObjectApi &objects, boost::asio::io_context &context,
                         IntentSettings settings, RandomEngine random, WallClock wallClock)
    : m_objects(objects)
    , m_context(context)
    , m_settings(settings)
    , m_random(random)
    , m_wallClock(std::move(wallClock))
{ }

Result<IntentHead> IntentStore::loadHead()
{
    const auto object = m_objects.get(IntentHeadKey);
    if (object)
        return parseIntentHead(*object);
    if (object.error().m_code == ErrorCode::NotFound)
        return IntentHead{};
    return tl::unexpected(object.error());
}

Result<IntentState> IntentStore::load()
{
    Error error;
    for (unsigned i = 0; i < MaxLoadAttempts; ++i) {
        const auto head = loadHead();
        if (!head)
            return tl::unexpected(head.error());
        if (head->m_revision == 0)
            return IntentState{};
        auto snapshot = m_objects.get(head->m_snapshot);
        if (snapshot) {
            auto text = unpackText(std::move(snapshot->m_value));
            if (!text)
                return tl::unexpected(text.error());
            return IntentState{ head->m_revision, std::move(*text) };
        }
        error = snapshot.error();
        // Not found: a newer head was written meanwhile, and the snapshot was removed.
        if (error.m_code != ErrorCode::NotFound)
            break;
    }
    return tl::unexpected(error);
}

CommitResult IntentStore::commit(const IntentCommit &commit)
{
    const auto head = loadHead();
    if (!head)
        return notWrittenResult(head.error());
    if (auto result = resultFromHead(commit, *head))
        return *result;
    const auto key = writeSnapshot(commit);
    if (!key)
        return notWrittenResult(key.error());
    CommitResult result = writeHead(commit, *head, *key);
    const bool certainlyNotWritten = result.m_outcome == CommitOutcome::Conflict
                                     || result.m_outcome == CommitOutcome::NotWritten;
    if (certainlyNotWritten)
        (void)m_objects.remove(*key, std::nullopt);
    return result;
}

Result<std::string> IntentStore::writeSnapshot(const IntentCommit &commit)
{
    const std::string key = snapshotKey(commit.m_expectedRevision + 1);
    const auto value = packText(commit.m_snapshot);
    if (!value)
        return tl::unexpected(value.error());
    for (unsigned i = 0;; ++i) {
        const auto written = m_objects.put(key, *value, NoObject);
        if (written)
            return key;
        const ErrorCode code = written.error().m_code;
        // The key is unique to this call, so an existing object is our own write whose response was
        // lost.
        if (code == ErrorCode::Conflict)
            return key;
        if (code != ErrorCode::OutcomeUnknown || i >= m_settings.m_unknownOutcomeRetries
            || !pauseAfterFailure(i))
            return tl::unexpected(written.error());
    }
}

CommitResult IntentStore::writeHead(const IntentCommit &commit, const IntentHead &seen,
                                    const std::string &snapshotKey)
{
    IntentHead next = seen;
    const auto dropped = appendChange(next, { commit.m_change, 0, commit.m_operator,
                                              commit.m_statement, snapshotKey, m_wallClock() });
    const std::string value = formatIntentHead(next);
    if (value.size() > ObjectValueLimit)
        return notWrittenResult(
            { ErrorCode::ResourceExhausted, "too many changes in a short time" });
    bool mayBeWritten = false;
    // A write with unknown outcome is resolved by sending it again: at most one write can replace
    // the version in seen.
    for (unsigned i = 0;; ++i) {
        const auto written = m_objects.put(IntentHeadKey, value, seen.m_version);
        if (written) {
            next.m_version = *written;
            removeSnapshots(dropped);
            const uint64_t revision = next.m_revision;
            return committedResult(revision, std::move(next));
        }
        const Error &error = written.error();
        if (error.m_code == ErrorCode::Conflict)
            return resolveConflict(commit, mayBeWritten);
        mayBeWritten = mayBeWritten || error.m_code == ErrorCode::OutcomeUnknown;
        if (!mayBeWritten)
            return notWrittenResult(error);
        if (i >= m_settings.m_unknownOutcomeRetries || !pauseAfterFailure(i))
            return unknownResult(error.m_message);
    }
}

CommitResult IntentStore::resolveConflict(const IntentCommit &commit, bool mayBeWritten)
{
    for (unsigned i = 0;; ++i) {
        const auto head = loadHead();
        if (head) {
            if (const IntentChange *change = findChange(*head, commit.m_change))
                return committedResult(change->m_revision, *head);
            if (!mayBeWritten || listsChangesAfter(*head, commit.m_expectedRevision))
                return conflictResult(*head);
            return unknownResult(
                "the head no longer lists all changes since the expected revision");
        }
        if (i < m_settings.m_unknownOutcomeRetries && pauseAfterFailure(i))
            continue;
        return mayBeWritten ? unknownResult(head.error().m_message) : conflictResult({});
    }
}

void IntentStore::removeSnapshots(const std::vector<IntentChange> &changes)
{
    for (const IntentChange &change : changes) {
        const Status removed = m_objects.remove(change.m_snapshot, std::nullopt);
        if (!removed && removed.error().m_code != ErrorCode::NotFound)
            log(LogPart::Store)
                .info("Failed to remove a snapshot. key={} error={}", change.m_snapshot,
                      toString(removed.error()));
    }
}

Status IntentStore::removeOrphanedSnapshots()
{
    const auto head = loadHead();
    if (!head)
        return tl::unexpected(head.error());
    if (head->m_changes.empty())
        return {};
    const auto listed = m_objects.list(IntentSnapshotPrefix);
    if (!listed)
        return tl::unexpected(listed.error());
    // Keys sort by revision. A snapshot older than every listed change can no longer be committed.
    const std::string oldest =
        fmt::format("{}{:020}", IntentSnapshotPrefix, head->m_changes.front().m_revision);
    for (const ObjectEntry &object : listed->m_objects) {
        if (object.m_key >= oldest)
            continue;
        const Status removed = m_objects.remove(object.m_key, std::nullopt);
        if (!removed && removed.error().m_code != ErrorCode::NotFound)
            return removed;
    }
    return {};
}

void IntentStore::watch(uint64_t revision, const Callback &callback)
{
    std::optional<uint64_t> sequence;
    unsigned failures = 0;
    while (!m_stopped) {
        if (watchOnce(revision, sequence, callback)) {
            failures = 0;
            continue;
        }
        if (!pauseAfterFailure(failures++))
            return;
    }
}

// Without a sequence it reads the head even if the list call fails, so that changes are found by
// polling. Returns false if the caller should back off.
bool IntentStore::watchOnce(uint64_t &revision, std::optional<uint64_t> &sequence,
                            const Callback &callback)
{
    if (!sequence) {
        const auto listed = m_objects.list(IntentHeadKey);
        const bool read = reportNewer(revision, callback);
        if (!listed || !read)
            return false;
        sequence = listed->m_sequence;
    }
    const auto events = m_objects.watch(IntentHeadKey, *sequence, m_settings.m_watchTimeout);
    if (!events) {
        sequence.reset();
        return events.error().m_code == ErrorCode::NotFound;
    }
    if (!events->m_events.empty() && !reportNewer(revision, callback))
        return false;
    sequence = events->m_sequence;
    return true;
}

bool IntentStore::reportNewer(uint64_t &revision, const Callback &callback)
{
    const auto state = load();
    if (!state)
        return false;
    if (state->m_revision <= revision || m_stopped)
        return true;
    revision = state->m_revision;
    callback(*state);
    return true;
}

bool IntentStore::pauseAfterFailure(unsigned failures)
{
    return sleepFor(m_context, backoffDelay(m_settings.m_backoff, failures, m_random));
}

} // namespace stackquay
