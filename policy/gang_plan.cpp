#include "policy/gang_plan.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace stackquay {

namespace {

/// A first event waits for the pass in progress and comes with its own: one and a half on average.
constexpr double PassesToFirstEvent = 1.5;
/// Each writer costs a newcomer about this much in pauses; it spreads equal engines evenly.
constexpr double WriterCostMs = 6;
/// Added where the slots are all in use: the request would wait for one to end.
constexpr double FullCostMs = 2'000;
/// Costs are drawn apart by up to this: half a writer, so that it decides between near equals.
constexpr double DrawCostMs = 3;
/// An endpoint elsewhere costs the round trip; it decides between equals only.
constexpr double FarCostMs = 1;

/// A candidate with what is known of its load.
struct Weighed {
    const EndpointRecord *m_endpoint = nullptr;
    EndpointUse m_use;
    double m_answerCost = 0; ///< Of answering there.
    double m_partCost = 0; ///< Of reading a part there.
    double m_freeTokens = 0;
};

EndpointUse useOf(const EndpointUses &uses, const EndpointId &endpoint)
{
    const auto found = uses.find(endpoint);
    return found == uses.end() ? EndpointUse{} : found->second;
}

double usableTokens(const GangSettings &settings, const EngineCosts &costs)
{
    return static_cast<double>(costs.m_memoryTokens) * (1 - settings.m_memoryReserve);
}

Weighed weigh(const GangSettings &settings, const EngineCosts &costs,
              const EndpointRecord &endpoint, const EndpointUses &uses,
              const GangQuestion &question)
{
    Weighed weighed;
    weighed.m_endpoint = &endpoint;
    weighed.m_use = useOf(uses, endpoint.m_id);
    const EndpointUse &use = weighed.m_use;
    const double far = endpoint.m_dataCentre == question.m_dataCentre ? 0 : FarCostMs;
    const double draw = question.m_draw ? question.m_draw() * DrawCostMs : 0;
    const double full = use.m_attempts >= costs.m_slots ? FullCostMs : 0;
    weighed.m_partCost = use.m_readBacklogMs + far;
    weighed.m_answerCost = weighed.m_partCost + WriterCostMs * use.m_attempts + full + draw;
    weighed.m_freeTokens =
        std::max(0.0, usableTokens(settings, costs) - static_cast<double>(use.m_tokens));
    return weighed;
}

/// The engine that answers: one with room for as much of the prompt as any, then the cheapest.
size_t chooseFirst(const std::vector<Weighed> &engines, double tokens)
{
    const auto lacking = [tokens](const Weighed &engine) {
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

/// Puts an engine of strict streams before those of the long prompts' own side, to answer.
void addGuestAnswerer(std::vector<Weighed> &engines, const std::vector<Weighed> &others,
                      double tokens)
{
    if (!others.empty())
        engines.insert(engines.begin(), others[chooseFirst(others, tokens)]);
}

/// How many engines read a prompt together.
size_t chooseWidth(const GangSettings &settings, size_t engines, FloatMillis read, bool strict)
{
    const size_t most = std::min<size_t>(engines, settings.m_mostHelpers + 1);
    const FloatMillis part = strict ? settings.m_strictPart : settings.m_longPart;
    return std::clamp<size_t>(static_cast<size_t>(std::ceil(read / part)), 1, most);
}

/// Reserves on helpers what the first engine cannot hold, on those with most room first. False if
/// it does not fit.
bool reserveRest(GangPlan &plan, std::vector<Weighed> &engines, double rest)
{
    std::vector<GangMember *> helpers;
    for (size_t i = 1; i < plan.m_members.size(); ++i)
        helpers.push_back(&plan.m_members[i]);
    const auto freeOf = [&engines](const GangMember *member) {
        for (const Weighed &engine : engines) {
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

FloatMillis predictFirst(const EngineCosts &costs, const std::vector<Weighed> &engines,
                         size_t width, FloatMillis part)
{
    FloatMillis backlog{ 0 };
    for (size_t i = 0; i < width; ++i)
        backlog = std::max(backlog, FloatMillis(engines[i].m_use.m_readBacklogMs));
    const EndpointUse &use = engines.front().m_use;
    const FloatMillis pass = passTime(costs, use.m_writers + 1, static_cast<double>(use.m_tokens));
    return backlog + pass * PassesToFirstEvent + part;
}

std::vector<Weighed> weighAll(const GangSettings &settings, const EngineCosts &costs,
                              const std::vector<EndpointRecord> &endpoints,
                              const EndpointUses &uses, const GangQuestion &question)
{
    std::vector<Weighed> engines;
    for (const EndpointRecord &endpoint : endpoints)
        engines.push_back(weigh(settings, costs, endpoint, uses, question));
    return engines;
}

/// The one that answers first, then the others by the cost of reading a part.
void orderEngines(std::vector<Weighed> &engines, double tokens)
{
    std::swap(engines[0], engines[chooseFirst(engines, tokens)]);
    std::stable_sort(engines.begin() + 1, engines.end(), [](const auto &left, const auto &right) {
        return left.m_partCost < right.m_partCost;
    });
}

/// Adds engines of strict streams as helpers: those that read no long part, if all parts stay short
/// by it; or any, if few strict streams suffer.
void inviteGuests(const GangSettings &settings, std::vector<Weighed> &engines,
                  const std::vector<Weighed> &others, FloatMillis read, bool any)
{
    std::vector<Weighed> idle;
    uint32_t strictWriters = 0;
    for (const Weighed &engine : others) {
        strictWriters += engine.m_use.m_strictWriters;
        if (engine.m_use.m_longReadMs <= 0)
            idle.push_back(engine);
    }
    const auto partWith = [&](size_t guests) {
        const size_t width = std::min<size_t>(engines.size() + guests, settings.m_mostHelpers + 1);
        return read / static_cast<double>(width);
    };
    if (partWith(idle.size()) <= settings.m_guestPart)
        engines.insert(engines.end(), idle.begin(), idle.end());
    else if (any && strictWriters <= settings.m_mostSpoilt)
        engines.insert(engines.end(), others.begin(), others.end());
}

} // namespace

std::optional<GangPlan> planGang(const GangSettings &settings, const EngineCosts &costs,
                                 const GangSides &sides, const EndpointUses &uses,
                                 const GangQuestion &question)
{
    const bool lone = sides.m_own.empty();
    std::vector<Weighed> engines =
        weighAll(settings, costs, lone ? sides.m_other : sides.m_own, uses, question);
    if (engines.empty())
        return std::nullopt;
    const double answer = question.m_answerTokens;
    const double tokens = question.m_promptTokens + answer;
    orderEngines(engines, tokens);
    const bool guestAnswers =
        !question.strict() && !lone
        && tokens <= settings.m_guestAnswerShare * static_cast<double>(costs.m_memoryTokens);
    if (guestAnswers) {
        addGuestAnswerer(engines, weighAll(settings, costs, sides.m_other, uses, question), tokens);
    }

    const FloatMillis read = readTime(costs, question.m_promptTokens);
    const bool spans = tokens > usableTokens(settings, costs);
    size_t width = chooseWidth(settings, engines.size(), read, question.strict());
    const FloatMillis expected =
        predictFirst(costs, engines, width, read / static_cast<double>(width));
    if (!question.strict() && !lone && !guestAnswers
        && expected > question.m_aim * settings.m_guestsAfter) {
        const bool any = expected > question.m_aim * settings.m_anyAfter;
        inviteGuests(settings, engines, weighAll(settings, costs, sides.m_other, uses, question),
                     read, any);
        orderEngines(engines, tokens);
        width = chooseWidth(settings, engines.size(), read, false);
    }
    if (spans)
        width = std::min<size_t>(engines.size(), settings.m_mostHelpers + 1);
    const FloatMillis part = read / static_cast<double>(width);
    GangPlan plan;
    for (size_t i = 0; i < width; ++i)
        plan.m_members.push_back({ *engines[i].m_endpoint, part.count(), 0, false });
    plan.m_firstEvent = predictFirst(costs, engines, width, part);
    plan.m_members[0].m_tokens = static_cast<uint64_t>(tokens);
    if (!spans)
        return plan;
    const double kept = std::max(std::min(engines[0].m_freeTokens, tokens) - answer, 0.0);
    plan.m_members[0].m_tokens = static_cast<uint64_t>(kept + answer);
    if (!reserveRest(plan, engines, question.m_promptTokens - kept))
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
        const double load = static_cast<double>(useOf(uses, endpoint.m_id).m_attempts)
                            / std::max(endpoint.m_slots, 1u);
        const double cost = load + (endpoint.m_dataCentre == dataCentre ? 0 : FarShare);
        if (!best || cost < bestCost) {
            best = &endpoint;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace stackquay
