#include "policy/engine_candidate.h"

#include <algorithm>
#include <limits>

namespace stackquay {

namespace {

/// Passes from sending to the first event: half of the pass in progress on average, then a whole
/// one.
constexpr double PassesToFirstEvent = 1.5;
/// Each attempt on an engine lengthens the gaps of a new stream by about this much. The cost also
/// spreads streams evenly over equal engines.
constexpr double AttemptCostMs = 6;
/// Added if all slots are in use, as the request would have to wait for one.
constexpr double FullEngineCostMs = 2'000;
/// Upper bound of the random cost: half of AttemptCostMs, so that it decides only between engines
/// of nearly equal cost.
constexpr double MaxJitterCostMs = 3;
/// Round trip to an endpoint in another data centre; decides only between engines of equal cost.
constexpr double RemoteCostMs = 1;

EndpointUse useOf(const EndpointUses &uses, const EndpointId &endpoint)
{
    const auto found = uses.find(endpoint);
    return found == uses.end() ? EndpointUse{} : found->second;
}

EngineCandidate candidateFor(const CandidateSettings &settings, const EngineCosts &costs,
                             const EndpointRecord &endpoint, const EndpointUses &uses,
                             const CandidateQuery &query)
{
    EngineCandidate candidate;
    candidate.m_endpoint = &endpoint;
    candidate.m_use = useOf(uses, endpoint.m_id);
    const EndpointUse &use = candidate.m_use;
    const double far = endpoint.m_dataCentre == query.m_dataCentre ? 0 : RemoteCostMs;
    const double draw = query.m_drawJitter ? query.m_drawJitter() * MaxJitterCostMs : 0;
    const double full = use.m_attempts >= costs.m_slots ? FullEngineCostMs : 0;
    candidate.m_prefillCost = use.m_prefillBacklogMs + far;
    candidate.m_answerCost = candidate.m_prefillCost + AttemptCostMs * use.m_attempts + full + draw;
    candidate.m_prefillHeadroomMs = prefillHeadroomMs(settings, costs, use);
    candidate.m_freeTokens =
        std::max(0.0, usableTokens(settings, costs) - static_cast<double>(use.m_tokens));
    return candidate;
}

/// Time of a pass of @p engine with one more stream.
FloatMillis passWith(const EngineCosts &costs, const EngineCandidate &engine)
{
    return passTime(costs, engine.m_use.m_decodingStreams + 1,
                    static_cast<double>(engine.m_use.m_tokens));
}

} // namespace

double usableTokens(const CandidateSettings &settings, const EngineCosts &costs)
{
    return static_cast<double>(costs.m_memoryTokens) * (1 - settings.m_memoryReserveShare);
}

double prefillHeadroomMs(const CandidateSettings &settings, const EngineCosts &costs,
                         const EndpointUse &use)
{
    if (use.m_minGapLimitMs == 0)
        return std::numeric_limits<double>::infinity();
    const FloatMillis pass = passTime(costs, use.m_attempts, static_cast<double>(use.m_tokens));
    return settings.m_maxGapUse * use.m_minGapLimitMs - pass.count() - use.m_prefillBacklogMs;
}

FloatMillis maxPassPrefill(const CandidateSettings &settings, const EngineCosts &costs,
                           Millis gapLimit)
{
    const FloatMillis pass = fullPassTime(costs);
    return std::max(FloatMillis(gapLimit) * settings.m_maxGapUse - pass, pass);
}

std::vector<EngineCandidate> engineCandidates(const CandidateSettings &settings,
                                              const EngineCosts &costs,
                                              const std::vector<EndpointRecord> &endpoints,
                                              const EndpointUses &uses, const CandidateQuery &query)
{
    std::vector<EngineCandidate> candidates;
    candidates.reserve(endpoints.size());
    for (const EndpointRecord &endpoint : endpoints)
        candidates.push_back(candidateFor(settings, costs, endpoint, uses, query));
    return candidates;
}

bool hasLowerPrefillCost(const EngineCandidate &left, const EngineCandidate &right)
{
    return left.m_prefillCost < right.m_prefillCost;
}

FloatMillis predictFirstEvent(const EngineCosts &costs, const std::vector<EngineCandidate> &engines,
                              size_t width, FloatMillis part)
{
    FloatMillis backlog{ 0 };
    for (size_t i = 0; i < width; ++i)
        backlog = std::max(backlog, FloatMillis(engines[i].m_use.m_prefillBacklogMs));
    return backlog + passWith(costs, engines.front()) * PassesToFirstEvent + part;
}

FloatMillis predictDecoding(const EngineCosts &costs, const EngineCandidate &engine,
                            double answerTokens)
{
    return passWith(costs, engine) * (answerTokens / costs.m_stride);
}

} // namespace stackquay
