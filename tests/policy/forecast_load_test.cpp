/// Checks the targets of the forecast (docs/design/admission.md, part B) on simulated loads.
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "pool_loads.h"

namespace stackquay {
namespace {

constexpr Millis MaxMedianWait{ 50 };
/// A refusal is late if it comes after more than this fraction of the latency target.
constexpr double LateShare = 1.0 / 8;
constexpr double MaxLateRefusals = 0.05;
constexpr double MaxWrongRefusals = 0.02;
constexpr uint64_t Seeds = 3;

/// The second deployment.
PoolLoad secondDeployment()
{
    PoolLoad load;
    load.m_costs = declaredCosts(12, 48);
    load.m_costs.m_memoryTokens = 197'200;
    load.m_costs.m_usualAnswerTokens = 1'409;
    load.m_engines = 54;
    load.m_kinds = {
        { 4'960, 0.9, 23'800, Millis(300), 250, Millis(10'000), 30.7, 79, 1.3, 0.33 },
        { 45'000, 0.5, 110'000, Millis(1'500), 600, Millis(10'000), 18.4, 5.39, 3.3, 0.83 },
        { 190'000, 0.55, 600'000, Millis(3'000), 1'000, Millis(15'000), 15.3, 3.32, 20, 5.1 }
    };
    load.m_length = Seconds(60);
    load.m_phase = Seconds(60);
    load.m_phases = { { 0.35, 1.3, 2.8 } };
    load.m_forecastsTurns = true;
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
    size_t m_wrong = 0;
};

bool isStrictKind(const PromptKind &kind)
{
    return isStrictGap(kind.m_gapLimitMs);
}

/// Number of requests whose first refusal was wrong: as many of the refused prompts as a
/// clairvoyant schedule could have prefilled in time in addition, while all others run as they did.
/// A prompt fits if the engine time that was idle between its arrival and its latency target, and
/// is not taken by another refused prompt, suffices for its prefill. Slices of IdleSlice count if
/// they are within that interval. The smallest prompts are placed first, as that places the most.
/// Memory, gap limits and the number of engines for one prompt are not taken into account, so the
/// count is rather too high.
size_t wrongRefusals(const PoolLoad &load, const PoolRun &run)
{
    std::vector<double> idleMs = run.m_idleMsPerSlice;
    std::vector<const PromptOutcome *> refused;
    for (const PromptOutcome &outcome : run.m_outcomes) {
        if (!isStrictKind(load.m_kinds[outcome.m_kind]) && !outcome.m_refusals.empty())
            refused.push_back(&outcome);
    }
    std::sort(refused.begin(), refused.end(),
              [](const auto *left, const auto *right) { return left->m_tokens < right->m_tokens; });
    size_t wrong = 0;
    for (const PromptOutcome *outcome : refused) {
        const auto slice = [&](Duration at) {
            return std::min(static_cast<size_t>(at / IdleSlice), idleMs.size());
        };
        const Duration arrival = outcome->m_arrival - PoolStart;
        // Slices that begin after the arrival and end by the target.
        const size_t from = slice(arrival) + 1;
        const size_t to = slice(arrival + load.m_kinds[outcome->m_kind].m_latencyTarget);
        double left = prefillDuration(load.m_costs, outcome->m_tokens).count();
        double free = 0;
        for (size_t i = from; i < to; ++i)
            free += idleMs[i];
        if (free < left)
            continue;
        ++wrong;
        for (size_t i = from; i < to && left > 0; ++i) {
            const double used = std::min(left, idleMs[i]);
            idleMs[i] -= used;
            left -= used;
        }
    }
    return wrong;
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
                all.m_late += wait > kind.m_latencyTarget * LateShare;
            }
        }
        all.m_wrong += wrongRefusals(load, run);
    }
    std::sort(all.m_waitsMs.begin(), all.m_waitsMs.end());
    fmt::print("refusals: {} seeds=1..{} refusals={} median_ms={:.0f} late={} first={} wrong={}\n",
               name, Seeds, all.m_waitsMs.size(),
               all.m_waitsMs.empty() ? 0 : all.m_waitsMs[all.m_waitsMs.size() / 2], all.m_late,
               all.m_first, all.m_wrong);
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

// Guards against forecasts that refuse what could be served in time.
TEST_P(ForecastLoadTest, FewRefusalsAreWrong)
{
    const Refusals &seen = refusals();
    EXPECT_LT(static_cast<double>(seen.m_wrong),
              MaxWrongRefusals * static_cast<double>(seen.m_first));
}

INSTANTIATE_TEST_SUITE_P(Overload, ForecastLoadTest,
                         testing::Values(OverloadCase{ "Constant", secondDeployment },
                                         OverloadCase{ "TurningPhases", turningPhases },
                                         OverloadCase{ "MissingEngines", missingEngines }),
                         [](const auto &info) { return std::string(info.param.m_name); });

} // namespace
} // namespace stackquay
