/// At most one attempt runs a non-repeatable request: claims in the store, without leases.
///
/// A claim is taken by a conditional write of its bucket's head, before the first byte of the
/// request goes out. Operations on one bucket that come within a window share one write. A lost
/// answer is settled by reading the head back and looking for the attempt.
#pragma once

#include "store/claim_writer.h"

namespace stackquay {

struct ClaimRequest {
    CustomerId m_customer;
    std::string m_key; ///< The idempotency key.
    std::string m_bodyHash; ///< Tells whether a repeat is the same request.
    AttemptId m_attempt; ///< Unguessable, and new for each call of claim().
    /// How long the claim is kept: longer than any caller goes on to repeat the request.
    Duration m_retention = std::chrono::hours(24 * 8);
    TimePoint m_deadline = TimePoint::max(); ///< Refused if the store has not answered by then.
};

/// A claim that an attempt of this VM holds.
struct ClaimHandle {
    CustomerId m_customer;
    std::string m_key;
    AttemptId m_attempt;
};

/// For fibers of one thread. When it is destroyed, it must be idle or that thread have stopped.
class ClaimStore
{
public:
    ClaimStore(ObjectApi &objects, ClaimSettings settings, ClaimRuntime runtime, VmId owner,
               RandomEngine random);
    ~ClaimStore();

    /// Claimed: the caller, and no other, may send the request. It then calls record(), or free()
    /// if no byte was sent. Anything else: it must not send; Refused is truly "not run".
    ClaimResult claim(const ClaimRequest &request);
    /// Keeps @p outcome for repeats. Tries until @p deadline.
    Status record(const ClaimHandle &handle, const std::string &outcome, TimePoint deadline);
    /// Gives up a claim whose request was not sent, so that a repeat may run.
    Status free(const ClaimHandle &handle, TimePoint deadline);
    /// Removes segments of @p bucket that writes left behind which then lost.
    Status dropOrphans(size_t bucket);

    /// Whether no write is in progress or still to be settled.
    bool idle() const;
    ClaimCounters counters() const { return m_shared.m_counters; }

private:
    ClaimWriter &writerOf(const std::string &keyHash);
    Result<std::string> writeOutcome(const std::string &keyHash, const std::string &outcome,
                                     TimePoint deadline);

    ClaimShared m_shared;
    VmId m_owner;
    std::map<size_t, std::unique_ptr<ClaimWriter>> m_writers; ///< Of the buckets used so far.
};

} // namespace stackquay
