#include "store/claim_writer.h"

#include <algorithm>

#include <fmt/format.h>

#include "net/net.h"

namespace stackquay {

namespace {

/// Limits how long a new operation waits for a backoff delay to end.
constexpr Duration MaxSleepSlice = Millis(20);

} // namespace

ClaimWriter::ClaimWriter(ClaimSharedState &shared, size_t bucket)
    : m_shared(shared)
    , m_bucket(bucket)
    , m_reader(shared.m_objects, bucket)
{ }

ClaimResult ClaimWriter::run(ClaimOperation operation, TimePoint deadline)
{
    ++m_shared.m_counters.m_operations;
    auto pending = std::make_unique<PendingOperation>();
    pending->m_operation = std::move(operation);
    pending->m_deadline = deadline;
    auto result = pending->m_promise.get_future();
    m_queue.push_back(std::move(pending));
    if (!m_running) {
        m_running = true;
        spawnFiber([this] {
            runWriteLoop();
            m_running = false;
        });
    }
    return result.get();
}

void ClaimWriter::runWriteLoop()
{
    unsigned failures = 0;
    bool running = m_shared.m_runtime.m_sleep(m_shared.m_settings.m_batchWindow);
    while (running) {
        moveQueueToBatch();
        refusePastDeadline();
        if (m_batch.empty() && m_abandoned.empty())
            break;
        const Status committed = commit();
        if (committed) {
            m_reader.endBatch();
            failures = 0;
            running =
                m_queue.empty() || m_shared.m_runtime.m_sleep(m_shared.m_settings.m_batchWindow);
            continue;
        }
        running = backOffAfter(committed.error(), failures++);
    }
    moveQueueToBatch();
    while (!m_batch.empty()) {
        refuse(std::move(m_batch.front()), { ErrorCode::Cancelled, "the thread is stopping" });
        m_batch.pop_front();
    }
}

// The first conflict is retried immediately, further ones and lost responses after a backoff delay.
// Any other error, such as an outage, refuses the pending claims; only records and frees stay
// queued for a retry. Returns false if the thread is stopping.
bool ClaimWriter::backOffAfter(const Error &error, unsigned failures)
{
    const bool resolvable =
        error.m_code == ErrorCode::Conflict || error.m_code == ErrorCode::OutcomeUnknown;
    if (!resolvable)
        refuseClaims(error);
    const bool raced = error.m_code == ErrorCode::Conflict && failures == 0;
    if (raced)
        return true;
    Duration remaining = backoffDelay(m_shared.m_settings.m_backoff, failures, m_shared.m_random);
    while (remaining > Duration::zero()) {
        if (!m_shared.m_runtime.m_sleep(std::min(remaining, MaxSleepSlice)))
            return false;
        if (!resolvable && !m_queue.empty())
            return true;
        remaining -= MaxSleepSlice;
    }
    return true;
}

void ClaimWriter::moveQueueToBatch()
{
    std::move(m_queue.begin(), m_queue.end(), std::back_inserter(m_batch));
    m_queue.clear();
}

void ClaimWriter::refusePastDeadline()
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

void ClaimWriter::refuse(std::unique_ptr<PendingOperation> pending, const Error &error)
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
    if (proposal && !proposal->m_changed && proposal->m_needsFreshHead && !m_reader.fresh()) {
        m_reader.invalidate();
        proposal = propose();
    }
    if (!proposal) {
        // A missing segment means that another VM has written a newer head.
        const bool gone = proposal.error().m_code == ErrorCode::NotFound;
        m_reader.invalidate();
        return gone ? makeError(ErrorCode::Conflict, proposal.error().m_message)
                    : tl::unexpected(proposal.error());
    }
    if (proposal->m_changed) {
        const Status written = writeHead(*proposal);
        if (!written)
            return written;
    }
    completeBatch(std::move(proposal->m_results));
    removeExpired(proposal->m_expired);
    return {};
}

