#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

DutyCandidate vm(const std::string &name, const std::string &dataCentre = "a", bool eligible = true)
{
    return { VmId(name), DataCentreId(dataCentre), eligible };
}

TEST(WatchDutyTest, LowestIdOfTheDataCentreWatches)
{
    EXPECT_TRUE(isStoreWatcher(vm("1"), { vm("2"), vm("3") }));
    EXPECT_FALSE(isStoreWatcher(vm("2"), { vm("1"), vm("3") }));
    EXPECT_TRUE(isStoreWatcher(vm("2", "b"), { vm("1"), vm("3") }));
}

TEST(WatchDutyTest, SingleVmWatches)
{
    EXPECT_TRUE(isStoreWatcher(vm("9"), {}));
}

TEST(WatchDutyTest, SkipsIneligibleVms)
{
    EXPECT_TRUE(isStoreWatcher(vm("2"), { vm("1", "a", false), vm("3") }));
    EXPECT_FALSE(isStoreWatcher(vm("1", "a", false), { vm("2"), vm("3") }));
}

TEST(WatchDutyTest, LowestIdWatchesIfNoVmIsEligible)
{
    EXPECT_TRUE(isStoreWatcher(vm("1", "a", false), { vm("2", "a", false) }));
    EXPECT_FALSE(isStoreWatcher(vm("2", "a", false), { vm("1", "a", false) }));
}

// A new VM does not replace an eligible watcher, even with a lower id.
TEST(WatchDutyTest, EligibleWatcherStays)
{
    DutyCandidate watcher = vm("5");
    watcher.m_isWatcher = true;
    EXPECT_FALSE(isStoreWatcher(vm("1"), { watcher, vm("2") }));
    EXPECT_TRUE(isStoreWatcher(watcher, { vm("1"), vm("2") }));
    watcher.m_eligible = false;
    EXPECT_TRUE(isStoreWatcher(vm("1"), { watcher, vm("2") }));
    EXPECT_FALSE(isStoreWatcher(watcher, { vm("1"), vm("2") }));
}

// After a network partition there may be two watchers.
TEST(WatchDutyTest, OfTwoWatchersTheLowestIdStays)
{
    DutyCandidate one = vm("5");
    DutyCandidate other = vm("7");
    one.m_isWatcher = other.m_isWatcher = true;
    EXPECT_TRUE(isStoreWatcher(one, { vm("1"), other }));
    EXPECT_FALSE(isStoreWatcher(other, { vm("1"), one }));
}

} // namespace
} // namespace stackquay
