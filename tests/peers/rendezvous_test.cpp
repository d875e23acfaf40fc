#include <gtest/gtest.h>

#include "peers/peers.h"

namespace stackquay {
namespace {

MemberList listOf(int count)
{
    MemberList list;
    for (int index = 0; index < count; ++index) {
        VmInfo vm;
        vm.m_id = VmId("vm-" + std::to_string(100 + index));
        list.m_vms.push_back(vm);
    }
    return list;
}

TEST(RendezvousTest, SpreadsKeysAndMovesOnlyThoseOfALostVm)
{
    constexpr int Keys = 2'000;
    const MemberList before = listOf(20);
    MemberList after = before;
    after.m_vms[3].m_state = VmState::Dead;
    std::map<VmId, int> held;
    for (int key = 0; key < Keys; ++key) {
        const EndpointId endpoint("engine-" + std::to_string(key));
        const VmId holder = stewardOf(before, endpoint)->m_id;
        ++held[holder];
        const VmId holderAfter = stewardOf(after, endpoint)->m_id;
        if (holder != before.m_vms[3].m_id) {
            EXPECT_EQ(holderAfter, holder);
        } else {
            EXPECT_EQ(holderAfter, roleHolders(before, endpointRoleKey(endpoint), 2)[1].m_id);
        }
    }
    EXPECT_EQ(held.size(), 20u);
    for (const auto &[vm, count] : held)
        EXPECT_LT(count, 2 * Keys / 20) << vm.str();
}

TEST(RendezvousTest, LeavingAndDeadVmsHoldNothingAndSuspectsKeepTheirs)
{
    MemberList list = listOf(3);
    list.m_vms[0].m_state = VmState::Leaving;
    list.m_vms[1].m_state = VmState::Dead;
    list.m_vms[2].m_state = VmState::Suspect;
    EXPECT_EQ(roleHolder(list, "any")->m_id, list.m_vms[2].m_id);
    EXPECT_EQ(storeWatchers(list).size(), 1u);
    list.m_vms[2].m_state = VmState::Dead;
    EXPECT_EQ(roleHolder(list, "any"), nullptr);
    EXPECT_EQ(stewardOf(list, CustomerId("c")), nullptr);
}

} // namespace
} // namespace stackquay
