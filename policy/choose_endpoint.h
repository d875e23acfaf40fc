/// Which endpoint a request goes to: named policies as free functions over plain structs.
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

/// How a node chooses. The first two are baselines: each node on its own.
enum class RoutingPolicy {
    RoundRobin,
    LeastReported, ///< The least load that the engines report, with a lag.
    Steward, ///< Grants by the endpoint's steward, which knows all that is in flight.
};

Result<RoutingPolicy> parseRoutingPolicy(std::string_view name);
std::string_view routingPolicyName(RoutingPolicy policy);

/// Passive health: what a node saw of its own requests to one endpoint.
struct EndpointHealth {
    uint32_t m_failures = 0; ///< In a row.
    uint32_t m_ejections = 0; ///< In a row, without a success between.
    TimePoint m_ejectedUntil;
};

struct EjectionSettings {
    uint32_t m_failures = 3; ///< In a row before an ejection.
    Millis m_base{ 2'000 }; ///< Doubled for each further ejection.
    Millis m_max{ 60'000 };
};

void noteSuccess(EndpointHealth &health);
/// Counts a failure that the endpoint is to blame for. Returns whether it is ejected now.
bool noteFailure(EndpointHealth &health, TimePoint now, const EjectionSettings &settings = {});
/// Leaves the endpoint out, for longer each time without a success between.
void eject(EndpointHealth &health, TimePoint now, const EjectionSettings &settings);
/// Whether it was ejected since its last success, and is tried again.
bool isOnTrial(const EndpointHealth &health, TimePoint now);
bool isEjected(const EndpointHealth &health, TimePoint now);

/// Load as the engine reported it last.
struct ReportedLoad {
    uint32_t m_running = 0;
    uint32_t m_waiting = 0;
    uint64_t m_prefillBacklogTokens = 0;
    uint64_t m_memoryUsed = 0;
    uint64_t m_memoryTotal = 0;
    TimePoint m_at; ///< When the load was so, by the receiver's clock.
};

/// One endpoint as a node sees it.
struct EndpointView {
    EndpointId m_id;
    bool m_draining = false;
    EndpointHealth m_health;
    ReportedLoad m_reported;
    uint32_t m_ownInFlight = 0; ///< Of this node alone.
};

/// Endpoints that may take a new request: neither draining, nor excluded (tried already), nor
/// ejected. If all others are ejected they count again, as a guess is better than no service.
std::vector<size_t> usableEndpoints(std::span<const EndpointView> views,
                                    std::span<const EndpointId> excluded, TimePoint now);

struct RoundRobinState {
    uint64_t m_next = 0;
};

/// Index into @p views, or nothing if none is usable.
std::optional<size_t> chooseRoundRobin(RoundRobinState &state, std::span<const EndpointView> views,
                                       std::span<const EndpointId> excluded, TimePoint now);

/// The least reported load (backlog, then running and waiting); ties are broken by @p random.
std::optional<size_t> chooseLeastReported(std::span<const EndpointView> views,
                                          std::span<const EndpointId> excluded, TimePoint now,
                                          RandomEngine &random);

/// The better of two random endpoints by reported load: used while a steward cannot be reached.
std::optional<size_t> chooseBetterOfTwo(std::span<const EndpointView> views,
                                        std::span<const EndpointId> excluded, TimePoint now,
                                        RandomEngine &random);

/// One endpoint as its steward knows it. The pointers are never null.
struct StewardCandidate {
    const EndpointLedger *m_ledger = nullptr;
    const CostModel *m_cost = nullptr;
    const PrefixIndex *m_prefixes = nullptr;
    bool m_usable = true; ///< Neither draining, nor excluded, nor ejected.
    bool m_acceptsLong = true; ///< In the model's set of engines for long prompts.
};

/// What a request asks of an endpoint.
struct RequestNeed {
    uint64_t m_promptTokens = 0;
    uint64_t m_outputTokens = 0; ///< At most.
    PrefixBlocks m_prefix;

    MSGPACK_DEFINE(m_promptTokens, m_outputTokens, m_prefix)
};

struct StewardWeights {
    /// Endpoints within this of the best predicted time count as equal, and affinity decides.
    double m_affinityTolerance = 0.1;
    Millis m_affinitySlack{ 2 };
    /// An endpoint with more than this times the mean of grants in flight is not preferred.
    double m_loadBound = 1.25;
    /// What a long prefill's time counts beside short ones in flight on the endpoint, and the
    /// other way round: 0 looks at the own time to first token only.
    double m_interference = 1.0;
    /// How long a chunk of a long prefill may hold up a short request; zero: no chunks.
    Millis m_chunkBound{ 100 };
};

StewardWeights stewardWeights(RoutingObjective objective);

/// Whether a prefill of this time goes in chunks.
bool goesInChunks(const StewardWeights &weights, Duration prefill);

/// A choice, or the reason why none fits.
struct StewardChoice {
    size_t m_index = 0;
    uint64_t m_cachedTokens = 0;
    uint64_t m_uncachedTokens = 0;
    Duration m_predictedPrefill{};
    Duration m_predictedTtft{};
    Duration m_chunkTime{}; ///< As Grant::m_chunkTime.
    uint64_t m_chunkTokens = 0; ///< Prefill at most this many at a time; 0: all at once.
};

tl::expected<StewardChoice, LedgerRefusal>
chooseBySteward(std::span<const StewardCandidate> candidates, const RequestNeed &need,
                TimePoint now, const StewardWeights &weights);

} // namespace stackquay
