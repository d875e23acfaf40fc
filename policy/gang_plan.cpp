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

/// The engine that answers a strict stream: one with memory for as much of the prompt as any, then
/// the cheapest.
size_t chooseFirst(const std::vector<EngineRoom> &engines, double tokens)
{
    const auto lacking = [tokens](const EngineRoom &engine) {
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

/// Reserves on helpers what the first engine cannot hold, on those with most room first. False if
/// it does not fit.
bool reserveRest(GangPlan &plan, const std::vector<EngineRoom> &engines, double rest)
{
    std::vector<GangMember *> helpers;
    for (size_t i = 1; i < plan.m_members.size(); ++i)
        helpers.push_back(&plan.m_members[i]);
    const auto freeOf = [&engines](const GangMember *member) {
        for (const EngineRoom &engine : engines) {
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

GangPlan planOf(const Readers &readers, const LongPrompt &prompt)
{
    GangPlan plan;
    for (const EngineRoom &engine : readers.m_engines)
        plan.m_members.push_back({ *engine.m_endpoint, readers.m_part.count(), 0, false });
    plan.m_members[0].m_tokens = static_cast<uint64_t>(prompt.m_tokens);
    plan.m_firstEvent = readers.m_firstEvent;
    plan.m_spoilt = readers.m_spoilt;
    return plan;
}

LongPrompt promptOf(const GangSettings &settings, const EngineCosts &costs,
                    const GangQuestion &question)
{
    const double tokens = question.m_promptTokens + question.m_answerTokens;
    return { tokens, readTime(costs, question.m_promptTokens),
             tokens > usableTokens(settings.m_room, costs) };
}

std::optional<GangPlan> planStrict(const GangSettings &settings, const EngineCosts &costs,
                                   const GangSides &sides, const EndpointUses &uses,
                                   const GangQuestion &question)
{
    Readers readers;
    std::vector<EngineRoom> &engines = readers.m_engines;
    engines = roomsOf(settings.m_room, costs, sides.m_own.empty() ? sides.m_other : sides.m_own,
                      uses, question.m_rooms);
    if (engines.empty())
        return std::nullopt;
    const LongPrompt prompt = promptOf(settings, costs, question);
    std::swap(engines[0], engines[chooseFirst(engines, prompt.m_tokens)]);
    std::stable_sort(engines.begin() + 1, engines.end(), readsCheaper);
    const size_t width =
        mostReaders(settings.m_readers, engines.size(), prompt.m_read, settings.m_strictPart);
    engines.resize(width);
    readers.m_part = prompt.m_read / static_cast<double>(width);
    readers.m_firstEvent = predictFirst(costs, engines, width, readers.m_part);
    return planOf(readers, prompt);
}

/// First the long prompts' own side, with one engine of the others to answer middle prompts; then
/// all, if that takes too long.
std::optional<Readers> longReaders(const GangSettings &settings, const EngineCosts &costs,
                                   const GangSides &sides, const EndpointUses &uses,
                                   const GangQuestion &question, const LongPrompt &prompt)
{
    const auto byCost = [&](const std::vector<EndpointRecord> &endpoints) {
        auto rooms = roomsOf(settings.m_room, costs, endpoints, uses, question.m_rooms);
        std::stable_sort(rooms.begin(), rooms.end(), readsCheaper);
        return rooms;
    };
    const std::vector<EngineRoom> own = byCost(sides.m_own);
    const std::vector<EngineRoom> others = byCost(sides.m_other);
    const bool guestAnswers =
        prompt.m_tokens <= settings.m_guestAnswerShare * static_cast<double>(costs.m_memoryTokens);
    std::vector<EngineRoom> engines = own;
    if (guestAnswers && !others.empty()) {
        engines.push_back(others[chooseFirst(others, prompt.m_tokens)]);
        // Before others with as much room, as its passes are short; their costs are not negative.
        engines.back().m_answerCost = -1;
        std::stable_sort(engines.begin(), engines.end(), readsCheaper);
    }
    const auto soonest = [&](const std::vector<EngineRoom> &candidates) {
        return soonestReaders(settings.m_readers, costs, candidates, prompt, question.m_care);
    };
    auto readers = soonest(engines);
    if (readers && readers->m_firstEvent <= question.m_within * settings.m_ownSideShare)
        return readers;
    engines = own;
    engines.insert(engines.end(), others.begin(), others.end());
    return soonest(engines);
}

} // namespace

std::optional<GangPlan> planGang(const GangSettings &settings, const EngineCosts &costs,
                                 const GangSides &sides, const EndpointUses &uses,
                                 const GangQuestion &question)
{
    if (question.strict())
        return planStrict(settings, costs, sides, uses, question);
    const LongPrompt prompt = promptOf(settings, costs, question);
    const auto readers = longReaders(settings, costs, sides, uses, question, prompt);
    if (!readers)
        return std::nullopt;
    GangPlan plan = planOf(*readers, prompt);
    if (!prompt.m_spans)
        return plan;
    const double answer = question.m_answerTokens;
    const double held = std::min(readers->m_engines[0].m_freeTokens, prompt.m_tokens);
    const double kept = std::max(held - answer, 0.0);
    plan.m_members[0].m_tokens = static_cast<uint64_t>(kept + answer);
    if (!reserveRest(plan, readers->m_engines, question.m_promptTokens - kept))
        return std::nullopt;
    return plan;
}

const EndpointRecord *leastLoaded(const std::vector<EndpointRecord> &candidates,
                                  const EndpointUses &uses, const DataCentreId &dataCentre)
{
    const EndpointRecord *best = nullptr;
    double bestCost = 0;
    constexpr double FarShare = 0.01; // Decides between equals only.
    for (const EndpointRecord &endpoint : candidates) {
        const double load =
            static_cast<double>(attemptsAt(uses, endpoint.m_id)) / std::max(endpoint.m_slots, 1u);
        const double cost = load + (endpoint.m_dataCentre == dataCentre ? 0 : FarShare);
        if (!best || cost < bestCost) {
            best = &endpoint;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace stackquay
