/// Value that the scheduling earns on each declared load, compared with its upper bound.
#include <cstdlib>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "pool_loads.h"

namespace stackquay {
namespace {

PoolLoad oneEngine()
{
    PoolLoad load;
    load.m_engines = 1;
    load.m_costs.m_prefillTokensPerSecond = 1'000;
    PromptKind kind;
    kind.m_meanTokens = 1'000;
    kind.m_latencyTarget = Millis(1'000);
    load.m_kinds = { kind };
    return load;
}

PromptOutcome arrivedAt(Millis at)
{
    PromptOutcome outcome;
    outcome.m_tokens = 1'000;
    outcome.m_arrival = TimePoint{ at };
    return outcome;
}

TEST(PoolWorthTest, BoundUsesTheTimeBetweenArrivalAndTarget)
{
    const PoolLoad load = oneEngine();
    // Each prefill takes a second; the interval ends at the grid point after the latency target.
    EXPECT_NEAR(maxEarnedShare(load, { arrivedAt(Millis(0)) }), 1, 1e-9);
    EXPECT_NEAR(maxEarnedShare(load, { arrivedAt(Millis(0)), arrivedAt(Millis(0)) }), 0.6, 1e-9);
    EXPECT_NEAR(maxEarnedShare(load, { arrivedAt(Millis(0)), arrivedAt(Millis(2'000)) }), 1, 1e-9);
}

TEST(PoolWorthTest, BoundPrefersTheHighestValue)
{
    PoolLoad load = oneEngine();
    load.m_kinds.push_back(load.m_kinds.front());
    load.m_kinds.back().m_worth = 9;
    PromptOutcome valuable = arrivedAt(Millis(0));
    valuable.m_kind = 1;
    EXPECT_NEAR(maxEarnedShare(load, { arrivedAt(Millis(0)), valuable }), (9 + 0.2) / 10, 1e-9);
}

TEST(PoolWorthTest, LargePromptsAreWorthMore)
{
    PromptKind kind;
    kind.m_meanTokens = 1'000;
    kind.m_worth = 10;
    kind.m_lateWorth = 2;
    EXPECT_NEAR(worthOf(kind, 1'000, true), 10, 1e-9);
    EXPECT_NEAR(worthOf(kind, 1'000, false), 2, 1e-9);
    EXPECT_NEAR(worthOf(kind, 100'000, true), 40, 1e-9);
}

/// Maximum fraction of the engine time that may be idle while a prompt waits.
constexpr double MaxIdleWhileWaiting = 0.1;

TEST(PoolWorthTest, EnginesAreRarelyIdleWhilePromptsWaitOnAnyDeclaredLoad)
{
    const char *seedsText = std::getenv("STACKQUAY_SEEDS");
    const uint64_t seeds = seedsText ? std::strtoull(seedsText, nullptr, 10) : 1;
    for (const auto &[name, load] : declaredLoads()) {
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            const PoolRun play = simulatePool(load, seed);
            const double earned = earnedShare(load, play.m_outcomes);
            const double bound = maxEarnedShare(load, play.m_outcomes);
            const double all =
                play.m_time.m_prefilling + play.m_time.m_decoding + play.m_time.m_idle;
            const double idle = play.m_time.m_idleWhileWaiting / all;
            fmt::print("worth: load=\"{}\" seed={} earned={:.3f} most={:.3f} reading={:.3f} "
                       "idle_in_need={:.3f}\n",
                       name, seed, earned, bound, play.m_time.m_prefilling / all, idle);
            EXPECT_LE(earned, bound) << name;
            EXPECT_LE(idle, MaxIdleWhileWaiting) << name;
        }
    }
}

} // namespace
} // namespace stackquay
