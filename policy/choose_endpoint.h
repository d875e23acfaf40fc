/// Routing policies: choose the endpoint of a request. Pure functions over plain structs.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "policy/cost_model.h"
#include "policy/endpoint_ledger.h"
#include "policy/intent.h"
#include "policy/prefix.h"

namespace stackquay {

/// How a VM chooses endpoints. The first two are baselines, in which each VM decides on its own.
enum class RoutingPolicy {
    RoundRobin,
    LeastReported, ///< The lowest load, as last reported by the engines.
    Steward, ///< One VM, the steward, schedules all requests to a shard's endpoints.
};

/// Parses a name returned by routingPolicyName(); InvalidArgument if there is no such policy.
Result<RoutingPolicy> parseRoutingPolicy(std::string_view name);
/// The name in settings: "round-robin", "least-reported" or "steward".
std::string_view routingPolicyName(RoutingPolicy policy);

/// Passive health check: results of a VM's own requests to one endpoint.
struct EndpointHealth {
    uint32_t m_failures = 0; ///< Consecutive failures since the last success or ejection.
    uint32_t m_ejections = 0; ///< Ejections since the last success.
    TimePoint m_ejectedUntil; ///< The endpoint gets no requests before this time.
};

struct EjectionSettings {
    uint32_t m_maxFailures = 3; ///< Consecutive failures that eject an endpoint.
    Millis m_base{ 2'000 }; ///< First ejection; doubled by each further one without a success.
    Millis m_max{ 60'000 }; ///< Longest ejection.
};

/// Resets the health record.
void noteSuccess(EndpointHealth &health);
/// Counts a failure that is attributed to the endpoint. Returns whether it ejects the endpoint. On
/// probation a single failure ejects.
bool noteFailure(EndpointHealth &health, TimePoint now, const EjectionSettings &settings = {});
/// Ejects the endpoint, for twice as long as the last time unless a success came in between.
void eject(EndpointHealth &health, TimePoint now, const EjectionSettings &settings);
/// Whether the last ejection has ended and no success has been seen since.
bool isOnProbation(const EndpointHealth &health, TimePoint now);
bool isEjected(const EndpointHealth &health, TimePoint now);

/// Load as last reported by an engine.
struct ReportedLoad {
    uint32_t m_running = 0; ///< Requests in the engine's batch.
    uint32_t m_waiting = 0; ///< Requests in the engine's queue.
    uint64_t m_prefillBacklogTokens = 0;
    uint64_t m_memoryUsed = 0;
    uint64_t m_memoryTotal = 0;
    TimePoint m_at; ///< Time of the measurement on the receiver's clock.
};

/// One endpoint as seen by a VM.
struct EndpointView {
    EndpointId m_id;
    bool m_draining = false;
    EndpointHealth m_health;
    ReportedLoad m_reported;
    uint32_t m_ownInFlight = 0; ///< Requests in flight that this VM sent.
};

/// Indexes of the endpoints in @p views that may take a new request: not draining, not in
/// @p excluded (attempted before) and not ejected. If all the others are ejected, returns the
/// ejected ones, since an attempt there may still succeed.
std::vector<size_t> usableEndpoints(std::span<const EndpointView> views,
                                    std::span<const EndpointId> excluded, TimePoint now);

struct RoundRobinState {
    uint64_t m_next = 0; ///< Number of choices made.
};

/// The next usable endpoint in turn. Like the other choose functions, returns an index into @p
/// views, or nothing if no endpoint is usable.
std::optional<size_t> chooseRoundRobin(RoundRobinState &state, std::span<const EndpointView> views,
                                       std::span<const EndpointId> excluded, TimePoint now);

/// The endpoint with the least reported load: prefill backlog, then requests (running, waiting and
/// this VM's own in flight). Ties are broken by @p random.
std::optional<size_t> chooseLeastReported(std::span<const EndpointView> views,
                                          std::span<const EndpointId> excluded, TimePoint now,
                                          RandomEngine &random);

/// Power of two choices: the one with less reported load of two random endpoints. Used while the
/// steward is unreachable.
std::optional<size_t> choosePowerOfTwo(std::span<const EndpointView> views,
                                       std::span<const EndpointId> excluded, TimePoint now,
                                       RandomEngine &random);

/// One endpoint as seen by its steward. The pointers are never null.
struct StewardCandidate {
    const EndpointLedger *m_ledger = nullptr;
    const CostModel *m_cost = nullptr;
    const PrefixIndex *m_prefixes = nullptr;
    bool m_usable = true; ///< Not draining, excluded, ejected, paused or reserved.
    bool m_acceptsLong = true; ///< Member of the model's set of engines for long prompts.
};

/// What a request needs from an endpoint.
struct RequestNeed {
    uint64_t m_promptTokens = 0;
    uint64_t m_outputTokens = 0; ///< Upper limit.
    PrefixBlocks m_prefix;

    MSGPACK_DEFINE(m_promptTokens, m_outputTokens, m_prefix)
};

/// Parameters of chooseBySteward().
struct StewardWeights {
    /// Endpoints whose cost exceeds the lowest one by at most this fraction plus the slack count as
    /// equal; prefix affinity decides between them.
    double m_affinityTolerance = 0.1;
    Millis m_affinitySlack{ 2 };
    /// Bounded load: endpoints with more than this times the mean number of grants lose the
    /// preference by affinity.
    double m_loadBound = 1.25;
    /// Weight of the delay that a chunked prefill causes to requests already in prefill on the
    /// endpoint. 0: only the request's own time to first token counts.
    double m_interferenceWeight = 1.0;
    /// Longest time that a chunk of a long prefill may delay a short request. Zero: no chunked
    /// prefill.
    Millis m_chunkBound{ 100 };
};

/// The parameters for a model with this objective.
StewardWeights stewardWeights(RoutingObjective objective);

/// Whether a prefill that takes this time is split into chunks.
bool usesChunkedPrefill(const StewardWeights &weights, Duration prefill);

/// The chosen endpoint and the predictions for the request there.
struct StewardChoice {
    size_t m_index = 0; ///< Into the candidates.
    uint64_t m_cachedTokens = 0;
    uint64_t m_uncachedTokens = 0;
    Duration m_predictedPrefill{};
    Duration m_predictedTtft{};
    Duration m_chunkTime{}; ///< Longest time of one chunk; zero: unchunked.
    uint64_t m_chunkTokens = 0; ///< Most tokens of one chunk; 0: unchunked.
};

/// Chooses the endpoint with the lowest cost (predicted time to first token plus the delay caused
/// to others), with the tolerances of @p weights for prefix affinity. If the request fits on no
/// endpoint now, returns the reason: TooLong only if it is too long for each of them.
tl::expected<StewardChoice, LedgerRefusal>
chooseBySteward(std::span<const StewardCandidate> candidates, const RequestNeed &need,
                TimePoint now, const StewardWeights &weights);

} // namespace stackquay
