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

/// What the scheduling of a model request depends on.
struct ModelRequest {
    double m_promptTokens = 0;
    uint32_t m_gapLimitMs = 0; ///< Longest tolerated gap between events; 0: no limit.
    Duration m_latencyTarget{}; ///< Latency target: from the arrival to the first event.
    Duration m_patience{}; ///< Silence after which its caller gives up.
    TimePoint m_arrival{};
    TimePoint m_deadline{};
    bool m_isRetry = false; ///< A retry: it was sent to an endpoint before.
    /// Whether its wait is bounded by the forecast of its turn, not by a fraction of its latency
    /// target.
    bool m_forecastsTurn = false;
    /// First arrival of a request that was refused and came back when it was told to; nothing for
    /// all others.
    std::optional<TimePoint> m_returnOf{};

    /// Whether its stream is strict, see isStrictGap().
    bool strict() const { return isStrictGap(m_gapLimitMs); }
};

/// Minimum time from the start of an attempt to its first event, on a pool of @p engines.
FloatMillis minTimeToFirstEvent(const DispatchSettings &settings, const EngineCosts &costs,
                                const ModelRequest &request, size_t engines);

/// The queue entry of @p request, on a pool of @p engines.
QueuedRequest queuedRequestOf(const DispatchSettings &settings, const EngineCosts &costs,
                              const ModelRequest &request, size_t engines);

/// Demand for strict streams: those that wait in @p queue, and the recent arrivals in @p ledger.
StrictDemand strictDemandOf(const EngineCosts &costs, const DispatchQueue &queue,
                            StreamLedger &ledger, TimePoint now);

/// Load of one side of @p pool: of the engines in @p strictSide if @p strict, else of the others.
/// Leaves m_longestLatencyTarget to the caller.
SideLoad sideLoadOf(const EngineCosts &costs, const std::vector<EndpointRecord> &pool,
                    const std::unordered_set<EndpointId> &strictSide, const EndpointUses &uses,
                    const ActivePrefills &prefills, bool strict);
/// Number of further requests of a side that may start now.
uint32_t allowedStarts(const DispatchSettings &settings, const SideLoad &load, bool strict);
/// Whether @p request, which waits in @p queue as @p key, may start by the order of the queue.
/// Drops expired requests from @p queue.
bool mayStartNext(const DispatchSettings &settings, const EngineCosts &costs,
                  const ModelRequest &request, DispatchQueue &queue, const LoadKey &key,
                  const SideLoad &load, TimePoint now);

/// Splits @p pool into the engines of the request's own side and the others. @p strict is whether
/// the request has a strict stream.
GangSides splitPool(const std::vector<EndpointRecord> &pool,
                    const std::unordered_set<EndpointId> &strictSide, bool strict);

/// The inputs of planGang() for @p request on a pool of @p engines, without m_candidateQuery.
GangQuery gangQueryOf(const DispatchSettings &settings, const EngineCosts &costs,
                      const ModelRequest &request, DisruptionPolicy disruption, size_t engines);

/// What determines when a long prompt with @p aheadMs of prefill time before it may start.
TurnLoad turnLoadOf(const DispatchSettings &settings, const SideLoad &load, double aheadMs);

/// When the turn of a waiting request comes.
struct TurnOutlook {
    Duration m_turn{}; ///< Predicted time until its turn.
    Duration m_margin{}; ///< By how much it may be later.
};

/// Why a request does not start yet.
enum class DispatchObstacle {
    None,
    BehindOthers, ///< Others precede it in the queue.
    /// No set of engines has the memory, among those whose streams tolerate its prefill.
    NoEligibleEngines,
    EnginesBusy, ///< The prefill backlog of the engines would make it late.
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
/// mayStartNext(), @p before the obstacle at the previous decision. A refusal names @p before,
/// because a request that is too late moves behind all others and would always report BehindOthers.
DispatchDecision decideDispatch(const DispatchSettings &settings, const EngineCosts &costs,
                                const ModelRequest &request, const QueuedRequest &queued, bool next,
                                DispatchObstacle before, const GangPlanner &plan, TimePoint now);

/// The same for a request whose turn is forecast. A request that just arrived is refused if its
/// turn may come too late; one that waits, if its turn will. A long prompt may also start if its
/// turn is predicted to have come, whatever @p next is.
DispatchDecision decideByForecast(const DispatchSettings &settings, const EngineCosts &costs,
                                  const ModelRequest &request, const QueuedRequest &queued,
                                  bool next, bool justArrived, const TurnOutlook &outlook,
                                  const GangPlanner &plan, TimePoint now);

/// What one poll of a waiting request observed.
struct PollState {
    bool m_next = false; ///< Result of mayStartNext().
    bool m_justArrived = false; ///< It has not polled before.
    DispatchObstacle m_before = DispatchObstacle::None; ///< At the previous decision.
    TurnOutlook m_outlook{}; ///< Used only if its turn is forecast.
};

/// decideByForecast() if the turn of @p request is forecast, else decideDispatch().
DispatchDecision decideStart(const DispatchSettings &settings, const EngineCosts &costs,
                             const ModelRequest &request, const QueuedRequest &queued,
                             const PollState &state, const GangPlanner &plan, TimePoint now);

} // namespace stackquay
