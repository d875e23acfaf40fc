/// Checks what refused callers experience (docs/design/admission.md, targets) on simulated loads.
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "caller_outcomes.h"
#include "pool_loads.h"

namespace stackquay {
namespace {

constexpr Millis MaxMedianWait{ 50 };
constexpr double MaxLateRefusals = 0.05;
constexpr double MaxNeedlessRefusals = 0.02;
constexpr uint64_t Seeds = 3;

/// The second deployment.
PoolLoad secondDeployment()
{
    PoolLoad load;
    load.m_costs = declaredCosts(12, 48);
    load.m_costs.m_memoryTokens = 197'200;
    load.m_costs.m_usualAnswerTokens = 1'409;
    load.m_engines = 54;
    load.m_kinds = { { 4'960, 0.9, 23'800, Millis(2'000), 250, Millis(10'000), 30.7, 79 },
                     { 45'000, 0.5, 110'000, Millis(6'000), 600, Millis(10'000), 18.4, 5.39 },
                     { 190'000, 0.55, 600'000, Millis(12'000), 1'000, Millis(15'000), 15.3,
                       3.32 } };
    load.m_length = Seconds(60);
    load.m_phase = Seconds(60);
    load.m_phases = { { 0.35, 1.3, 2.8 } };
    load.m_maxReturns = 1;
    return load;
}

/// The same with a change of phase each 10 s.
PoolLoad turningPhases()
{
    PoolLoad load = secondDeployment();
    load.m_phase = Seconds(10);
    load.m_phases = { { 0.35, 1.3, 2.8 }, { 2.4, 0.5, 0.05 } };
    return load;
}

/// The same with a third of the engines missing in the second half.
PoolLoad missingEngines()
{
    PoolLoad load = turningPhases();
    load.m_missingEngines = load.m_engines / 3;
    return load;
}

struct Refusals {
    std::vector<double> m_waitsMs;
    size_t m_late = 0;
    size_t m_first = 0; ///< First refusals of a request.
    size_t m_needless = 0; ///< See needlessRefusals().
};

bool isStrictKind(const PromptKind &kind)
{
    return isStrictGap(kind.m_gapLimitMs);
}

Refusals refusalsOf(const char *name, const PoolLoad &load)
{
    Refusals all;
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        const PoolRun run = simulatePool(load, seed);
        for (const PromptOutcome &outcome : run.m_outcomes) {
            const PromptKind &kind = load.m_kinds[outcome.m_kind];
            if (isStrictKind(kind))
                continue;
            all.m_first += !outcome.m_refusals.empty();
            for (const Duration wait : outcome.m_refusals) {
                all.m_waitsMs.push_back(FloatMillis(wait).count());
                // Late, as an idle pool would have begun the answer by then.
                all.m_late += wait > idleFirstEvent(load, kind, outcome.m_tokens);
            }
        }
        all.m_needless += needlessRefusals(load, run);
    }
    std::sort(all.m_waitsMs.begin(), all.m_waitsMs.end());
    fmt::print(
        "refusals: {} seeds=1..{} refusals={} median_ms={:.0f} late={} first={} needless={}\n",
        name, Seeds, all.m_waitsMs.size(),
        all.m_waitsMs.empty() ? 0 : all.m_waitsMs[all.m_waitsMs.size() / 2], all.m_late,
        all.m_first, all.m_needless);
    return all;
}

struct OverloadCase {
    const char *m_name;
    PoolLoad (*m_load)();
};

/// A constant overload of long prompts, phases that turn, and engines that end.
class ForecastLoadTest : public testing::TestWithParam<OverloadCase>
{
protected:
    /// Each load is played once for all tests of this process.
    static const Refusals &refusals()
    {
        static std::map<std::string, Refusals> played;
        const std::string name = GetParam().m_name;
        if (played.count(name) == 0)
            played[name] = refusalsOf(GetParam().m_name, GetParam().m_load());
        return played[name];
    }
};

// Guards against requests that wait in the queue only to be refused.
TEST_P(ForecastLoadTest, TheMedianRefusalComesAtOnce)
{
    const std::vector<double> &waits = refusals().m_waitsMs;
    ASSERT_GT(waits.size(), 20u) << "the load does not overload the pool";
    EXPECT_LT(waits[waits.size() / 2], MaxMedianWait.count());
}

// Guards against forecasts that admit what is refused after a long wait.
TEST_P(ForecastLoadTest, FewRefusalsComeLate)
{
    const Refusals &seen = refusals();
    EXPECT_LT(static_cast<double>(seen.m_late),
              MaxLateRefusals * static_cast<double>(seen.m_waitsMs.size()));
}

// Guards against refusals of what could be served before its caller leaves.
TEST_P(ForecastLoadTest, FewRefusalsAreNeedless)
{
    const Refusals &seen = refusals();
    EXPECT_LT(static_cast<double>(seen.m_needless),
              MaxNeedlessRefusals * static_cast<double>(seen.m_first));
}

INSTANTIATE_TEST_SUITE_P(Overload, ForecastLoadTest,
                         testing::Values(OverloadCase{ "Constant", secondDeployment },
                                         OverloadCase{ "TurningPhases", turningPhases },
                                         OverloadCase{ "MissingEngines", missingEngines }),
                         [](const auto &info) { return std::string(info.param.m_name); });

} // namespace
} // namespace stackquay
