/// When a model request that waits may begin, and on which engines.
///
/// The order of those that wait is in policy/turn_queue, the choice of engines in policy/gang_plan;
/// this joins them: what a request asks of both, and what one look of it leads to.
#pragma once

#include <functional>
#include <optional>
#include <unordered_set>
#include <vector>

#include "policy/gang_plan.h"
#include "policy/pool_split.h"
#include "policy/turn_queue.h"

namespace stackquay {

struct ModelRequest {
    double m_promptTokens = 0;
    uint32_t m_gapLimitMs = 0; ///< Longest pause that its stream bears; zero: any.
    Duration m_aim{}; ///< From the arrival to the first event, as wanted.
    Duration m_patience{}; ///< How long its caller bears silence.
    TimePoint m_arrival{};
    TimePoint m_deadline{};
    bool m_repeat = false; ///< An endpoint had it before.

    bool strict() const { return isStrictGap(m_gapLimitMs); }
};

/// From the beginning of an attempt to its first event, at least, on a pool of @p engines.
FloatMillis neededToBegin(const TurnSettings &settings, const EngineCosts &costs,
                          const ModelRequest &request, size_t engines);

/// How @p request waits for its turn.
WaitingTurn turnOf(const TurnSettings &settings, const EngineCosts &costs,
                   const ModelRequest &request, size_t engines);

/// What is known of strict streams, of which those in @p queue wait.
StrictDemand strictDemandOf(const EngineCosts &costs, const TurnQueue &queue, StreamLedger &ledger,
                            TimePoint now);

/// What the engines of @p pool for strict streams, or the others, have to do.
SideLoad sideLoadOf(const EngineCosts &costs, const std::vector<EndpointRecord> &pool,
                    const std::unordered_set<EndpointId> &strictSide, const EndpointUses &uses,
                    const ReadingNow &reading, bool strict);
/// How many more requests of a side may begin.
uint32_t roomOf(const TurnSettings &settings, const SideLoad &load, bool strict);
/// Whether the order of those that wait in @p queue lets @p request begin.
bool isNext(const TurnSettings &settings, const EngineCosts &costs, const ModelRequest &request,
            TurnQueue &queue, const LoadKey &key, const SideLoad &load, TimePoint now);

/// @p pool divided into those for strict streams or for the others, and the rest.
GangSides divide(const std::vector<EndpointRecord> &pool,
                 const std::unordered_set<EndpointId> &strictSide, bool strict);

GangQuestion questionOf(const EngineCosts &costs, const ModelRequest &request, StreamCare care,
                        TimePoint now);

/// What stands in the way of a request.
enum class TurnObstacle {
    None,
    OthersFirst,
    NoneBearsIt, ///< No set of engines whose streams bear its reading has the memory.
    AllBusy, ///< The engines have so much to read that it would be late.
};
std::string_view turnObstacleName(TurnObstacle obstacle);

struct TurnLook {
    std::optional<GangPlan> m_plan; ///< It begins now, with this.
    TurnObstacle m_obstacle = TurnObstacle::None;
    bool m_tooLate = false; ///< Without a plan: it is refused, as it could only be late.
};

/// Asks for a plan on the engines of the moment.
using GangPlanner = std::function<std::optional<GangPlan>(StreamCare)>;

/// One look of @p request; @p next is whether it is its turn, as isNext(). A refusal names @p
/// before, what stood in its way at the look before: once it is too late, all others go first.
TurnLook lookForTurn(const TurnSettings &settings, const EngineCosts &costs,
                     const ModelRequest &request, const WaitingTurn &turn, bool next,
                     TurnObstacle before, const GangPlanner &plan, TimePoint now);

} // namespace stackquay
