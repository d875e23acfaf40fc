#include <map>

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

TEST(WatchDutyTest, VmsThatPrecedeDelayTheTakeoverForAShortTimeOnly)
{
    const std::vector<DutyCandidate> others = { vm("1"), vm("2"), vm("4") };
    const DutyCandidate self = vm("3");
    EXPECT_FALSE(takesOverWatch(vm("0"), others, WatcherSilenceTimeout));
    EXPECT_TRUE(takesOverWatch(vm("0"), others, WatcherSilenceTimeout + Millis(1)));
    EXPECT_FALSE(takesOverWatch(self, others, WatcherSilenceTimeout + Millis(100)));
    EXPECT_TRUE(takesOverWatch(self, others, WatcherSilenceTimeout + Millis(101)));
    EXPECT_FALSE(takesOverWatch(vm("3", "a", false), others, Seconds(60)));
}

// The bound for changes is 2 s, of which the new watcher needs some for its list.
TEST(WatchDutyTest, TakeoverDoesNotGrowWithTheNumberOfVms)
{
    std::vector<DutyCandidate> others;
    for (int i = 1'000; i < 2'000; ++i)
        others.push_back(vm(std::to_string(i)));
    EXPECT_TRUE(takesOverWatch(vm("9"), others, Millis(1'700)));
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

TEST(WatchDutyTest, LargerProcessorSharePrecedes)
{
    DutyCandidate able = vm("9");
    DutyCandidate small = vm("1");
    small.m_millicores = 120;
    EXPECT_TRUE(isStoreWatcher(able, { small }));
    EXPECT_FALSE(isStoreWatcher(small, { able }));
    small.m_isWatcher = true; // A present watcher stays.
    EXPECT_FALSE(isStoreWatcher(able, { small }));
}

// Two VMs with the same turn would read the store at the same time.
TEST(WatchDutyTest, ReadTurnsAreCountedAmongTheEligibleVmsThatDoNotWatch)
{
    DutyCandidate watcher = vm("1");
    watcher.m_isWatcher = true;
    const std::vector<DutyCandidate> all = { watcher, vm("2"),      vm("3", "a", false),
                                             vm("4"), vm("5", "b"), vm("6") };
    const auto turnOf = [&all](size_t index) {
        std::vector<DutyCandidate> peers = all;
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
        return readTurn(all[index], peers);
    };
    EXPECT_EQ(turnOf(1), 0u);
    EXPECT_EQ(turnOf(3), 1u);
    EXPECT_EQ(turnOf(4), 0u); // The first of its data centre.
    EXPECT_EQ(turnOf(5), 2u);
    EXPECT_EQ(turnOf(2), 3u); // Not eligible, so the last.
}

/// How many of the VMs of one data centre and cell watch the store after all have started within
/// 300 ms. A VM needs @p startWork of a core to start and read the list, a new watcher @p watchWork
/// until it announces itself, and each other VM @p hearWork to notice it.
size_t watchersAfterStart(const std::vector<DutyCandidate> &group, RandomEngine &random)
{
    constexpr Duration StartWork = Millis(60);
    constexpr Duration WatchWork = Millis(100);
    constexpr Duration HearWork = Millis(30);
    constexpr Duration MaxDelay = Millis(3'000);
    const auto taking = [](Duration work, const DutyCandidate &vm) {
        return work * 1'000 / vm.m_millicores;
    };
    std::vector<std::pair<Duration, DutyCandidate>> electable;
    for (const DutyCandidate &one : group) {
        std::vector<DutyCandidate> peers;
        for (const DutyCandidate &other : group) {
            if (other.m_vm != one.m_vm)
                peers.push_back(other);
        }
        const Millis begun(std::uniform_int_distribution<int>(0, 300)(random));
        electable.emplace_back(begun + taking(StartWork, one) + electionDelay(one, peers, MaxDelay),
                               one);
    }
    std::sort(electable.begin(), electable.end(),
              [](const auto &left, const auto &right) { return left.first < right.first; });
    size_t watchers = 0;
    Duration announced = Duration::max();
    for (const auto &[at, one] : electable) {
        if (announced != Duration::max() && announced + taking(HearWork, one) <= at)
            continue;
        ++watchers;
        announced = std::min(announced, at + taking(WatchWork, one));
    }
    return watchers;
}

// Each watcher lists all endpoints, so a start of the whole fleet must not make more of them than
// there are data centres and cells, whatever the number of VMs.
TEST(WatchDutyTest, StartOfTheWholeFleetMakesFewWatchers)
{
    constexpr size_t DataCentres = 5;
    constexpr int AbleOneIn = 20;
    RandomEngine random(3);
    for (const uint32_t vms : { 60, 300, 985, 1'970 }) {
        const uint32_t cells = cellCount(vms);
        std::map<std::pair<uint32_t, size_t>, std::vector<DutyCandidate>> groups;
        for (uint32_t i = 0; i < vms; ++i) {
            DutyCandidate one = vm("front-" + std::to_string(i));
            one.m_millicores = i % AbleOneIn == 0 ? 1'000 : 120;
            groups[{ cellOf(one.m_vm, cells), i % DataCentres }].push_back(one);
        }
        size_t watchers = 0;
        for (const auto &[key, group] : groups)
            watchers += watchersAfterStart(group, random);
        EXPECT_LE(watchers, 2 * groups.size()) << vms;
    }
}

} // namespace
} // namespace stackquay
