/// Group commit of the operations on one bucket. Internal; see store/claim_store.h.
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
    size_t m_buckets = 16; ///< The same on every VM, for as long as claims are kept.
    Duration m_window = Millis(50); ///< How long the first of a batch waits for others.
    size_t m_openBytes = 32 * 1024; ///< More open claims than this are closed into a segment.
    size_t m_inlineOutcomeBytes = 1024; ///< A longer outcome goes into an object of its own.
    BackoffSettings m_backoff{ Millis(20), Seconds(2) };
};

/// Clocks and sleep, so that tests can run their own.
struct ClaimRuntime {
    std::function<bool(Duration)> m_sleep; ///< False: the thread stops.
    std::function<TimePoint()> m_now = Clock::now;
    std::function<WallTime()> m_wallNow = std::chrono::system_clock::now;
};

struct ClaimCounters {
    uint64_t m_operations = 0;
    uint64_t m_headWrites = 0; ///< Sent, also those that lost.
    uint64_t m_segmentWrites = 0;
    uint64_t m_conflicts = 0;
    uint64_t m_lostAnswers = 0;
    uint64_t m_refused = 0;
};

/// What the writers of one ClaimStore share.
struct ClaimShared {
    ObjectApi &m_objects;
    ClaimSettings m_settings;
    ClaimRuntime m_runtime;
    RandomEngine m_random;
    ClaimCounters m_counters;
};

class ClaimWriter
{
public:
    ClaimWriter(ClaimShared &shared, size_t bucket);

    /// Waits until the operation is done, or has failed by about @p deadline. A claim that is
    /// refused although its write may take effect is freed later, before anything else is written.
    ClaimResult run(ClaimOperation operation, TimePoint deadline);
    bool idle() const { return !m_running; }

private:
    struct Pending {
        ClaimOperation m_operation;
        TimePoint m_deadline{};
        bool m_mayBeWritten = false;
        boost::fibers::promise<ClaimResult> m_promise;
    };
    using Batch = std::deque<std::unique_ptr<Pending>>;

    /// A new state of the bucket, and the answers that hold once it is written.
    struct Proposal {
        ClaimBucket m_next;
        std::vector<ClaimResult> m_results;
        bool m_changed = false;
        bool m_needsFresh = false; ///< An answer that an older head cannot give.
        std::vector<Claim> m_closed;
        std::vector<ClaimSegment> m_expired;
    };

    void writeWhileNeeded();
    bool pauseAfter(const Error &error, unsigned failures);
    void collect();
    void refuseLate();
    void refuseClaims(const Error &error);
    void refuse(std::unique_ptr<Pending> pending, const Error &error);
    Status commit();
    Result<Proposal> propose();
    Result<ClaimResult> apply(Proposal &proposal, const ClaimOperation &operation);
    Result<std::string> readOutcome(const std::string &object);
    Status closeSegment(Proposal &proposal);
    Status writeHead(Proposal &proposal);
    void noteVersion(ObjectVersion version);
    void deliver(std::vector<ClaimResult> results);
    void removeExpired(const std::vector<ClaimSegment> &segments);
    void removeObject(const std::string &key);

    ClaimShared &m_shared;
    size_t m_bucket;
    ClaimReader m_reader;
    bool m_running = false;
    Batch m_queue; ///< Not yet taken into the batch.
    Batch m_batch;
    std::vector<Claim> m_abandoned; ///< Refused, but their write may have taken effect.
    /// Version that a write whose answer was lost may yet replace.
    std::optional<ObjectVersion> m_unsettled;
};

} // namespace stackquay