Result<ClaimWriter::Proposal> ClaimWriter::propose()
{
    auto head = m_reader.read();
    if (!head)
        return tl::unexpected(head.error());
    resolveLostWrite(head->m_version);
    Proposal proposal;
    proposal.m_next = std::move(*head);
    // Any successful write raises the version, so that a write with unknown outcome can no longer
    // be applied.
    proposal.m_changed = m_unresolvedVersion.has_value();
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
    std::optional<Claim> archived;
    // Free needs to know whether a segment contains the key even if the claim is open.
    const bool open = findOpenClaim(proposal.m_next, operation.m_claim.m_keyHash);
    if (!open || operation.m_kind == ClaimOperationKind::Free) {
        auto found = m_reader.findArchived(operation.m_claim.m_keyHash);
        if (!found)
            return tl::unexpected(found.error());
        archived = std::move(*found);
    }
    ClaimOperationResult applied = applyClaimOperation(proposal.m_next, operation, archived);
    proposal.m_changed = proposal.m_changed || applied.m_changed;
    const ClaimOutcome outcome = applied.m_result.m_outcome;
    const bool final = outcome == ClaimOutcome::Claimed || outcome == ClaimOutcome::Recorded;
    proposal.m_needsFreshHead = proposal.m_needsFreshHead || !final;
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

Status ClaimWriter::writeSegment(Proposal &proposal)
{
    ClaimBucket &next = proposal.m_next;
    proposal.m_archived = extractClaimsToArchive(next, m_shared.m_runtime.m_wallNow());
    ClaimSegment segment{ fmt::format("{}{:020}-{}", claimSegmentPrefix(m_bucket), next.m_version,
                                      randomToken()),
                          proposal.m_archived.size(),
                          {} };
    for (const Claim &claim : proposal.m_archived)
        segment.m_expires = std::max(segment.m_expires, claim.m_expires);
    ++m_shared.m_counters.m_segmentWrites;
    const auto written =
        m_shared.m_objects.put(segment.m_object, formatClaims(proposal.m_archived), std::nullopt);
    // Even if the segment was written, no head lists it yet.
    if (!written)
        return tl::unexpected(written.error());
    next.m_segments.push_back(std::move(segment));
    return {};
}

Status ClaimWriter::writeHead(Proposal &proposal)
{
    ClaimBucket &next = proposal.m_next;
    proposal.m_expired = extractExpiredSegments(next, m_shared.m_runtime.m_wallNow());
    std::string value = formatClaimBucket(next);
    if (formatClaims(next.m_open).size() > m_shared.m_settings.m_maxOpenBytes) {
        const Status archived = writeSegment(proposal);
        if (!archived)
            return archived;
        value = formatClaimBucket(next);
    }
    ++m_shared.m_counters.m_headWrites;
    const auto written = m_shared.m_objects.put(claimHeadKey(m_bucket), value, next.m_version);
    if (written) {
        m_unresolvedVersion.reset();
        m_abandoned.clear();
        next.m_version = *written;
        m_reader.cacheWritten(std::move(next), proposal.m_archived);
        return {};
    }
    m_reader.invalidate();
    if (written.error().m_code == ErrorCode::OutcomeUnknown) {
        ++m_shared.m_counters.m_lostResponses;
        m_unresolvedVersion = next.m_version;
        for (const auto &pending : m_batch)
            pending->m_mayBeWritten = true;
    }
    if (written.error().m_code == ErrorCode::Conflict) {
        ++m_shared.m_counters.m_conflicts;
        if (!proposal.m_archived.empty())
            removeObject(next.m_segments.back().m_object);
    }
    return tl::unexpected(written.error());
}

// Once the version has changed, the write with unknown outcome either is part of the head just read
// or can never be applied, because it was conditional on the old version.
void ClaimWriter::resolveLostWrite(ObjectVersion version)
{
    if (!m_unresolvedVersion || version == *m_unresolvedVersion)
        return;
    m_unresolvedVersion.reset();
}

void ClaimWriter::completeBatch(std::vector<ClaimResult> results)
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
        log(LogPart::Store)
            .info("Failed to remove an object. key={} error={}", key, toString(removed.error()));
}

} // namespace stackquay
