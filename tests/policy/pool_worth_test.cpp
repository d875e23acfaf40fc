/// What the decisions earn on each declared load, beside what no schedule can exceed.
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
    load.m_costs.m_readTokensPerSecond = 1'000;
    PromptKind kind;
    kind.m_meanTokens = 1'000;
    kind.m_aim = Millis(1'000);
    load.m_kinds = { kind };
    return load;
}

PromptFate arrivedAt(Millis at)
{
    PromptFate fate;
    fate.m_tokens = 1'000;
    fate.m_arrival = TimePoint{ at };
    return fate;
}

TEST(PoolWorthTest, BoundCountsTheTimeBetweenArrivalAndAim)
{
    const PoolLoad load = oneEngine();
    // Each reads for a second within the step of the grid that its aim falls into.
    EXPECT_NEAR(mostEarnedShare(load, { arrivedAt(Millis(0)) }), 1, 1e-9);
    EXPECT_NEAR(mostEarnedShare(load, { arrivedAt(Millis(0)), arrivedAt(Millis(0)) }), 0.6, 1e-9);
    EXPECT_NEAR(mostEarnedShare(load, { arrivedAt(Millis(0)), arrivedAt(Millis(2'000)) }), 1, 1e-9);
}

TEST(PoolWorthTest, BoundTakesTheDearestFirst)
{
    PoolLoad load = oneEngine();
    load.m_kinds.push_back(load.m_kinds.front());
    load.m_kinds.back().m_worth = 9;
    PromptFate dear = arrivedAt(Millis(0));
    dear.m_kind = 1;
    EXPECT_NEAR(mostEarnedShare(load, { arrivedAt(Millis(0)), dear }), (9 + 0.2) / 10, 1e-9);
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

/// The part of the engines' time that may be idle while a prompt waits.
constexpr double MostIdleInNeed = 0.1;

TEST(PoolWorthTest, EnginesAreNotIdleWhileSomebodyWaitsOnAnyDeclaredLoad)
{
    const char *asked = std::getenv("STACKQUAY_SEEDS");
    const uint64_t seeds = asked ? std::strtoull(asked, nullptr, 10) : 1;
    for (const auto &[name, load] : declaredLoads()) {
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            const PoolPlay play = playPool(load, seed);
            const double earned = earnedShare(load, play.m_fates);
            const double most = mostEarnedShare(load, play.m_fates);
            const double all = play.m_time.m_reading + play.m_time.m_writing + play.m_time.m_idle;
            const double idle = play.m_time.m_idleInNeed / all;
            fmt::print("worth: load=\"{}\" seed={} earned={:.3f} most={:.3f} reading={:.3f} "
                       "idle_in_need={:.3f}\n",
                       name, seed, earned, most, play.m_time.m_reading / all, idle);
            EXPECT_LE(earned, most) << name;
            EXPECT_LE(idle, MostIdleInNeed) << name;
        }
    }
}

} // namespace
} // namespace stackquay
