/// What may be done to the claims of a bucket, as pure functions.
#pragma once

#include "store/claim.h"

namespace stackquay {

enum class ClaimOperationKind {
    Take, ///< Claim the key for the attempt.
    Record, ///< Record the outcome of the attempt that holds the claim.
    Free, ///< Give the claim up: nothing was sent.
};

struct ClaimOperation {
    ClaimOperationKind m_kind = ClaimOperationKind::Take;
    /// Take: the claim to write. Record: key, attempt and outcome. Free: key and attempt.
    Claim m_claim;
};

enum class ClaimOutcome {
    Claimed, ///< The attempt holds the claim, and only it may send.
    InProgress, ///< Another attempt holds it, and has recorded no outcome.
    Recorded, ///< Another attempt ran; its outcome is given. For Record: done.
    DifferentBody, ///< The key was used for another request.
    Freed, ///< For Free: done.
    Refused, ///< Not claimed, recorded or freed; the error says why.
};

struct ClaimResult {
    ClaimOutcome m_outcome = ClaimOutcome::Refused;
    std::string m_recorded; ///< Recorded: the outcome.
    VmId m_owner; ///< InProgress: the VM whose attempt holds the claim.
    Error m_error;
};

struct AppliedClaim {
    ClaimResult m_result;
    bool m_changed = false; ///< The bucket has to be written for the result to hold.
    std::string m_outcomeObject; ///< Recorded: where the outcome stands, if not in the result.
};

/// Applies @p operation to the open claims of @p bucket. @p closed is the newest record of the key
/// in the bucket's segments, if there is one.
AppliedClaim applyClaimOperation(ClaimBucket &bucket, const ClaimOperation &operation,
                                 const std::optional<Claim> &closed);

/// The open claim of a key, or null.
const Claim *findOpenClaim(const ClaimBucket &bucket, const std::string &keyHash);

/// Takes out of the open claims those to close: the settled, the freed, and those so old that an
/// outcome is hardly to come; all, if these are not even half.
std::vector<Claim> takeClaimsToClose(ClaimBucket &bucket, WallTime now);

/// Takes out and returns the segments that may be forgotten.
std::vector<ClaimSegment> takeExpiredSegments(ClaimBucket &bucket, WallTime now);

} // namespace stackquay
