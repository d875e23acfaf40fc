#include "policy/gang_plan.h"

#include <algorithm>
#include <cmath>

namespace stackquay {

namespace {

uint32_t attemptsAt(const EndpointUses &uses, const EndpointId &endpoint)
{
    const auto found = uses.find(endpoint);
    return found == uses.end() ? 0 : found->second.m_attempts;
}

/// Index of the engine that answers: the one that lacks the least memory for @p tokens, then the
/// one with the lowest cost. @p engines is not empty.
size_t chooseAnswerer(const std::vector<EngineCandidate> &engines, double tokens)
{
    const auto lacking = [tokens](const EngineCandidate &engine) {
        return std::max(0.0, tokens - engine.m_freeTokens);
    };
    size_t best = 0;
    for (size_t i = 1; i < engines.size(); ++i) {
        const double mine = lacking(engines[i]);
        const double its = lacking(engines[best]);
        if (mine < its || (mine == its && engines[i].m_answerCost < engines[best].m_answerCost))
            best = i;
    }
    return best;
}

/// Reserves @p rest tokens that the first engine cannot hold on the helpers, those with the most
/// free memory first. Returns false if they do not fit.
bool reserveRemainder(GangPlan &plan, const std::vector<EngineCandidate> &engines, double rest)
{
    std::vector<GangMember *> helpers;
    for (size_t i = 1; i < plan.m_members.size(); ++i)
        helpers.push_back(&plan.m_members[i]);
    const auto freeOf = [&engines](const GangMember *member) {
        for (const EngineCandidate &engine : engines) {
            if (engine.m_endpoint->m_id == member->m_endpoint.m_id)
                return engine.m_freeTokens;
        }
        return 0.0;
    };
    std::stable_sort(helpers.begin(), helpers.end(), [&](const auto *left, const auto *right) {
        return freeOf(left) > freeOf(right);
    });
    for (GangMember *helper : helpers) {
        if (rest <= 0)
            break;
        const double taken = std::min(rest, std::floor(freeOf(helper)));
        if (taken < 1)
            continue;
        helper->m_tokens = static_cast<uint64_t>(std::ceil(taken));
        helper->m_reserve = true;
        rest -= taken;
    }
    return rest <= 0;
}

GangPlan planOf(const EngineCosts &costs, const PrefillGroup &group, const LongPrompt &prompt,
                const GangQuery &query)
{
    GangPlan plan;
    for (const EngineCandidate &engine : group.m_engines)
        plan.m_members.push_back({ *engine.m_endpoint, group.m_partTime.count(), 0, false });
    plan.m_members[0].m_tokens = static_cast<uint64_t>(prompt.m_tokens);
    plan.m_firstEvent = group.m_firstEvent;
    plan.m_completion =
        group.m_firstEvent + predictDecoding(costs, group.m_engines.front(), query.m_answerTokens);
    plan.m_disruptedStreams = group.m_disruptedStreams;
    return plan;
}

LongPrompt promptOf(const GangSettings &settings, const EngineCosts &costs, const GangQuery &query)
{
    const double tokens = query.m_promptTokens + query.m_answerTokens;
    return { tokens, prefillDuration(costs, query.m_promptTokens),
             tokens > usableTokens(settings.m_candidates, costs) };
}

/// The engines of @p endpoints that prefill the prompt of a strict stream; no value if there is
/// none.
std::optional<PrefillGroup> strictPrefillGroup(const GangSettings &settings,
                                               const EngineCosts &costs,
                                               const std::vector<EndpointRecord> &endpoints,
                                               const EndpointUses &uses, const GangQuery &query,
                                               const LongPrompt &prompt)
{
    PrefillGroup group;
    std::vector<EngineCandidate> &engines = group.m_engines;
    engines =
        engineCandidates(settings.m_candidates, costs, endpoints, uses, query.m_candidateQuery);
    if (engines.empty())
        return std::nullopt;
    std::swap(engines[0], engines[chooseAnswerer(engines, prompt.m_tokens)]);
    std::stable_sort(engines.begin() + 1, engines.end(), hasLowerPrefillCost);
    const size_t width = maxPrefillEngines(settings.m_prefillGroup, engines.size(),
                                           prompt.m_prefill, settings.m_maxStrictPart);
    engines.resize(width);
    group.m_partTime = prompt.m_prefill / static_cast<double>(width);
    group.m_firstEvent = predictFirstEvent(costs, engines, width, group.m_partTime);
    return group;
}

/// Tries the strict streams' own side first; then the other engines, if that takes too long and
/// they are faster. Their streams' gap limits keep further long parts away from there.
std::optional<GangPlan> planStrict(const GangSettings &settings, const EngineCosts &costs,
                                   const GangSides &sides, const EndpointUses &uses,
                                   const GangQuery &query)
{
    const LongPrompt prompt = promptOf(settings, costs, query);
    const auto groupOf = [&](const std::vector<EndpointRecord> &endpoints) {
        return strictPrefillGroup(settings, costs, endpoints, uses, query, prompt);
    };
    auto group = groupOf(sides.m_own);
    if (!group || group->m_firstEvent > query.m_expectedFirstEvent) {
        auto other = groupOf(sides.m_other);
        if (other && (!group || other->m_firstEvent < group->m_firstEvent))
            group = std::move(other);
    }
    if (!group)
        return std::nullopt;
    return planOf(costs, *group, prompt, query);
}

/// Tries the long prompts' own side first, with one engine of the other side to answer if the
/// prompt is small enough; then all engines, if that takes too long.
std::optional<PrefillGroup> longPrefillGroup(const GangSettings &settings, const EngineCosts &costs,
                                             const GangSides &sides, const EndpointUses &uses,
                                             const GangQuery &query, const LongPrompt &prompt)
{
    const auto byCost = [&](const std::vector<EndpointRecord> &endpoints) {
        auto candidates =
            engineCandidates(settings.m_candidates, costs, endpoints, uses, query.m_candidateQuery);
        std::stable_sort(candidates.begin(), candidates.end(), hasLowerPrefillCost);
        return candidates;
    };
    const std::vector<EngineCandidate> own = byCost(sides.m_own);
    const std::vector<EngineCandidate> others = byCost(sides.m_other);
    const bool guestAnswers =
        prompt.m_tokens <= settings.m_guestAnswerShare * static_cast<double>(costs.m_memoryTokens);
    std::vector<EngineCandidate> engines = own;
    if (guestAnswers && !others.empty()) {
        engines.push_back(others[chooseAnswerer(others, prompt.m_tokens)]);
        // Preferred over engines with equal headroom, as its passes are short. Other costs are not
        // negative.
        engines.back().m_answerCost = -1;
        std::stable_sort(engines.begin(), engines.end(), hasLowerPrefillCost);
    }
    const auto soonest = [&](const std::vector<EngineCandidate> &candidates) {
        return fastestPrefillGroup(settings.m_prefillGroup, costs, candidates, prompt,
                                   query.m_disruption);
    };
    auto group = soonest(engines);
    if (group && group->m_firstEvent <= query.m_expectedFirstEvent)
        return group;
    engines = own;
    engines.insert(engines.end(), others.begin(), others.end());
    return soonest(engines);
}

} // namespace

std::optional<GangPlan> planGang(const GangSettings &settings, const EngineCosts &costs,
                                 const GangSides &sides, const EndpointUses &uses,
                                 const GangQuery &query)
{
    if (query.strict())
        return planStrict(settings, costs, sides, uses, query);
    const LongPrompt prompt = promptOf(settings, costs, query);
    const auto group = longPrefillGroup(settings, costs, sides, uses, query, prompt);
    if (!group)
        return std::nullopt;
    GangPlan plan = planOf(costs, *group, prompt, query);
    if (!prompt.m_needsSeveralEngines)
        return plan;
    const double answer = query.m_answerTokens;
    const double held = std::min(group->m_engines[0].m_freeTokens, prompt.m_tokens);
    const double kept = std::max(held - answer, 0.0);
    plan.m_members[0].m_tokens = static_cast<uint64_t>(kept + answer);
    if (!reserveRemainder(plan, group->m_engines, query.m_promptTokens - kept))
        return std::nullopt;
    return plan;
}

const EndpointRecord *leastLoaded(const std::vector<EndpointRecord> &candidates,
                                  const EndpointUses &uses, const DataCentreId &dataCentre)
{
    const EndpointRecord *best = nullptr;
    double bestCost = 0;
    constexpr double RemoteLoadShare = 0.01; // Decides only between equal loads.
    for (const EndpointRecord &endpoint : candidates) {
        const double load =
            static_cast<double>(attemptsAt(uses, endpoint.m_id)) / std::max(endpoint.m_slots, 1u);
        const double cost = load + (endpoint.m_dataCentre == dataCentre ? 0 : RemoteLoadShare);
        if (!best || cost < bestCost) {
            best = &endpoint;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace stackquay
