#include "store/claim_store.h"

#include <algorithm>
#include <charconv>

namespace stackquay {

namespace {

Status toStatus(const ClaimResult &result)
{
    if (result.m_outcome == ClaimOutcome::Refused)
        return tl::unexpected(result.m_error);
    return {};
}

/// The version of the head that the writer of a segment was to replace, which is part of the
/// segment's key. nullopt if the key is malformed.
std::optional<ObjectVersion> replacedVersion(const std::string &segment, const std::string &prefix)
{
    ObjectVersion version = NoObject;
    const char *begin = segment.data() + std::min(prefix.size(), segment.size());
    const char *end = segment.data() + segment.size();
    const auto [rest, error] = std::from_chars(begin, end, version);
    if (error != std::errc() || rest == end || *rest != '-')
        return std::nullopt;
    return version;
}

bool referencesSegment(const ClaimBucket &bucket, const std::string &object)
{
    for (const ClaimSegment &segment : bucket.m_segments)
        if (segment.m_object == object)
            return true;
    return false;
}

} // namespace

ClaimStore::ClaimStore(ObjectApi &objects, ClaimSettings settings, ClaimRuntime runtime, VmId owner,
                       RandomEngine random)
    : m_shared{ objects, settings, std::move(runtime), random, {} }
    , m_owner(std::move(owner))
{ }

ClaimStore::~ClaimStore() = default;

ClaimResult ClaimStore::claim(const ClaimRequest &request)
{
    Claim claim;
    claim.m_keyHash = hashClaimKey(request.m_customer, request.m_key);
    claim.m_bodyHash = request.m_bodyHash;
    claim.m_attempt = request.m_attempt;
    claim.m_owner = m_owner;
    claim.m_created = m_shared.m_runtime.m_wallNow();
    claim.m_expires = claim.m_created + request.m_retention;
    ClaimWriter &writer = writerOf(claim.m_keyHash);
    return writer.run({ ClaimOperationKind::Take, std::move(claim) }, request.m_deadline);
}

Status ClaimStore::record(const ClaimHandle &handle, const std::string &outcome, TimePoint deadline)
{
    Claim claim;
    claim.m_keyHash = hashClaimKey(handle.m_customer, handle.m_key);
    claim.m_attempt = handle.m_attempt;
    if (outcome.size() > m_shared.m_settings.m_maxInlineOutcomeBytes) {
        auto object = writeOutcome(claim.m_keyHash, outcome, deadline);
        if (!object)
            return tl::unexpected(object.error());
        claim.m_outcomeObject = std::move(*object);
    } else {
        claim.m_outcome = outcome;
    }
    ClaimWriter &writer = writerOf(claim.m_keyHash);
    return toStatus(writer.run({ ClaimOperationKind::Record, std::move(claim) }, deadline));
}

Result<std::string> ClaimStore::writeOutcome(const std::string &keyHash, const std::string &outcome,
                                             TimePoint deadline)
{
    const size_t bucket = claimBucketOf(keyHash, m_shared.m_settings.m_buckets);
    const std::string key = claimOutcomePrefix(bucket) + randomToken();
    for (unsigned failures = 0;; ++failures) {
        const auto written = m_shared.m_objects.put(key, outcome, std::nullopt);
        if (written)
            return key;
        if (written.error().m_code == ErrorCode::InvalidArgument
            || m_shared.m_runtime.m_now() >= deadline)
            return tl::unexpected(written.error());
        if (!m_shared.m_runtime.m_sleep(
                backoffDelay(m_shared.m_settings.m_backoff, failures, m_shared.m_random)))
            return makeError(ErrorCode::Cancelled, "the thread is stopping");
    }
}

Status ClaimStore::free(const ClaimHandle &handle, TimePoint deadline)
{
    Claim claim;
    claim.m_keyHash = hashClaimKey(handle.m_customer, handle.m_key);
    claim.m_attempt = handle.m_attempt;
    ClaimWriter &writer = writerOf(claim.m_keyHash);
    return toStatus(writer.run({ ClaimOperationKind::Free, std::move(claim) }, deadline));
}

// Only a write that replaces the version in the segment's key can add the segment to the head. If
// the head has a later version and does not list the segment, none ever will.
Status ClaimStore::removeOrphanedSegments(size_t bucket)
{
    const std::string prefix = claimSegmentPrefix(bucket);
    const auto listed = m_shared.m_objects.list(prefix);
    if (!listed)
        return tl::unexpected(listed.error());
    const auto object = m_shared.m_objects.get(claimHeadKey(bucket));
    if (!object)
        return tl::unexpected(object.error());
    const auto head = parseClaimBucket(*object);
    if (!head)
        return tl::unexpected(head.error());
    for (const ObjectEntry &entry : listed->m_objects) {
        const auto replaced = replacedVersion(entry.m_key, prefix);
        if (!replaced || *replaced >= head->m_version || referencesSegment(*head, entry.m_key))
            continue;
        const Status removed = m_shared.m_objects.remove(entry.m_key, std::nullopt);
        if (!removed && removed.error().m_code != ErrorCode::NotFound)
            return removed;
    }
    return {};
}

bool ClaimStore::idle() const
{
    return std::all_of(m_writers.begin(), m_writers.end(),
                       [](const auto &writer) { return writer.second->idle(); });
}

ClaimWriter &ClaimStore::writerOf(const std::string &keyHash)
{
    const size_t bucket = claimBucketOf(keyHash, m_shared.m_settings.m_buckets);
    auto &writer = m_writers[bucket];
    if (!writer)
        writer = std::make_unique<ClaimWriter>(m_shared, bucket);
    return *writer;
}

} // namespace stackquay
