#include "store/claim_operation.h"

#include <algorithm>

namespace stackquay {

namespace {

/// Past any request's deadline.
constexpr std::chrono::minutes OutcomeExpectedWithin{ 10 };
/// Clocks of nodes differ.
constexpr std::chrono::hours ExpiryMargin{ 1 };

/// The claim of a key among @p claims, or null.
template<typename Claims>
auto *findClaim(Claims &claims, const std::string &keyHash)
{
    const auto found = std::find_if(claims.begin(), claims.end(), [&keyHash](const Claim &claim) {
        return claim.m_keyHash == keyHash;
    });
    return found == claims.end() ? nullptr : &*found;
}

AppliedClaim refused(ErrorCode code, std::string message)
{
    return { { ClaimOutcome::Refused, {}, {}, { code, std::move(message) } }, false, {} };
}

AppliedClaim answered(ClaimOutcome outcome, bool changed)
{
    return { { outcome, {}, {}, {} }, changed, {} };
}

/// The answer to a repeat that meets the claim of another attempt.
AppliedClaim answerRepeat(const Claim &present, const Claim &wanted)
{
    if (present.m_bodyHash != wanted.m_bodyHash)
        return answered(ClaimOutcome::DifferentBody, false);
    if (present.m_settled)
        return { { ClaimOutcome::Recorded, present.m_outcome, present.m_owner, {} },
                 false,
                 present.m_outcomeObject };
    return { { ClaimOutcome::InProgress, {}, present.m_owner, {} }, false, {} };
}

/// Puts @p claim in place of the open claim of its key, or at the end.
void setOpen(ClaimBucket &bucket, const Claim &claim)
{
    if (Claim *open = findClaim(bucket.m_open, claim.m_keyHash))
        *open = claim;
    else
        bucket.m_open.push_back(claim);
}

AppliedClaim take(ClaimBucket &bucket, const Claim &wanted, const Claim *present)
{
    const bool held = present && !present->m_freed;
    if (held && present->m_attempt == wanted.m_attempt)
        return answered(ClaimOutcome::Claimed, false);
    if (held)
        return answerRepeat(*present, wanted);
    setOpen(bucket, wanted);
    return answered(ClaimOutcome::Claimed, true);
}

AppliedClaim record(ClaimBucket &bucket, const Claim &wanted, const Claim *present)
{
    if (!present || present->m_freed || present->m_attempt != wanted.m_attempt)
        return refused(ErrorCode::NotFound, "the attempt holds no claim of this key");
    if (present->m_settled)
        return answered(ClaimOutcome::Recorded, false);
    Claim settled = *present;
    settled.m_settled = true;
    settled.m_outcome = wanted.m_outcome;
    settled.m_outcomeObject = wanted.m_outcomeObject;
    setOpen(bucket, settled);
    return answered(ClaimOutcome::Recorded, true);
}

AppliedClaim free(ClaimBucket &bucket, const Claim &wanted, const Claim *present, bool closed)
{
    if (!present || present->m_freed || present->m_attempt != wanted.m_attempt)
        return answered(ClaimOutcome::Freed, false);
    if (present->m_settled)
        return refused(ErrorCode::Conflict, "the claim has an outcome");
    Claim freed = *present;
    freed.m_freed = true;
    // A segment that knows the key would else come to light again.
    if (closed)
        setOpen(bucket, freed);
    else
        std::erase_if(bucket.m_open,
                      [&freed](const Claim &claim) { return claim.m_keyHash == freed.m_keyHash; });
    return answered(ClaimOutcome::Freed, true);
}

bool mayClose(const Claim &claim, WallTime now)
{
    return claim.m_settled || claim.m_freed || claim.m_created + OutcomeExpectedWithin < now;
}

} // namespace

const Claim *findOpenClaim(const ClaimBucket &bucket, const std::string &keyHash)
{
    return findClaim(bucket.m_open, keyHash);
}

AppliedClaim applyClaimOperation(ClaimBucket &bucket, const ClaimOperation &operation,
                                 const std::optional<Claim> &closed)
{
    const Claim &wanted = operation.m_claim;
    const Claim *present = findClaim(bucket.m_open, wanted.m_keyHash);
    if (!present && closed)
        present = &*closed;
    switch (operation.m_kind) {
    case ClaimOperationKind::Take:
        return take(bucket, wanted, present);
    case ClaimOperationKind::Record:
        return record(bucket, wanted, present);
    case ClaimOperationKind::Free:
        return free(bucket, wanted, present, closed.has_value());
    }
    return refused(ErrorCode::Internal, "no such operation");
}

std::vector<Claim> takeClaimsToClose(ClaimBucket &bucket, WallTime now)
{
    auto &open = bucket.m_open;
    const auto firstClosed = std::stable_partition(
        open.begin(), open.end(), [now](const Claim &claim) { return !mayClose(claim, now); });
    const bool enough = (open.end() - firstClosed) * 2 >= open.end() - open.begin();
    const auto first = enough ? firstClosed : open.begin();
    std::vector<Claim> closed(std::make_move_iterator(first), std::make_move_iterator(open.end()));
    open.erase(first, open.end());
    return closed;
}

std::vector<ClaimSegment> takeExpiredSegments(ClaimBucket &bucket, WallTime now)
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
