#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

// Guards against attempts that are given up by a fixed time, whatever the service needs.
TEST(ResponseTimeTest, TheLimitFollowsTheAnswersOfTheService)
{
    ResponseTime quick;
    ResponseTime slow;
    EXPECT_FALSE(quick.lateAfter());
    for (int i = 0; i < 100; ++i) {
        quick.record(FloatMillis(i % 2 == 0 ? 25 : 35));
        slow.record(FloatMillis(i % 2 == 0 ? 500 : 700));
    }
    EXPECT_NEAR(quick.mean()->count(), 30, 2);
    EXPECT_GT(quick.lateAfter()->count(), 35);
    EXPECT_LT(quick.lateAfter()->count(), 70);
    EXPECT_GT(slow.lateAfter()->count(), 700);
    EXPECT_LT(slow.lateAfter()->count(), 1'400);
}

// Guards against a limit that stays low after the service has become slow.
TEST(ResponseTimeTest, TheLimitFollowsASlowService)
{
    ResponseTime time;
    for (int i = 0; i < 100; ++i)
        time.record(FloatMillis(30));
    for (int i = 0; i < 20; ++i)
        time.record(FloatMillis(300));
    EXPECT_GT(time.lateAfter()->count(), 300);
}

} // namespace
} // namespace stackquay
