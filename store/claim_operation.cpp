#include "store/claim_operation.h"

#include <algorithm>

namespace stackquay {

namespace {

/// Longer than the deadline of any request.
constexpr std::chrono::minutes MaxOpenClaimAge{ 10 };
/// Tolerated clock skew between nodes.
constexpr std::chrono::hours ExpiryMargin{ 1 };

/// The claim of a key in @p claims, or nullptr.
template<typename Claims>
auto *findClaim(Claims &claims, const std::string &keyHash)
{
    const auto found = std::find_if(claims.begin(), claims.end(), [&keyHash](const Claim &claim) {
        return claim.m_keyHash == keyHash;
    });
    return found == claims.end() ? nullptr : &*found;
}

ClaimOperationResult refused(ErrorCode code, std::string message)
{
    return { { ClaimOutcome::Refused, {}, {}, { code, std::move(message) } }, false, {} };
}

ClaimOperationResult makeResult(ClaimOutcome outcome, bool changed)
{
    return { { outcome, {}, {}, {} }, changed, {} };
}

/// The result of a claim whose key is held by another attempt.
ClaimOperationResult resultForRepeat(const Claim &current, const Claim &requested)
{
    if (current.m_bodyHash != requested.m_bodyHash)
        return makeResult(ClaimOutcome::DifferentBody, false);
    if (current.m_hasOutcome)
        return { { ClaimOutcome::Recorded, current.m_outcome, current.m_owner, {} },
                 false,
                 current.m_outcomeObject };
    return { { ClaimOutcome::InProgress, {}, current.m_owner, {} }, false, {} };
}

/// Replaces the open claim of the same key, or appends @p claim.
void putOpenClaim(ClaimBucket &bucket, const Claim &claim)
{
    if (Claim *open = findClaim(bucket.m_open, claim.m_keyHash))
        *open = claim;
    else
        bucket.m_open.push_back(claim);
}

ClaimOperationResult take(ClaimBucket &bucket, const Claim &requested, const Claim *current)
{
    const bool held = current && !current->m_freed;
    if (held && current->m_attempt == requested.m_attempt)
        return makeResult(ClaimOutcome::Claimed, false);
    if (held)
        return resultForRepeat(*current, requested);
    putOpenClaim(bucket, requested);
    return makeResult(ClaimOutcome::Claimed, true);
}

ClaimOperationResult record(ClaimBucket &bucket, const Claim &requested, const Claim *current)
{
    if (!current || current->m_freed || current->m_attempt != requested.m_attempt)
        return refused(ErrorCode::NotFound, "the attempt holds no claim of this key");
    if (current->m_hasOutcome)
        return makeResult(ClaimOutcome::Recorded, false);
    Claim settled = *current;
    settled.m_hasOutcome = true;
    settled.m_outcome = requested.m_outcome;
    settled.m_outcomeObject = requested.m_outcomeObject;
    putOpenClaim(bucket, settled);
    return makeResult(ClaimOutcome::Recorded, true);
}

ClaimOperationResult free(ClaimBucket &bucket, const Claim &requested, const Claim *current,
                          bool archived)
{
    if (!current || current->m_freed || current->m_attempt != requested.m_attempt)
        return makeResult(ClaimOutcome::Freed, false);
    if (current->m_hasOutcome)
        return refused(ErrorCode::Conflict, "the claim has an outcome");
    Claim freed = *current;
    freed.m_freed = true;
    // Without an open record, the older claim in a segment would become valid again.
    if (archived)
        putOpenClaim(bucket, freed);
    else
        std::erase_if(bucket.m_open,
                      [&freed](const Claim &claim) { return claim.m_keyHash == freed.m_keyHash; });
    return makeResult(ClaimOutcome::Freed, true);
}

bool mayArchive(const Claim &claim, WallTime now)
{
    return claim.m_hasOutcome || claim.m_freed || claim.m_created + MaxOpenClaimAge < now;
}

} // namespace

const Claim *findOpenClaim(const ClaimBucket &bucket, const std::string &keyHash)
{
    return findClaim(bucket.m_open, keyHash);
}

ClaimOperationResult applyClaimOperation(ClaimBucket &bucket, const ClaimOperation &operation,
                                         const std::optional<Claim> &archived)
{
    const Claim &requested = operation.m_claim;
    const Claim *current = findClaim(bucket.m_open, requested.m_keyHash);
    if (!current && archived)
        current = &*archived;
    switch (operation.m_kind) {
    case ClaimOperationKind::Take:
        return take(bucket, requested, current);
    case ClaimOperationKind::Record:
        return record(bucket, requested, current);
    case ClaimOperationKind::Free:
        return free(bucket, requested, current, archived.has_value());
    }
    return refused(ErrorCode::Internal, "unknown claim operation");
}

std::vector<Claim> extractClaimsToArchive(ClaimBucket &bucket, WallTime now)
{
    auto &open = bucket.m_open;
    const auto firstArchivable = std::stable_partition(
        open.begin(), open.end(), [now](const Claim &claim) { return !mayArchive(claim, now); });
    const bool enough = (open.end() - firstArchivable) * 2 >= open.end() - open.begin();
    const auto first = enough ? firstArchivable : open.begin();
    std::vector<Claim> archived(std::make_move_iterator(first),
                                std::make_move_iterator(open.end()));
    open.erase(first, open.end());
    return archived;
}

std::vector<ClaimSegment> extractExpiredSegments(ClaimBucket &bucket, WallTime now)
{
    auto &segments = bucket.m_segments;
    const auto firstExpired =
        std::stable_partition(segments.begin(), segments.end(), [now](const ClaimSegment &segment) {
            return segment.m_expires + ExpiryMargin >= now;
        });
    std::vector<ClaimSegment> expired(std::make_move_iterator(firstExpired),
                                      std::make_move_iterator(segments.end()));
    segments.erase(firstExpired, segments.end());
    return expired;
}

} // namespace stackquay
