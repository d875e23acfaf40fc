#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

constexpr ColdLimits Limits{ 1.5, 5 };
constexpr double Rate = 14;
constexpr double Bound = Rate * 1.5 + 5;
const TimePoint Start = TimePoint{} + Seconds(1'000);

EndpointRecord coldEndpoint()
{
    EndpointRecord endpoint;
    endpoint.m_id = EndpointId("engine-7");
    endpoint.m_startedMs = 1'234;
    return endpoint;
}

std::vector<VmId> fleet(size_t vms)
{
    std::vector<VmId> names;
    for (size_t i = 0; i < vms; ++i)
        names.emplace_back("front-" + std::to_string(i));
    return names;
}

/// The other VMs of @p group.
std::vector<VmId> peersOf(const VmId &vm, const std::vector<VmId> &group)
{
    std::vector<VmId> peers;
    std::copy_if(group.begin(), group.end(), std::back_inserter(peers),
                 [&vm](const VmId &peer) { return peer != vm; });
    return peers;
}

/// The largest number of requests that arrive in any second when each VM of each group sends as
/// many as it may for some seconds. Requests travel for up to 200 ms.
size_t busiestSecond(const std::vector<std::vector<VmId>> &groups)
{
    RandomEngine random(11);
    std::vector<TimePoint> arrivals;
    for (const auto &group : groups) {
        for (const VmId &vm : group) {
            const SendShare share = coldShare(Limits, Rate, group.size());
            if (!isSender(coldEndpoint(), share, vm, peersOf(vm, group)))
                continue;
            RecentSends sends;
            for (TimePoint now = Start; now < Start + Seconds(5); now += Millis(7)) {
                if (!hasSendBudget(sends, share, now))
                    continue;
                sends.push_back(now);
                arrivals.push_back(now
                                   + Millis(std::uniform_int_distribution<int>(0, 200)(random)));
            }
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    size_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto last = std::lower_bound(first, arrivals.end(), *first + Seconds(1));
        most = std::max(most, static_cast<size_t>(last - first));
    }
    return most;
}

TEST(ColdEndpointTest, AllVmsTogetherStayWithinTheLimitWhateverTheSizeOfTheFleet)
{
    for (const size_t vms : { 1, 2, 6, 59, 140, 300, 985, 1'970 }) {
        const std::vector<VmId> all = fleet(vms);
        EXPECT_LE(busiestSecond({ all }), Bound) << vms;
        EXPECT_GE(busiestSecond({ all }), 5u) << vms << ": the endpoint must be of some use";
    }
}

TEST(ColdEndpointTest, GroupsThatDoNotHearEachOtherStayWithinTheLimit)
{
    for (const size_t vms : { 6, 60, 300, 985, 1'970 }) {
        std::vector<std::vector<VmId>> groups(3);
        const std::vector<VmId> all = fleet(vms);
        for (size_t i = 0; i < all.size(); ++i)
            groups[i % groups.size()].push_back(all[i]);
        EXPECT_LE(busiestSecond(groups), Bound) << vms;
    }
}

TEST(ColdEndpointTest, NumberOfSendersDoesNotGrowWithTheFleet)
{
    EXPECT_EQ(coldShare(Limits, Rate, 985).m_vms, coldShare(Limits, Rate, 1'970).m_vms);
    EXPECT_EQ(coldShare(Limits, Rate, 1'970).m_requests, 1u);
}

TEST(ColdEndpointTest, LimitTooSmallToDivideAllowsNone)
{
    EXPECT_EQ(coldShare({ 1, 0 }, 2, 6).m_vms, 0u);
}

} // namespace
} // namespace stackquay
