/// Operations on the claims of a bucket, as pure functions without I/O.
#pragma once

#include "store/claim.h"

namespace stackquay {

enum class ClaimOperationKind {
    Take, ///< Claim the key for the attempt.
    Record, ///< Record the outcome of the attempt that holds the claim.
    Free, ///< Give the claim up because nothing was sent.
};

struct ClaimOperation {
    ClaimOperationKind m_kind = ClaimOperationKind::Take;
    /// Take: the complete claim to write. Record: key hash, attempt and outcome. Free: key hash and
    /// attempt.
    Claim m_claim;
};

enum class ClaimOutcome {
    Claimed, ///< The attempt holds the claim, and only it may send the request.
    InProgress, ///< Another attempt holds the claim and has not recorded an outcome yet.
    Recorded, ///< Take: another attempt ran, its outcome is given. Record: done.
    DifferentBody, ///< The key was already used for a different request.
    Freed, ///< Free: done, or the attempt holds no claim.
    Refused, ///< Not claimed, recorded or freed; see m_error.
};

struct ClaimResult {
    ClaimOutcome m_outcome = ClaimOutcome::Refused;
    std::string m_recorded; ///< Recorded: the outcome of the attempt that ran.
    VmId m_owner; ///< InProgress: the VM whose attempt holds the claim.
    Error m_error; ///< Refused: the reason.
};

struct ClaimOperationResult {
    ClaimResult m_result;
    bool m_changed = false; ///< The bucket has to be written before the result is valid.
    std::string m_outcomeObject; ///< Recorded: key of the object that holds a long outcome.
};

/// Applies @p operation to the open claims of @p bucket. @p archived is the newest claim of the
/// key in the bucket's segments, if there is one.
ClaimOperationResult applyClaimOperation(ClaimBucket &bucket, const ClaimOperation &operation,
                                         const std::optional<Claim> &archived);

/// The open claim of a key, or nullptr.
const Claim *findOpenClaim(const ClaimBucket &bucket, const std::string &keyHash);

/// Removes and returns the open claims to archive: those that have an outcome, are freed, or are
/// too old for an outcome to be expected. Takes all open claims if these are fewer than half.
std::vector<Claim> extractClaimsToArchive(ClaimBucket &bucket, WallTime now);

/// Removes from the bucket and returns the segments whose claims have all expired, with a margin
/// for clock skew.
std::vector<ClaimSegment> extractExpiredSegments(ClaimBucket &bucket, WallTime now);

} // namespace stackquay
