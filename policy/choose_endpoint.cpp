#include "policy/choose_endpoint.h"

#include <algorithm>
#include <random>
#include <tuple>

#include <fmt/format.h>

#include "policy/chunking.h"

namespace stackquay {

namespace {

constexpr uint32_t MaxEjectionDoublings = 8;
/// A prefill is chunked if it takes more than this many times the bound of one chunk.
constexpr int ChunkThresholdFactor = 2;

/// Sort key by reported load; smaller is better.
auto reportedRank(const EndpointView &view)
{
    const auto &load = view.m_reported;
    return std::tuple(load.m_prefillBacklogTokens,
                      load.m_running + load.m_waiting + view.m_ownInFlight);
}

size_t pick(size_t count, RandomEngine &random)
{
    return std::uniform_int_distribution<size_t>(0, count - 1)(random);
}

bool contains(std::span<const EndpointId> ids, const EndpointId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

struct ScoredCandidate {
    StewardChoice m_choice;
    Duration m_cost{};
    uint64_t m_affinity = 0; ///< Rendezvous score; 0 for prompts without a prefix block.
    bool m_overBound = false; ///< Its number of grants exceeds the load bound.
    uint32_t m_grants = 0;
};

StewardChoice predictChoice(const StewardCandidate &candidate, const RequestNeed &need,
                            TimePoint now, const StewardWeights &weights)
{
    StewardChoice choice;
    choice.m_cachedTokens =
        std::min(cachedTokens(*candidate.m_prefixes, need.m_prefix), need.m_promptTokens);
    choice.m_uncachedTokens = need.m_promptTokens - choice.m_cachedTokens;
    const uint32_t batch = candidate.m_ledger->m_totals.m_decoding;
    choice.m_predictedPrefill = predictPrefill(
        *candidate.m_cost, { choice.m_uncachedTokens, choice.m_cachedTokens, batch });
    if (usesChunkedPrefill(weights, choice.m_predictedPrefill))
        choice.m_chunkTime = weights.m_chunkBound;
    const auto ahead =
        choice.m_chunkTime == Duration::zero()
            ? unchunkedStartDelay(*candidate.m_ledger, now)
            : chunkedPrefillDelay(*candidate.m_ledger, choice.m_predictedPrefill, now);
    choice.m_predictedTtft =
        ahead + choice.m_predictedPrefill + predictDecodeStep(*candidate.m_cost, batch + 1);
    return choice;
}

/// Delay that a chunked prefill causes to the unchunked prefills on the endpoint: one chunk each.
Duration interferenceCost(const StewardCandidate &candidate, const StewardChoice &choice,
                          const StewardWeights &weights)
{
    if (choice.m_chunkTime == Duration::zero())
        return Duration::zero();
    const auto &ledger = *candidate.m_ledger;
    const auto waiting = ledger.m_totals.m_grants - ledger.m_totals.m_decoding;
    const double factor =
        weights.m_interferenceWeight * static_cast<double>(waiting - ledger.m_chunkedGrants.size());
    return std::chrono::duration_cast<Duration>(choice.m_chunkTime * factor);
}

double meanGrants(std::span<const StewardCandidate> candidates)
{
    double grants = 0;
    double usable = 0;
    for (const auto &candidate : candidates) {
        if (!candidate.m_usable)
            continue;
        grants += candidate.m_ledger->m_totals.m_grants;
        ++usable;
    }
    return usable == 0 ? 0 : grants / usable;
}

/// The reason to report for several candidates.
LedgerRefusal combineRefusals(std::optional<LedgerRefusal> known, LedgerRefusal other)
{
    // TooLong is final, so it is reported only if it applies to every candidate. Memory depends on
    // the size of the request, so it takes precedence over reasons that apply to all requests of
    // the same kind.
    if (!known || *known == LedgerRefusal::TooLong || other == LedgerRefusal::Memory)
        return other;
    return *known;
}

/// Tokens of a chunk that stays within the chunk time even at the end of the prompt, where a token
/// costs the most.
uint64_t minChunkTokens(const StewardCandidate &candidate, const RequestNeed &need,
                        const StewardChoice &choice)
{
    const uint32_t batch = candidate.m_ledger->m_totals.m_decoding;
    return chunkTokens(*candidate.m_cost, { 0, need.m_promptTokens, batch }, choice.m_chunkTime);
}

/// Whether @p left is the better choice. Candidates that cost at most @p maxPreferred and are
/// within the load bound come first, by affinity; the others by cost.
bool isBetter(const ScoredCandidate &left, const ScoredCandidate &right, Duration maxPreferred)
{
    const bool leftPreferred = left.m_cost <= maxPreferred && !left.m_overBound;
    const bool rightPreferred = right.m_cost <= maxPreferred && !right.m_overBound;
    if (leftPreferred != rightPreferred)
        return leftPreferred;
    if (leftPreferred)
        return std::tuple(right.m_affinity, left.m_grants)
               < std::tuple(left.m_affinity, right.m_grants);
    return std::tuple(left.m_cost, left.m_grants) < std::tuple(right.m_cost, right.m_grants);
}

/// Highest cost that counts as equal to the lowest one. @p scored is not empty.
Duration maxPreferredCost(const std::vector<ScoredCandidate> &scored, const StewardWeights &weights)
{
    const auto best =
        std::min_element(scored.begin(), scored.end(), [](const auto &left, const auto &right) {
            return left.m_cost < right.m_cost;
        });
    const auto share =
        std::chrono::duration_cast<Duration>(best->m_cost * weights.m_affinityTolerance);
    return best->m_cost + share + weights.m_affinitySlack;
}

} // namespace

Result<RoutingPolicy> parseRoutingPolicy(std::string_view name)
{
    for (const auto policy :
         { RoutingPolicy::RoundRobin, RoutingPolicy::LeastReported, RoutingPolicy::Steward }) {
        if (name == routingPolicyName(policy))
            return policy;
    }
    return makeError(ErrorCode::InvalidArgument, fmt::format("unknown routing policy '{}'", name));
}

std::string_view routingPolicyName(RoutingPolicy policy)
{
    switch (policy) {
    case RoutingPolicy::RoundRobin:
        return "round-robin";
    case RoutingPolicy::LeastReported:
        return "least-reported";
    case RoutingPolicy::Steward:
        return "steward";
    }
    return "unknown";
}

void noteSuccess(EndpointHealth &health)
{
    health = {};
}

bool noteFailure(EndpointHealth &health, TimePoint now, const EjectionSettings &settings)
{
    // Attempts that began before the ejection show nothing new.
    if (isEjected(health, now))
        return false;
    ++health.m_failures;
    if (health.m_failures < settings.m_maxFailures && !isOnProbation(health, now))
        return false;
    eject(health, now, settings);
    return true;
}

void eject(EndpointHealth &health, TimePoint now, const EjectionSettings &settings)
{
    const auto doublings = std::min(health.m_ejections, MaxEjectionDoublings);
    const auto pause = std::min(settings.m_max, settings.m_base * (1 << doublings));
    health.m_failures = 0;
    ++health.m_ejections;
    health.m_ejectedUntil = now + pause;
}

bool isOnProbation(const EndpointHealth &health, TimePoint now)
{
    return health.m_ejections > 0 && !isEjected(health, now);
}

bool isEjected(const EndpointHealth &health, TimePoint now)
{
    return now < health.m_ejectedUntil;
}

std::vector<size_t> usableEndpoints(std::span<const EndpointView> views,
                                    std::span<const EndpointId> excluded, TimePoint now)
{
    std::vector<size_t> usable;
    std::vector<size_t> ejected;
    for (size_t i = 0; i < views.size(); ++i) {
        const auto &view = views[i];
        if (view.m_draining || contains(excluded, view.m_id))
            continue;
        (isEjected(view.m_health, now) ? ejected : usable).push_back(i);
    }
    return usable.empty() ? ejected : usable;
}

std::optional<size_t> chooseRoundRobin(RoundRobinState &state, std::span<const EndpointView> views,
                                       std::span<const EndpointId> excluded, TimePoint now)
{
    const auto usable = usableEndpoints(views, excluded, now);
    if (usable.empty())
        return std::nullopt;
    return usable[state.m_next++ % usable.size()];
}

std::optional<size_t> chooseLeastReported(std::span<const EndpointView> views,
                                          std::span<const EndpointId> excluded, TimePoint now,
                                          RandomEngine &random)
{
    const auto usable = usableEndpoints(views, excluded, now);
    std::optional<size_t> best;
    size_t ties = 0;
    for (const size_t i : usable) {
        if (!best || reportedRank(views[i]) < reportedRank(views[*best])) {
            best = i;
            ties = 1;
        } else if (reportedRank(views[i]) == reportedRank(views[*best])
                   && pick(++ties, random) == 0) {
            best = i;
        }
    }
    return best;
}

std::optional<size_t> choosePowerOfTwo(std::span<const EndpointView> views,
                                       std::span<const EndpointId> excluded, TimePoint now,
                                       RandomEngine &random)
{
    const auto usable = usableEndpoints(views, excluded, now);
    if (usable.empty())
        return std::nullopt;
    const size_t first = usable[pick(usable.size(), random)];
    const size_t second = usable[pick(usable.size(), random)];
    return reportedRank(views[second]) < reportedRank(views[first]) ? second : first;
}

StewardWeights stewardWeights(RoutingObjective objective)
{
    StewardWeights weights;
    if (objective == RoutingObjective::TtftByLength) {
        weights.m_interferenceWeight = 0.25;
        weights.m_chunkBound = Millis(200);
    }
    return weights;
}

bool usesChunkedPrefill(const StewardWeights &weights, Duration prefill)
{
    const Duration bound = weights.m_chunkBound;
    return bound > Duration::zero() && prefill > bound * ChunkThresholdFactor;
}

tl::expected<StewardChoice, LedgerRefusal>
chooseBySteward(std::span<const StewardCandidate> candidates, const RequestNeed &need,
                TimePoint now, const StewardWeights &weights)
{
    const uint64_t key = affinityKey(need.m_prefix);
    const double bound = meanGrants(candidates) * weights.m_loadBound + 1;
    std::optional<LedgerRefusal> refusal;
    std::vector<ScoredCandidate> scored;
    scored.reserve(candidates.size());
    for (size_t i = 0; i < candidates.size(); ++i) {
        const auto &candidate = candidates[i];
        if (!candidate.m_usable)
            continue;
        ScoredCandidate entry{ predictChoice(candidate, need, now, weights) };
        entry.m_choice.m_index = i;
        const auto misfit =
            checkFits(*candidate.m_ledger,
                      { entry.m_choice.m_uncachedTokens, need.m_promptTokens + need.m_outputTokens,
                        entry.m_choice.m_chunkTime > Duration::zero() },
                      now);
        const bool isLong = isLongPrefill(lengthClass(entry.m_choice.m_uncachedTokens));
        if (misfit || (isLong && !candidate.m_acceptsLong)) {
            const auto reason = misfit.value_or(LedgerRefusal::LongPrefill);
            if (reason != LedgerRefusal::TooLong || !refusal)
                refusal = combineRefusals(refusal, reason);
            continue;
        }
        entry.m_cost =
            entry.m_choice.m_predictedTtft + interferenceCost(candidate, entry.m_choice, weights);
        entry.m_affinity = key == 0 ? 0 : affinityScore(key, candidate.m_ledger->m_endpoint);
        entry.m_grants = candidate.m_ledger->m_totals.m_grants;
        entry.m_overBound = entry.m_grants > bound;
        scored.push_back(entry);
    }
    if (scored.empty())
        return tl::unexpected(refusal.value_or(LedgerRefusal::Slots));
    const auto maxPreferred = maxPreferredCost(scored, weights);
    const auto best =
        std::min_element(scored.begin(), scored.end(), [&](const auto &left, const auto &right) {
            return isBetter(left, right, maxPreferred);
        });
    auto choice = best->m_choice;
    if (choice.m_chunkTime > Duration::zero())
        choice.m_chunkTokens = minChunkTokens(candidates[choice.m_index], need, choice);
    return choice;
}

} // namespace stackquay
