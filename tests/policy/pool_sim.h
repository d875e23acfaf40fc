/// Simulates a pool of engines in virtual time. The scheduling code of the product places the model
/// requests: the queue, the split of the pool, the choice of engines, and the ledger.
///
/// An engine works in passes: it prefills all waiting parts and emits one event for each of its
/// streams, so the gap of a stream is the duration of a pass. All VMs of the pool see the same
/// ledger without delay, so the results depend on the scheduling decisions alone.
#pragma once

#include <vector>

#include "policy/policy.h"

namespace stackquay {

/// Distribution of the prompts of one route.
struct PromptKind {
    double m_meanTokens = 0;
    double m_spread = 0; ///< Standard deviation of the logarithm.
    double m_maxTokens = 0;
    Millis m_patience{}; ///< Silence after which callers leave.
    uint32_t m_gapLimitMs = 0; ///< Longest tolerated gap between events.
    Millis m_deadline{};
    double m_meanEvents = 1;
    double m_perSecond = 0; ///< Mean arrival rate.
};

struct PoolLoad {
    EngineCosts m_costs;
    size_t m_engines = 0;
    std::vector<PromptKind> m_kinds;
    Duration m_length{};
    Duration m_phase{}; ///< Length of a phase; rates change between phases.
    /// For each phase, a factor on the arrival rate of each kind. The phases repeat.
    std::vector<std::vector<double>> m_phases;
    // Settings of the scheduling code.
    DispatchSettings m_dispatchSettings{};
    GangSettings m_gang{};
    /// How often a refused caller comes back.
    uint32_t m_maxReturns = 0;
    /// Engines that end in the middle of m_length, evenly chosen; their streams end with them.
    size_t m_missingEngines = 0;
};

/// What happened to one prompt.
struct PromptOutcome {
    size_t m_kind = 0;
    double m_tokens = 0;
    bool m_started = false;
    bool m_served = false; ///< Its caller received the complete answer.
    bool m_leftInSilence = false; ///< Its caller left after it had started.
    TimePoint m_arrival{};
    TimePoint m_firstEventAt{}; ///< Zero: none came.
    Duration m_wait{}; ///< From its arrival to its start or refusal.
    DispatchObstacle m_obstacle = DispatchObstacle::None; ///< Reason of a refusal.
    std::vector<Duration> m_refusals{}; ///< Wait before each refusal.
    bool m_told = false; ///< Whether its caller was told when to come back.
    bool m_cameBack = false;
    TimePoint m_lastArrival{};
};

/// How the engines spent their time, in engine seconds.
struct EngineTime {
    double m_prefilling = 0;
    double m_decoding = 0;
    double m_idle = 0;
    double m_idleWhileWaiting = 0; ///< Of m_idle, while a prompt was waiting.
};

/// Result of a simulation.
struct PoolRun {
    std::vector<PromptOutcome> m_outcomes; ///< Of all prompts, in the order of their arrival.
    EngineTime m_time;
    /// Idle engine time in each IdleSlice since PoolStart, in milliseconds.
    std::vector<double> m_idleMsPerSlice;
};

/// When a simulation starts.
constexpr TimePoint PoolStart{ Seconds(1'000) };
constexpr Millis IdleSlice{ 120 }; ///< Ten polls.

PoolRun simulatePool(const PoolLoad &load, uint64_t seed);

/// Served fraction of the prompts of one kind: all, the largest tenth, and the fifth below it.
struct ServedShares {
    double m_all = 0;
    double m_largestTenth = 0;
    double m_nextFifth = 0;
    size_t m_count = 0;
};
ServedShares servedShares(const std::vector<PromptOutcome> &outcomes, size_t kind);

} // namespace stackquay
