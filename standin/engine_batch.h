/// Continuous batching of the engine stand-in: the waiting queue, the running streams and the time
/// that each step takes. No I/O; time is an argument.
#pragma once

#include <map>
#include <memory>
#include <unordered_map>

#include "standin/kv_memory.h"

namespace stackquay::standin {

class Notifier;

enum class AttemptState {
    Waiting,
    Decoding,
    Finished,
    Cancelled,
};

struct EngineRequest {
    std::string m_attempt;
    std::string m_owner;
    std::string m_handle; ///< Runs in this reservation, if not empty.
    std::shared_ptr<const EnginePrompt> m_prompt;
    size_t m_maxTokens = 0; ///< Of the whole answer, including m_skip.
    size_t m_skip = 0;
    int64_t m_priority = 0; ///< Higher first.
    bool m_prefillOnly = false;
    size_t m_prefillLimit = 0; ///< Of computed tokens, with m_prefillOnly; 0 is without limit.
};

struct EngineAttempt {
    EngineRequest m_request;
    AttemptState m_state = AttemptState::Waiting;
    size_t m_index = 0; ///< Tokens of the answer so far, including the skipped ones.
    size_t m_end = 0; ///< The answer's length.
    bool m_stopped = false; ///< Ends before m_maxTokens.
    size_t m_prefillFrom = 0; ///< First prompt token of this engine's part.
    size_t m_prefillTo = 0;
    size_t m_cached = 0; ///< Prompt tokens that needed no computing.
    std::vector<uint64_t> m_blocks; ///< Pinned while it lives.
    size_t m_private = 0;
    bool m_holdsMemory = false;
    TimePoint m_submittedAt;
    Duration m_queueTime{ 0 };
    Duration m_prefillTime{ 0 };
    Notifier *m_writer = nullptr; ///< Of the connection that sends it now.
    uint64_t m_connection = 0; ///< Grows with each connection that takes it over.
    size_t m_wakeAt = 0; ///< The writer wants to be woken at this index.
    bool m_cutDone = false; ///< The fault cut_after has struck.
};

using AttemptPtr = std::shared_ptr<EngineAttempt>;

/// Costs of a step and bounds of the engine.
struct EngineLimits {
    size_t m_memoryTokens = 400'000;
    size_t m_maxRunning = 64;
    size_t m_maxWaiting = 1000;
    bool m_waitForMemory = false; ///< Queue what doesn't fit now, instead of no_memory.
    size_t m_stopAfter = 0; ///< Answers stop by themselves at this length; 0 is never.
    size_t m_prefillBatchTokens = 2048; ///< Several short prefills share a step up to this.
    Micros m_stepBase{ 5000 };
    Micros m_decode{ 100 }; ///< For each running stream.
    double m_prefillMicrosPerToken = 20;
    double m_timeScale = 1; ///< Multiplies all step times; 0 runs as fast as it can.
};

struct EngineStats {
    uint64_t m_accepted = 0;
    uint64_t m_started = 0; ///< Prefills begun.
    uint64_t m_completed = 0;
    uint64_t m_cancelled = 0;
    uint64_t m_resumed = 0;
    uint64_t m_refused = 0;
    uint64_t m_tokens = 0; ///< Generated.
    uint64_t m_prefilledTokens = 0; ///< Computed.
    uint64_t m_steps = 0;
    size_t m_maxRunning = 0;
    size_t m_running = 0;
    size_t m_waiting = 0;
    size_t m_memoryUsed = 0;
    size_t m_memoryCached = 0;
    size_t m_handles = 0;
};

/// Why a request did not run; empty if it was accepted.
struct SubmitOutcome {
    AttemptPtr m_attempt;
    std::string m_reason;
};

class EngineBatch
{
public:
    explicit EngineBatch(EngineLimits limits);

    SubmitOutcome submit(EngineRequest request, TimePoint now);
    /// Frees the attempt's memory at once; false if it isn't live.
    bool cancel(const std::string &attempt);
    /// Removes a handle and cancels what runs in it.
    bool removeHandle(const std::string &id);
    AttemptPtr find(const std::string &attempt) const;
    /// Forgets a finished or cancelled attempt.
    void forget(const std::string &attempt);

    bool idle() const { return m_waiting.empty() && m_running.empty(); }
    /// Chooses the step's prefills and returns the time that the step takes.
    Duration beginStep(TimePoint now);
    /// Whether the step that has begun does anything; else all that waits lacks memory.
    bool stepHasWork() const { return !m_running.empty() || !m_prefilling.empty(); }
    /// Gives each running stream its token and wakes writers.
    void endStep(TimePoint now);
    /// Loses all memory and streams, as an engine that dies; the counters stay.
    void reset();

    KvMemory &memory() { return m_memory; }
    const EngineLimits &limits() const { return m_limits; }
    EngineStats stats() const;
    EngineStats &counters() { return m_stats; }
    size_t prefillBacklog() const { return m_backlog; }
    const std::map<std::string, uint64_t> &executions() const { return m_executions; }

private:
    using WaitingKey = std::pair<int64_t, uint64_t>; ///< Negated priority, then order of arrival.

    std::string place(EngineAttempt &attempt);
    std::string placeInHandle(EngineAttempt &attempt, KvHandle &handle);
    std::string takeMemory(EngineAttempt &attempt, TimePoint now);
    void releaseMemory(EngineAttempt &attempt);
    bool startPrefill(const AttemptPtr &attempt, TimePoint now);
    size_t uncached(const EngineAttempt &attempt) const;
    void finishPrefill(const AttemptPtr &attempt, TimePoint now);
    void finish(EngineAttempt &attempt, AttemptState state);
    void countExecution(const std::string &attempt);

    EngineLimits m_limits;
    KvMemory m_memory;
    std::map<WaitingKey, AttemptPtr> m_waiting;
    std::vector<AttemptPtr> m_running;
    std::vector<AttemptPtr> m_prefilling; ///< In the present step.
    std::unordered_map<std::string, AttemptPtr> m_attempts;
    std::map<std::string, uint64_t> m_executions;
    std::deque<std::string> m_executionOrder;
    uint64_t m_arrivals = 0;
    size_t m_backlog = 0;
    EngineStats m_stats;
};

} // namespace stackquay::standin
