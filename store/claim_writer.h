/// Group commit of the operations on one claim bucket. Internal; see store/claim_store.h.
#pragma once

#include <deque>
#include <functional>
#include <memory>

#include <boost/fiber/future.hpp>

#include "store/backoff.h"
#include "store/claim_operation.h"
#include "store/claim_reader.h"

namespace stackquay {

struct ClaimSettings {
    size_t m_buckets = 16; ///< Must be equal on every VM and constant while claims are kept.
    Duration m_batchWindow = Millis(50); ///< How long a batch waits for further operations.
    size_t m_maxOpenBytes = 32 * 1024; ///< Beyond this size, claims are archived in a segment.
    size_t m_maxInlineOutcomeBytes = 1024; ///< A longer outcome is stored as a separate object.
    BackoffSettings m_backoff{ Millis(20), Seconds(2) };
};

/// Clocks and sleep function, replaceable in tests.
struct ClaimRuntime {
    std::function<bool(Duration)> m_sleep; ///< Returns false if the thread is stopping.
    std::function<TimePoint()> m_now = Clock::now;
    std::function<WallTime()> m_wallNow = std::chrono::system_clock::now;
};

struct ClaimCounters {
    uint64_t m_operations = 0;
    uint64_t m_headWrites = 0; ///< Sent, including those that failed.
    uint64_t m_segmentWrites = 0;
    uint64_t m_conflicts = 0;
    uint64_t m_lostResponses = 0;
    uint64_t m_refused = 0;
};

/// State shared by the writers of one ClaimStore.
struct ClaimSharedState {
    ObjectApi &m_objects;
    ClaimSettings m_settings;
    ClaimRuntime m_runtime;
    RandomEngine m_random;
    ClaimCounters m_counters;
};

/// Batches the operations on one bucket and commits each batch by one write of the head.
class ClaimWriter
{
public:
    ClaimWriter(ClaimSharedState &shared, size_t bucket);

    /// Waits until the operation is done, or refused soon after @p deadline. A claim that is
    /// refused although its write may still take effect is freed by the next write of the head.
    ClaimResult run(ClaimOperation operation, TimePoint deadline);
    bool idle() const { return !m_running; }

private:
    struct PendingOperation {
        ClaimOperation m_operation;
        TimePoint m_deadline{};
        bool m_mayBeWritten = false; ///< A write of it has an unknown outcome.
        boost::fibers::promise<ClaimResult> m_promise;
    };
    using Batch = std::deque<std::unique_ptr<PendingOperation>>;

    /// The next state of the bucket, and the results that are valid once it is written.
    struct Proposal {
        ClaimBucket m_next;
        std::vector<ClaimResult> m_results;
        bool m_changed = false; ///< m_next has to be written.
        bool m_needsFreshHead = false; ///< A result may be outdated if the cached head is old.
        std::vector<Claim> m_archived; ///< Claims of the segment that m_next adds, if any.
        std::vector<ClaimSegment> m_expired; ///< Removed from m_next; to be deleted.
    };

    void runWriteLoop();
    bool backOffAfter(const Error &error, unsigned failures);
    void moveQueueToBatch();
    void refusePastDeadline();
    void refuseClaims(const Error &error);
    void refuse(std::unique_ptr<PendingOperation> pending, const Error &error);
    Status commit();
    Result<Proposal> propose();
    Result<ClaimResult> apply(Proposal &proposal, const ClaimOperation &operation);
    Result<std::string> readOutcome(const std::string &object);
    Status writeSegment(Proposal &proposal);
    Status writeHead(Proposal &proposal);
    void resolveLostWrite(ObjectVersion version);
    void completeBatch(std::vector<ClaimResult> results);
    void removeExpired(const std::vector<ClaimSegment> &segments);
    void removeObject(const std::string &key);

    ClaimSharedState &m_shared;
    size_t m_bucket;
    ClaimReader m_reader;
    bool m_running = false;
    Batch m_queue; ///< Not yet part of the batch.
    Batch m_batch;
    std::vector<Claim> m_abandoned; ///< Refused, but their write may take effect: to be freed.
    /// Head version that a write with unknown outcome may still replace.
    std::optional<ObjectVersion> m_unresolvedVersion;
};

} // namespace stackquay
