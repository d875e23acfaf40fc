#include "pool_loads.h"

namespace stackquay {

EngineCosts declaredCosts(uint32_t slots, uint32_t stride)
{
    EngineCosts costs;
    costs.m_slots = slots;
    costs.m_memoryTokens = 232'000;
    costs.m_stride = stride;
    costs.m_step = FloatMillis(1.02);
    costs.m_stepPerSequence = FloatMillis(0.00226);
    costs.m_stepPerThousandContext = FloatMillis(0.00431);
    costs.m_prefillTokensPerSecond = 206'000;
    costs.m_perMillionPairs = FloatMillis(0.138);
    costs.m_usualAnswerTokens = 1'300;
    return costs;
}

namespace {

EngineCosts slowPrefillCosts(uint32_t slots, uint32_t stride)
{
    EngineCosts costs = declaredCosts(slots, stride);
    costs.m_memoryTokens = 405'000;
    costs.m_step = FloatMillis(1.31);
    costs.m_stepPerSequence = FloatMillis(0.000917);
    costs.m_stepPerThousandContext = FloatMillis(0.00213);
    costs.m_prefillTokensPerSecond = 154'000;
    costs.m_perMillionPairs = FloatMillis(0.162);
    return costs;
}

EngineCosts fastPrefillCosts(uint32_t slots, uint32_t stride)
{
    EngineCosts costs = declaredCosts(slots, stride);
    costs.m_memoryTokens = 382'500;
    costs.m_step = FloatMillis(0.925);
    costs.m_stepPerSequence = FloatMillis(0.00483);
    costs.m_stepPerThousandContext = FloatMillis(0.00254);
    costs.m_prefillTokensPerSecond = 256'000;
    costs.m_perMillionPairs = FloatMillis(0.0917);
    costs.m_usualAnswerTokens = 1'600;
    return costs;
}

PromptKind shortKind(double perSecond, double events)
{
    return { 4'960, 0.9, 23'800, Millis(2'000), 250, Millis(10'000), events, perSecond };
}

PromptKind middleKind(double perSecond, double events)
{
    return { 45'000, 0.5, 110'000, Millis(6'000), 600, Millis(10'000), events, perSecond };
}

PromptKind longKind(double tokens, double mostTokens, Millis patience, double perSecond,
                    double events)
{
    return { tokens, 0.55, mostTokens, patience, 1'000, Millis(15'000), events, perSecond };
}

NamedLoad loadOf(std::string name, size_t engines, const EngineCosts &costs,
                 std::vector<PromptKind> kinds)
{
    NamedLoad named{ std::move(name), {} };
    named.m_load.m_engines = engines;
    named.m_load.m_costs = costs;
    named.m_load.m_kinds = std::move(kinds);
    named.m_load.m_length = Seconds(60);
    named.m_load.m_phase = Seconds(10);
    named.m_load.m_phases = { { 0.35, 1.3, 2.8 }, { 2.4, 0.5, 0.05 } };
    return named;
}

NamedLoad shiftedLoad()
{
    NamedLoad shifted = loadOf("60 engines, longest prompts", 60, fastPrefillCosts(12, 52),
                               { shortKind(84, 33), middleKind(13.4, 20),
                                 longKind(300'000, 1'000'000, Millis(16'000), 2.3, 16.5) });
    std::vector<PromptKind> &kinds = shifted.m_load.m_kinds;
    kinds[0].m_gapLimitMs = 200;
    kinds[1].m_gapLimitMs = 500;
    kinds[2].m_gapLimitMs = 800;
    return shifted;
}

} // namespace

std::vector<NamedLoad> declaredLoads()
{
    return {
        loadOf("18 engines", 18, declaredCosts(16, 43),
               { shortKind(38.3, 31.6), middleKind(2.09, 19),
                 longKind(133'000, 600'000, Millis(10'000), 1.76, 15.8) }),
        loadOf("18 slow readers", 18, slowPrefillCosts(16, 34),
               { shortKind(36, 38.5), middleKind(2.01, 23.1),
                 longKind(182'000, 900'000, Millis(12'000), 0.935, 19.2) }),
        loadOf("60 engines", 60, declaredCosts(12, 48),
               { shortKind(99.8, 30.7), middleKind(6.8, 18.4),
                 longKind(190'000, 600'000, Millis(12'000), 3.22, 15.3) }),
        loadOf("60 slow readers", 60, slowPrefillCosts(12, 38),
               { shortKind(95.1, 35.7), middleKind(6.68, 21.4),
                 longKind(260'000, 900'000, Millis(16'000), 1.67, 17.8) }),
        loadOf("a cell of 37 engines", 37, declaredCosts(10, 68),
               { shortKind(53, 22.6), middleKind(4.2, 13.6),
                 longKind(190'000, 600'000, Millis(12'000), 2, 11.3) }),
        shiftedLoad(),
    };
}

} // namespace stackquay
