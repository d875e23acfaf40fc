/// Decides when a waiting model request may start, and on which engines.
///
/// policy/dispatch_queue keeps the order of the waiting requests and policy/gang_plan chooses the
/// engines. This module derives the inputs of both from a request, and makes the decision each time
/// that the request polls.
#pragma once

#include <functional>
#include <optional>
#include <unordered_set>
#include <vector>

#include "policy/dispatch_queue.h"
#include "policy/gang_plan.h"
#include "policy/pool_split.h"
#include "policy/turn_forecast.h"

namespace stackquay {

/// What the scheduling of a model request depends on. It is the same for the first attempt of a
/// request and for later ones.
struct ModelRequest {
    double m_promptTokens = 0;
    double m_answerTokens = 0; ///< Expected length of the answer that is still to be decoded.
    uint32_t m_gapLimitMs = 0; ///< Longest tolerated gap between events; 0: no limit.
    TimePoint m_arrival{};
    TimePoint m_leavesAt{}; ///< Its caller leaves then, unless an event comes before.
    TimePoint m_deadline{}; ///< Its whole answer has to have come by then.
    /// First arrival of a request that was refused and came back when it was told to; nothing for
    /// all others.
    std::optional<TimePoint> m_returnOf{};

    /// Whether its stream is strict, see isStrictGap().
    bool strict() const { return isStrictGap(m_gapLimitMs); }
};

/// Expected time from the start of an attempt to its first event.
FloatMillis expectedFirstEvent(const DispatchSettings &settings, const EngineCosts &costs,
                               const ModelRequest &request, const PoolSize &pool);
/// Expected time from the start of an attempt to the end of its answer.
FloatMillis expectedCompletion(const DispatchSettings &settings, const EngineCosts &costs,
                               const ModelRequest &request, const PoolSize &pool);

/// The queue entry of @p request.
QueuedRequest queuedRequestOf(const DispatchSettings &settings, const EngineCosts &costs,
                              const ModelRequest &request, const PoolSize &pool);

/// Demand for strict streams: those that wait in @p queue, and the recent arrivals in @p ledger.
StrictDemand strictDemandOf(const EngineCosts &costs, const DispatchQueue &queue,
                            StreamLedger &ledger, TimePoint now);

/// Load of one side of @p pool: of the engines in @p strictSide if @p strict, else of the others.
SideLoad sideLoadOf(const EngineCosts &costs, const std::vector<EndpointRecord> &pool,
                    const std::unordered_set<EndpointId> &strictSide, const EndpointUses &uses,
                    const ActivePrefills &prefills, bool strict);
/// Whether @p request, which waits in @p queue as @p key, may start by the order of the queue.
/// Drops expired requests from @p queue.
bool mayStartNext(const DispatchSettings &settings, const EngineCosts &costs,
                  const ModelRequest &request, DispatchQueue &queue, const LoadKey &key,
                  const SideLoad &load, TimePoint now);

/// Splits @p pool into the engines of the request's own side and the others. @p strict is whether
/// the request has a strict stream.
GangSides splitPool(const std::vector<EndpointRecord> &pool,
                    const std::unordered_set<EndpointId> &strictSide, bool strict);

/// The inputs of planGang() for @p request, without m_candidateQuery.
GangQuery gangQueryOf(const DispatchSettings &settings, const EngineCosts &costs,
                      const ModelRequest &request, DisruptionPolicy disruption,
                      const PoolSize &pool);

/// What determines when a request with @p aheadMs of work before it may start, see QueuedRequest.
TurnLoad turnLoadOf(const DispatchSettings &settings, const EngineCosts &costs,
                    const SideLoad &load, double aheadMs, bool strict);

/// Why a request does not start yet.
enum class DispatchObstacle {
    None,
    BehindOthers, ///< Others precede it in the queue.
    /// No set of engines has the memory, among those whose streams tolerate its prefill.
    NoEligibleEngines,
    EnginesBusy, ///< On the engines as they are, its caller would leave before it is served.
    TurnTooLate, ///< Its turn is predicted to come too late.
};
/// The message of a refusal for this reason; empty for None.
std::string_view dispatchObstacleMessage(DispatchObstacle obstacle);

/// Result of one decision about a waiting request.
struct DispatchDecision {
    std::optional<GangPlan> m_plan; ///< Set: the request starts now.
    DispatchObstacle m_obstacle =
        DispatchObstacle::None; ///< Without a plan: why it waits or is refused.
    bool m_tooLate = false; ///< Without a plan: it has to be refused.
};

/// Plans the request on the engines as they are now; no value if that is impossible.
using GangPlanner = std::function<std::optional<GangPlan>(DisruptionPolicy)>;

/// Decides whether @p request starts, keeps waiting, or is refused. @p next is the result of
/// mayStartNext(), @p turn the predicted time until its turn. A request starts in its turn if its
/// caller is served before it leaves, and is refused as soon as its turn is predicted to come too
/// late for that. For a request that just arrived, @p turn is by when it comes at the latest.
DispatchDecision decideStart(const DispatchSettings &settings, const EngineCosts &costs,
                             const ModelRequest &request, const QueuedRequest &queued, bool next,
                             Duration turn, const GangPlanner &plan, TimePoint now);

} // namespace stackquay
