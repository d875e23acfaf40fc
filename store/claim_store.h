/// Ensures that at most one attempt runs a non-idempotent request, by claims in the object store.
///
/// A claim is taken by a conditional write of its bucket's head before the first byte of the
/// request is sent. Operations on one bucket that arrive within a batch window share one write.
/// When the response to a write is lost, the head is read back to see whether it contains the
/// attempt. No leases are involved.
#pragma once

#include "store/claim_writer.h"

namespace stackquay {

struct ClaimRequest {
    CustomerId m_customer;
    std::string m_key; ///< The idempotency key.
    std::string m_bodyHash; ///< Tells a retry of the same request from a reuse of the key.
    AttemptId m_attempt; ///< Unguessable, and new for each call of claim().
    /// How long the claim is kept: longer than any caller keeps retrying the request.
    Duration m_retention = std::chrono::hours(24 * 8);
    TimePoint m_deadline = TimePoint::max(); ///< Refused if no result by then.
};

/// A claim that an attempt of this VM holds.
struct ClaimHandle {
    CustomerId m_customer;
    std::string m_key;
    AttemptId m_attempt;
};

/// To be used by the fibers of one thread. On destruction it must be idle, or that thread must have
/// stopped.
class ClaimStore
{
public:
    ClaimStore(ObjectApi &objects, ClaimSettings settings, ClaimRuntime runtime, VmId owner,
               RandomEngine random);
    ~ClaimStore();

    /// Claimed: the caller has the exclusive right to send the request. It then calls record(), or
    /// free() if no byte was sent. With any other outcome it must not send the request. Refused
    /// means that this attempt did not run.
    ClaimResult claim(const ClaimRequest &request);
    /// Stores @p outcome, which later claims of the key return. Retries until @p deadline.
    Status record(const ClaimHandle &handle, const std::string &outcome, TimePoint deadline);
    /// Gives up a claim whose request was not sent, so that a retry may run. Retries until
    /// @p deadline.
    Status free(const ClaimHandle &handle, TimePoint deadline);
    /// Removes segments of @p bucket that no head lists, left behind by head writes that failed.
    Status removeOrphanedSegments(size_t bucket);

    /// Whether no operation is pending and no write has an unknown outcome.
    bool idle() const;
    ClaimCounters counters() const { return m_shared.m_counters; }

private:
    ClaimWriter &writerOf(const std::string &keyHash);
    Result<std::string> writeOutcome(const std::string &keyHash, const std::string &outcome,
                                     TimePoint deadline);

    ClaimSharedState m_shared;
    VmId m_owner;
    std::map<size_t, std::unique_ptr<ClaimWriter>> m_writers; ///< By bucket; created on first use.
};

} // namespace stackquay
