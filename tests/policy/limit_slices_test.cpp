#include <gtest/gtest.h>

#include "slice_sim.h"

namespace stackquay {
namespace {

/// Random faults for one run; each kind of fault is absent in some of the runs.
SliceFaults randomFaults(uint64_t seed)
{
    RandomEngine random(seed * 7'919 + 1);
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto pick = [&](double maxValue) {
        return random() % 3 == 0 ? 0 : maxValue * uniform(random);
    };
    SliceFaults faults;
    faults.m_loss = pick(0.4);
    faults.m_duplicate = pick(0.4);
    faults.m_delayed = pick(0.3);
    faults.m_pausesPerSecond = pick(0.05);
    faults.m_deathsPerSecond = pick(0.05);
    faults.m_viewChangesPerSecond = pick(0.5);
    faults.m_storeOutage = pick(0.5);
    return faults;
}

constexpr double ScheduleSeconds = 60;

int schedulesWithViolations(SliceVariant variant, uint64_t schedules)
{
    int violated = 0;
    for (uint64_t seed = 0; seed < schedules; ++seed) {
        SliceSim sim(variant, randomFaults(seed), seed);
        sim.run(ScheduleSeconds);
        violated += sim.violations() > 0 ? 1 : 0;
    }
    return violated;
}

TEST(LimitSlices, NaiveGrantsExceedTheLimit)
{
    EXPECT_GT(schedulesWithViolations(SliceVariant::Naive, 200), 20);
}

TEST(LimitSlices, WaitingInsteadOfALeaseExceedsTheLimit)
{
    EXPECT_GT(schedulesWithViolations(SliceVariant::WaitInsteadOfLease, 200), 0);
}

TEST(LimitSlices, SumNeverExceedsTheLimitInAnySchedule)
{
    for (uint64_t seed = 0; seed < 4'000; ++seed) {
        SliceSim sim(SliceVariant::Real, randomFaults(seed), seed);
        sim.run(ScheduleSeconds);
        ASSERT_EQ(sim.violations(), 0) << "seed " << seed;
    }
}

TEST(LimitSlices, WholeLimitIsGrantedByDemandWithoutFaults)
{
    SliceSim sim(SliceVariant::Real, {}, 1);
    for (size_t slot = 0; slot < SliceSim::NodeCount; ++slot)
        sim.setDemand(slot, {});
    sim.setDemand(3, { 800, 18 });
    sim.run(40);
    EXPECT_GE(sim.sumUsable().m_tokensPerSecond, 0.99 * sim.m_limit.m_tokensPerSecond);
    EXPECT_EQ(sim.sumUsable().m_concurrency, sim.m_limit.m_concurrency);
    EXPECT_GE(sim.usableOf(3).m_tokensPerSecond, 800);
    EXPECT_GE(sim.usableOf(3).m_concurrency, 18);
    EXPECT_GT(sim.usableOf(0).m_tokensPerSecond, 0);

    sim.setDemand(3, {});
    sim.setDemand(0, { 5'000, 200 });
    sim.run(15);
    EXPECT_GE(sim.usableOf(0).m_tokensPerSecond, 0.95 * sim.m_limit.m_tokensPerSecond);
    EXPECT_EQ(sim.violations(), 0);
}

TEST(LimitSlices, FallbackAmountsInAStoreOutageAndRecovery)
{
    SliceSim sim(SliceVariant::Real, {}, 2);
    sim.run(40);
    sim.setStoreDown(true);
    sim.run(30);
    const LimitAmount fallback = sim.m_limit * (SliceSim::Reserved / SliceSim::NodeCount);
    for (size_t slot = 0; slot < SliceSim::NodeCount; ++slot)
        EXPECT_EQ(sim.usableOf(slot), fallback);
    sim.setStoreDown(false);
    sim.run(30);
    EXPECT_GE(sim.sumUsable().m_tokensPerSecond, 0.99 * sim.m_limit.m_tokensPerSecond);
    EXPECT_EQ(sim.violations(), 0);
}

TEST(LimitSlices, AnotherProcessReplacesADeadSteward)
{
    SliceSim sim(SliceVariant::Real, {}, 3);
    sim.run(40);
    EXPECT_EQ(sim.allocatingSlot(), 0U);
    sim.kill(0);
    sim.setView(1);
    sim.run(40);
    EXPECT_EQ(sim.allocatingSlot(), 1U);
    EXPECT_GE(sim.sumUsable().m_tokensPerSecond, 0.99 * sim.m_limit.m_tokensPerSecond);
    EXPECT_EQ(sim.violations(), 0);
}

TEST(LimitSlices, HandoverKeepsTheSlicesInUse)
{
    SliceSim sim(SliceVariant::Real, {}, 4);
    sim.run(40);
    sim.setView(2);
    double least = 1e9;
    for (int i = 0; i < 100; ++i) {
        sim.run(0.1);
        least = std::min(least, sim.sumUsable().m_tokensPerSecond);
    }
    EXPECT_EQ(sim.allocatingSlot(), 2U);
    EXPECT_GE(least, 0.5 * sim.m_limit.m_tokensPerSecond);
    EXPECT_EQ(sim.violations(), 0);
}

TEST(LimitSlices, ExcessiveClockDriftExceedsTheLimit)
{
    int violated = 0;
    for (uint64_t seed = 0; seed < 300; ++seed) {
        SliceFaults faults = randomFaults(seed);
        faults.m_drift = 1.2;
        SliceSim sim(SliceVariant::Real, faults, seed);
        sim.run(ScheduleSeconds);
        violated += sim.violations() > 0 ? 1 : 0;
    }
    EXPECT_GT(violated, 0);
}

} // namespace
} // namespace stackquay
