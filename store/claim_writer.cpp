#include "store/claim_writer.h"

#include <algorithm>

#include <fmt/format.h>

#include "net/net.h"

namespace stackquay {

namespace {

/// Bounds how long a new operation waits for a pause to end.
constexpr Duration PauseSlice = Millis(20);

} // namespace

ClaimWriter::ClaimWriter(ClaimShared &shared, size_t bucket)
    : m_shared(shared)
    , m_bucket(bucket)
    , m_reader(shared.m_objects, bucket)
{ }

ClaimResult ClaimWriter::run(ClaimOperation operation, TimePoint deadline)
{
    ++m_shared.m_counters.m_operations;
    auto pending = std::make_unique<Pending>();
    pending->m_operation = std::move(operation);
    pending->m_deadline = deadline;
    auto result = pending->m_promise.get_future();
    m_queue.push_back(std::move(pending));
    if (!m_running) {
        m_running = true;
        spawnFiber([this] {
            writeWhileNeeded();
            m_running = false;
        });
    }
    return result.get();
}

void ClaimWriter::writeWhileNeeded()
{
    unsigned failures = 0;
    bool going = m_shared.m_runtime.m_sleep(m_shared.m_settings.m_window);
    while (going) {
        collect();
        refuseLate();
        if (m_batch.empty() && m_abandoned.empty())
            break;
        const Status committed = commit();
        if (committed) {
            m_reader.endOfBatch();
            failures = 0;
            going = m_queue.empty() || m_shared.m_runtime.m_sleep(m_shared.m_settings.m_window);
            continue;
        }
        going = pauseAfter(committed.error(), failures++);
    }
    collect();
    while (!m_batch.empty()) {
        refuse(std::move(m_batch.front()), { ErrorCode::Cancelled, "the thread stops" });
        m_batch.pop_front();
    }
}

// A lost race is run again almost at once; an outage refuses the claims, and only what has to get
// through in the end waits.
bool ClaimWriter::pauseAfter(const Error &error, unsigned failures)
{
    const bool retry =
        error.m_code == ErrorCode::Conflict || error.m_code == ErrorCode::OutcomeUnknown;
    if (!retry)
        refuseClaims(error);
    const bool raced = error.m_code == ErrorCode::Conflict && failures == 0;
    if (raced)
        return true;
    Duration left = backoffDelay(m_shared.m_settings.m_backoff, failures, m_shared.m_random);
    while (left > Duration::zero()) {
        if (!m_shared.m_runtime.m_sleep(std::min(left, PauseSlice)))
            return false;
        if (!retry && !m_queue.empty())
            return true;
        left -= PauseSlice;
    }
    return true;
}

void ClaimWriter::collect()
{
    std::move(m_queue.begin(), m_queue.end(), std::back_inserter(m_batch));
    m_queue.clear();
}

void ClaimWriter::refuseLate()
{
    const TimePoint now = m_shared.m_runtime.m_now();
    Batch inTime;
    for (auto &pending : m_batch) {
        if (now < pending->m_deadline)
            inTime.push_back(std::move(pending));
        else
            refuse(std::move(pending),
                   { ErrorCode::DeadlineExceeded, "the store did not answer in time" });
    }
    m_batch = std::move(inTime);
}

void ClaimWriter::refuseClaims(const Error &error)
{
    Batch others;
    for (auto &pending : m_batch) {
        if (pending->m_operation.m_kind == ClaimOperationKind::Take)
            refuse(std::move(pending), error);
        else
            others.push_back(std::move(pending));
    }
    m_batch = std::move(others);
}

void ClaimWriter::refuse(std::unique_ptr<Pending> pending, const Error &error)
{
    ++m_shared.m_counters.m_refused;
    const ClaimOperation &operation = pending->m_operation;
    if (pending->m_mayBeWritten && operation.m_kind == ClaimOperationKind::Take)
        m_abandoned.push_back(operation.m_claim);
    pending->m_promise.set_value({ ClaimOutcome::Refused, {}, {}, error });
}

Status ClaimWriter::commit()
{
    auto proposal = propose();
    if (proposal && !proposal->m_changed && proposal->m_needsFresh && !m_reader.fresh()) {
        m_reader.forget();
        proposal = propose();
    }
    if (!proposal) {
        // A segment that is gone: the head has moved on.
        const bool gone = proposal.error().m_code == ErrorCode::NotFound;
        m_reader.forget();
        return gone ? makeError(ErrorCode::Conflict, proposal.error().m_message)
                    : tl::unexpected(proposal.error());
    }
    if (proposal->m_changed) {
        const Status written = writeHead(*proposal);
        if (!written)
            return written;
    }
    deliver(std::move(proposal->m_results));
    removeExpired(proposal->m_expired);
    return {};
}

Result<ClaimWriter::Proposal> ClaimWriter::propose()
{
    auto head = m_reader.read();
    if (!head)
        return tl::unexpected(head.error());
    noteVersion(head->m_version);
    Proposal proposal;
    proposal.m_next = std::move(*head);
    // Any write makes sure that the one whose answer was lost has no effect any more.
    proposal.m_changed = m_unsettled.has_value();
    for (const Claim &claim : m_abandoned) {
        const auto applied = apply(proposal, { ClaimOperationKind::Free, claim });
        if (!applied)
            return tl::unexpected(applied.error());
    }
    for (const auto &pending : m_batch) {
        auto applied = apply(proposal, pending->m_operation);
        if (!applied)
            return tl::unexpected(applied.error());
        proposal.m_results.push_back(std::move(*applied));
    }
    return proposal;
}

Result<ClaimResult> ClaimWriter::apply(Proposal &proposal, const ClaimOperation &operation)
{
    std::optional<Claim> closed;
    // Free has to know whether a segment names the key even if it is open.
    const bool open = findOpenClaim(proposal.m_next, operation.m_claim.m_keyHash);
    if (!open || operation.m_kind == ClaimOperationKind::Free) {
        auto found = m_reader.findClosed(operation.m_claim.m_keyHash);
        if (!found)
            return tl::unexpected(found.error());
        closed = std::move(*found);
    }
    AppliedClaim applied = applyClaimOperation(proposal.m_next, operation, closed);
    proposal.m_changed = proposal.m_changed || applied.m_changed;
    const ClaimOutcome outcome = applied.m_result.m_outcome;
    const bool final = outcome == ClaimOutcome::Claimed || outcome == ClaimOutcome::Recorded;
    proposal.m_needsFresh = proposal.m_needsFresh || !final;
    if (!applied.m_outcomeObject.empty()) {
        auto text = readOutcome(applied.m_outcomeObject);
        if (!text)
            return tl::unexpected(text.error());
        applied.m_result.m_recorded = std::move(*text);
    }
    return std::move(applied.m_result);
}

Result<std::string> ClaimWriter::readOutcome(const std::string &object)
{
    auto stored = m_shared.m_objects.get(object);
    if (!stored)
        return tl::unexpected(stored.error());
    return std::move(stored->m_value);
}

Status ClaimWriter::closeSegment(Proposal &proposal)
{
    ClaimBucket &next = proposal.m_next;
    proposal.m_closed = takeClaimsToClose(next, m_shared.m_runtime.m_wallNow());
    ClaimSegment segment{ fmt::format("{}{:020}-{}", claimSegmentPrefix(m_bucket), next.m_version,
                                      randomToken()),
                          proposal.m_closed.size(),
                          {} };
    for (const Claim &claim : proposal.m_closed)
        segment.m_expires = std::max(segment.m_expires, claim.m_expires);
    ++m_shared.m_counters.m_segmentWrites;
    const auto written =
        m_shared.m_objects.put(segment.m_object, formatClaims(proposal.m_closed), std::nullopt);
    // Whatever became of it, no head names it yet.
    if (!written)
        return tl::unexpected(written.error());
    next.m_segments.push_back(std::move(segment));
    return {};
}

Status ClaimWriter::writeHead(Proposal &proposal)
{
    ClaimBucket &next = proposal.m_next;
    proposal.m_expired = takeExpiredSegments(next, m_shared.m_runtime.m_wallNow());
    std::string value = formatClaimBucket(next);
    if (formatClaims(next.m_open).size() > m_shared.m_settings.m_openBytes) {
        const Status closed = closeSegment(proposal);
        if (!closed)
            return closed;
        value = formatClaimBucket(next);
    }
    ++m_shared.m_counters.m_headWrites;
    const auto written = m_shared.m_objects.put(claimHeadKey(m_bucket), value, next.m_version);
    if (written) {
        m_unsettled.reset();
        m_abandoned.clear();
        next.m_version = *written;
        m_reader.noteWritten(std::move(next), proposal.m_closed);
        return {};
    }
    m_reader.forget();
    if (written.error().m_code == ErrorCode::OutcomeUnknown) {
        ++m_shared.m_counters.m_lostAnswers;
        m_unsettled = next.m_version;
        for (const auto &pending : m_batch)
            pending->m_mayBeWritten = true;
    }
    if (written.error().m_code == ErrorCode::Conflict) {
        ++m_shared.m_counters.m_conflicts;
        if (!proposal.m_closed.empty())
            removeObject(next.m_segments.back().m_object);
    }
    return tl::unexpected(written.error());
}

// Once the version has moved on, a write that was to replace the old one either is in the head
// read now, or never will be.
void ClaimWriter::noteVersion(ObjectVersion version)
{
    if (!m_unsettled || version == *m_unsettled)
        return;
    m_unsettled.reset();
}

void ClaimWriter::deliver(std::vector<ClaimResult> results)
{
    for (size_t i = 0; i < results.size(); ++i)
        m_batch[i]->m_promise.set_value(std::move(results[i]));
    m_batch.clear();
    m_abandoned.clear();
}

void ClaimWriter::removeExpired(const std::vector<ClaimSegment> &segments)
{
    for (const ClaimSegment &segment : segments) {
        const auto object = m_shared.m_objects.get(segment.m_object);
        const auto claims = object ? parseClaims(object->m_value) : std::vector<Claim>{};
        for (const Claim &claim : claims.value_or(std::vector<Claim>{}))
            if (!claim.m_outcomeObject.empty())
                removeObject(claim.m_outcomeObject);
        removeObject(segment.m_object);
    }
}

void ClaimWriter::removeObject(const std::string &key)
{
    const Status removed = m_shared.m_objects.remove(key, std::nullopt);
    if (!removed && removed.error().m_code != ErrorCode::NotFound)
        log(LogPart::Store).info("Object stays. key={} error={}", key, toString(removed.error()));
}

} // namespace stackquay
