/// Claims: records in the object store that give one attempt the exclusive right to run the request
/// of an idempotency key, and their text format.
///
/// Claims are spread over a fixed number of buckets by a hash of the key. Each bucket has a head
/// object, which holds the recent (open) claims and lists the segments: immutable objects with the
/// older (archived) claims.
#pragma once

#include <optional>
#include <vector>

#include "store/objects.h"

namespace stackquay {

/// One claim. Only the attempt m_attempt may send the request.
struct Claim {
    std::string m_keyHash; ///< See hashClaimKey().
    std::string m_bodyHash; ///< Tells a retry of the same request from a reuse of the key.
    AttemptId m_attempt;
    VmId m_owner; ///< The VM that wrote the claim.
    WallTime m_created{};
    WallTime m_expires{}; ///< May be removed after this time.
    bool m_freed = false; ///< The owner sent nothing: the key may be claimed again.
    bool m_hasOutcome = false; ///< The outcome is recorded in m_outcome or m_outcomeObject.
    std::string m_outcome; ///< Opaque text; empty if stored in m_outcomeObject.
    std::string m_outcomeObject; ///< Key of a separate object that holds a long outcome.
};

/// An immutable object with archived claims, listed in the head of its bucket.
struct ClaimSegment {
    std::string m_object; ///< Key of the object.
    uint64_t m_count = 0; ///< Number of claims in it.
    WallTime m_expires{}; ///< When the last of its claims expires.
};

/// The head object of one bucket. A claim is valid only if it is in the head or in a segment that
/// the head lists.
struct ClaimBucket {
    std::vector<Claim> m_open; ///< Take precedence over claims in segments.
    std::vector<ClaimSegment> m_segments; ///< Oldest first; later ones take precedence.
    ObjectVersion m_version = NoObject; ///< Version of the head object; not stored in its value.
};

/// The first 128 bits of SHA-256 over customer and key, in hex (32 characters). Unambiguous: no two
/// pairs of customer and key give the same hash input.
std::string hashClaimKey(const CustomerId &customer, const std::string &key);
/// The index of the key's bucket, below @p buckets. Depends on the hash and the number of buckets
/// only, so that a retry always finds the claim of the first request.
size_t claimBucketOf(const std::string &keyHash, size_t buckets);

/// The key of the bucket's head object.
std::string claimHeadKey(size_t bucket);
/// The key prefix of the bucket's segments.
std::string claimSegmentPrefix(size_t bucket);
/// The key prefix of the bucket's outcomes that are stored as separate objects.
std::string claimOutcomePrefix(size_t bucket);

std::string formatClaimBucket(const ClaimBucket &bucket);
/// ProtocolError if @p object is not the head of a bucket.
Result<ClaimBucket> parseClaimBucket(const VersionedObject &object);
/// The value of a segment.
std::string formatClaims(const std::vector<Claim> &claims);
/// ProtocolError if @p text is not the value of a segment.
Result<std::vector<Claim>> parseClaims(const std::string &text);

} // namespace stackquay
