#include "policy/engine_costs.h"

namespace stackquay {

FloatMillis prefillDuration(const EngineCosts &costs, double tokens)
{
    constexpr double Million = 1e6;
    const double pairs = tokens * tokens / 2;
    return FloatMillis(tokens / costs.m_prefillTokensPerSecond * 1000)
           + costs.m_perMillionPairs * (pairs / Million);
}

FloatMillis passTime(const EngineCosts &costs, uint32_t streams, double contextTokens)
{
    constexpr double Thousand = 1e3;
    const FloatMillis step = costs.m_step + costs.m_stepPerSequence * streams
                             + costs.m_stepPerThousandContext * (contextTokens / Thousand);
    return step * costs.m_stride;
}

FloatMillis decodeDuration(const EngineCosts &costs, double answerTokens)
{
    const double context = static_cast<double>(costs.m_memoryTokens) / 2;
    return passTime(costs, costs.m_slots, context) * (answerTokens / costs.m_stride);
}

FloatMillis fullPassTime(const EngineCosts &costs)
{
    return passTime(costs, costs.m_slots, static_cast<double>(costs.m_memoryTokens));
}

FloatMillis streamTime(const EngineCosts &costs)
{
    return costs.m_step * static_cast<double>(costs.m_usualAnswerTokens);
}

FloatMillis startDelay(const EngineCosts &costs)
{
    constexpr double Passes = 1.5; // Half of the pass in progress, on average.
    return fullPassTime(costs) * Passes;
}

} // namespace stackquay
