#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

DutyCandidate vm(const std::string &name, const std::string &dataCentre = "a", bool able = true)
{
    return { VmId(name), DataCentreId(dataCentre), able };
}

TEST(WatchDutyTest, FirstByNameOfItsDataCentre)
{
    EXPECT_TRUE(hasWatchDuty(vm("1"), { vm("2"), vm("3") }));
    EXPECT_FALSE(hasWatchDuty(vm("2"), { vm("1"), vm("3") }));
    EXPECT_TRUE(hasWatchDuty(vm("2", "b"), { vm("1"), vm("3") }));
}

TEST(WatchDutyTest, VmAloneHasIt)
{
    EXPECT_TRUE(hasWatchDuty(vm("9"), {}));
}

TEST(WatchDutyTest, PassesOverThoseThatAreNotAble)
{
    EXPECT_TRUE(hasWatchDuty(vm("2"), { vm("1", "a", false), vm("3") }));
    EXPECT_FALSE(hasWatchDuty(vm("1", "a", false), { vm("2"), vm("3") }));
}

TEST(WatchDutyTest, IfNobodyIsAbleTheFirstGoesOnTrying)
{
    EXPECT_TRUE(hasWatchDuty(vm("1", "a", false), { vm("2", "a", false) }));
    EXPECT_FALSE(hasWatchDuty(vm("2", "a", false), { vm("1", "a", false) }));
}

} // namespace
} // namespace stackquay
