/// A pool of engines in virtual time, on which model requests are placed by the decisions of the
/// product: queue, division of the pool, choice of engines, ledger.
///
/// An engine works in passes: it takes all parts that wait, reads them, and writes one event for
/// each of its streams; a stream's pause is the pass. All VMs of the pool see the same ledger at
/// once, so that the figures are of the decisions alone.
#pragma once

#include <vector>

#include "policy/policy.h"

namespace stackquay {

/// Prompts of one route.
struct PromptKind {
    double m_meanTokens = 0;
    double m_spread = 0; ///< Standard deviation of the logarithm.
    double m_mostTokens = 0;
    Millis m_aim{};
    uint32_t m_gapLimitMs = 0;
    Millis m_deadline{};
    double m_meanEvents = 1;
    double m_perSecond = 0;
    double m_worth = 1; ///< Of one of mean size, answered within its aim.
    double m_lateWorth = 0; ///< Answered later.
};

struct PoolLoad {
    EngineCosts m_costs;
    size_t m_engines = 0;
    std::vector<PromptKind> m_kinds;
    Duration m_length{};
    Duration m_phase{}; ///< Rates change between phases.
    /// Rates of the kinds in each phase, as factors; the phases repeat.
    std::vector<std::vector<double>> m_phases;
    // The ways of deciding that are played.
    TurnSettings m_turns{};
    GangSettings m_gang{};
};

struct PromptFate {
    size_t m_kind = 0;
    double m_tokens = 0;
    bool m_begun = false;
    bool m_served = false; ///< Its caller had the whole answer.
    bool m_inAim = false; ///< And in time, with bearable pauses.
    TimePoint m_arrival{};
    Duration m_wait{}; ///< From its arrival to its beginning or its refusal.
    TurnObstacle m_obstacle = TurnObstacle::None; ///< If it was refused: why.
};

/// What the engines did, in seconds of one engine.
struct EngineTime {
    double m_reading = 0;
    double m_writing = 0;
    double m_idle = 0;
    double m_idleInNeed = 0; ///< Of that, while a prompt waited.
};

struct PoolPlay {
    std::vector<PromptFate> m_fates; ///< Of all prompts that came, in their order.
    EngineTime m_time;
};

PoolPlay playPool(const PoolLoad &load, uint64_t seed);

/// Worth of one prompt that is answered in time, or late: larger ones are worth more.
double worthOf(const PromptKind &kind, double tokens, bool inTime);
/// Worth earned, as a share of what all prompts of @p fates could earn.
double earnedShare(const PoolLoad &load, const std::vector<PromptFate> &fates);
/// No schedule of any kind earns a greater share: each prompt takes at least its reading out of the
/// time of all engines between its arrival and its aim. Neither writing, memory, pauses nor the
/// bound of engines that read together is counted.
double mostEarnedShare(const PoolLoad &load, const std::vector<PromptFate> &fates);

/// How many of a kind were served, whole and for its largest tenth and the fifth below it.
struct ServedShares {
    double m_all = 0;
    double m_largestTenth = 0;
    double m_nextFifth = 0;
    double m_inAim = 0; ///< Of all.
    size_t m_count = 0;
};
ServedShares servedShares(const std::vector<PromptFate> &fates, size_t kind);

} // namespace stackquay
