// Tests which requests a draining daemon accepts, and when it exits.

#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Begun = TimePoint{} + Seconds(100);
const DrainPlan Plan{ Begun, Millis(2'000), Millis(3'000), Millis(7'000) };

TEST(DrainPlanTest, AcceptsEverythingWhenNotDraining)
{
    const DrainPlan none;
    EXPECT_FALSE(isDraining(none));
    EXPECT_TRUE(mayAccept(none, Begun, { Seconds(1'000) }));
    EXPECT_TRUE(canFinishInGrace(none, Begun, Seconds(1'000)));
}

TEST(DrainPlanTest, AcceptsUntilTheBalancerNotices)
{
    EXPECT_TRUE(isDraining(Plan));
    EXPECT_TRUE(mayAccept(Plan, Begun, { Millis(10) }));
    EXPECT_TRUE(mayAccept(Plan, Begun + Millis(1'999), { Millis(10) }));
    EXPECT_FALSE(mayAccept(Plan, Begun + Millis(2'000), { Millis(10) }));
    EXPECT_FALSE(mayAccept(Plan, Begun + Millis(6'000), { Millis(10) }));
}

TEST(DrainPlanTest, AcceptsOnlyWhatEndsWithinTheGracePeriod)
{
    EXPECT_TRUE(mayAccept(Plan, Begun, { Millis(7'000) }));
    EXPECT_FALSE(mayAccept(Plan, Begun, { Millis(7'001) }));
    EXPECT_TRUE(mayAccept(Plan, Begun + Millis(1'500), { Millis(5'500) }));
    EXPECT_FALSE(mayAccept(Plan, Begun + Millis(1'500), { Millis(5'501) }));
}

TEST(DrainPlanTest, AcceptsLaterOnlyIfTheLongestDurationFits)
{
    const RequestDuration bounded{ Millis(10), Millis(2'000) };
    EXPECT_TRUE(mayAccept(Plan, Begun + Millis(5'000), bounded));
    EXPECT_FALSE(mayAccept(Plan, Begun + Millis(5'001), bounded));
}

TEST(DrainPlanTest, AcceptedRequestsContinueAfterTheNotice)
{
    EXPECT_TRUE(canFinishInGrace(Plan, Begun + Millis(4'000), Millis(3'000)));
    EXPECT_FALSE(canFinishInGrace(Plan, Begun + Millis(4'000), Millis(3'001)));
}

TEST(DrainPlanTest, ExitsWhenIdleButNotBeforeTheLingerTime)
{
    EXPECT_FALSE(shouldExit(Plan, Begun + Millis(2'999), 0));
    EXPECT_TRUE(shouldExit(Plan, Begun + Millis(3'000), 0));
    EXPECT_FALSE(shouldExit(Plan, Begun + Millis(6'999), 1));
    EXPECT_TRUE(shouldExit(Plan, Begun + Millis(7'000), 1));
}

// The grace period also ends the drain if it is shorter than the notice of the balancer.
TEST(DrainPlanTest, NeverOutlastsTheGracePeriod)
{
    const DrainPlan plan{ Begun, Millis(2'000), Millis(3'000), Millis(1'000) };
    EXPECT_FALSE(mayAccept(plan, Begun + Millis(990), { Millis(11) }));
    EXPECT_TRUE(shouldExit(plan, Begun + Millis(1'000), 5));
}

} // namespace
} // namespace stackquay
