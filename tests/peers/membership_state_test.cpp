#include <gtest/gtest.h>

#include "tests/peers/fake_network.h"

namespace stackquay {
namespace {

/// Each case runs with several seeds.
class MembershipStateTest : public testing::TestWithParam<uint64_t>
{
protected:
    void joinAll(uint16_t count)
    {
        m_network.addMany(count);
        ASSERT_TRUE(m_network.runUntil(Seconds(60), [&] { return m_network.agree(); }));
    }

    bool allSee(uint16_t count, const std::string &id, VmState state, uint16_t except = 0xffff)
    {
        for (uint16_t index = 0; index < count; ++index) {
            if (index != except && m_network.seen(index, id) != state)
                return false;
        }
        return true;
    }

    FakeNetwork m_network{ GetParam() };
};

INSTANTIATE_TEST_SUITE_P(Seeds, MembershipStateTest, testing::Range<uint64_t>(1, 9));

TEST_P(MembershipStateTest, JoinsThroughSeedsAndDetectsDeadVms)
{
    joinAll(20);
    m_network.node(7).m_running = false;
    EXPECT_TRUE(m_network.runUntil(Seconds(15), [&] { return m_network.agree(); }));
}

TEST_P(MembershipStateTest, CostOfAVmDoesNotGrowWithTheirNumber)
{
    joinAll(40);
    m_network.run(Seconds(30));
    for (auto &[address, node] : m_network.m_nodes) {
        node.m_bytesOut = 0;
        node.m_messagesOut = 0;
    }
    constexpr uint64_t Period = 60;
    m_network.run(Seconds(Period));
    uint64_t bytes = 0;
    for (const auto &[address, node] : m_network.m_nodes) {
        bytes += node.m_bytesOut;
        // At most three probes a second and, on average, the same number of acks.
        EXPECT_LE(node.m_messagesOut, 9 * Period);
    }
    EXPECT_LE(bytes / m_network.m_nodes.size() / Period, 1'000u);
    EXPECT_LE(m_network.m_maxMessageBytes, MaxDatagramBytes);
    EXPECT_TRUE(m_network.agree());
}

TEST_P(MembershipStateTest, PausedVmIsDeclaredDeadAndComesBackWithoutBlamingOthers)
{
    joinAll(12);
    m_network.node(5).m_running = false;
    const std::string name = FakeNetwork::nameOf(5);
    ASSERT_TRUE(
        m_network.runUntil(Seconds(15), [&] { return allSee(12, name, VmState::Dead, 5); }));
    m_network.run(Seconds(60));
    m_network.node(5).m_running = true;
    bool blamed = false;
    EXPECT_TRUE(m_network.runUntil(Seconds(60), [&] {
        for (uint16_t index = 0; index < 12; ++index)
            blamed |= index != 5 && m_network.seen(0, FakeNetwork::nameOf(index)) != VmState::Live;
        return m_network.agree();
    }));
    EXPECT_FALSE(blamed);
}

TEST_P(MembershipStateTest, IndirectProbesCoverOneWayLossBetweenTwoVms)
{
    joinAll(10);
    m_network.m_lost = [](const Address &from, const Address &to) {
        return from == FakeNetwork::addressOf(2) && to == FakeNetwork::addressOf(3);
    };
    bool suspected = false;
    m_network.runUntil(Seconds(60), [&] {
        suspected |= !allSee(10, FakeNetwork::nameOf(3), VmState::Live);
        suspected |= !allSee(10, FakeNetwork::nameOf(2), VmState::Live);
        return suspected;
    });
    EXPECT_FALSE(suspected);
}

TEST_P(MembershipStateTest, VmThatCannotSendIsDeclaredDead)
{
    joinAll(10);
    m_network.m_lost = [](const Address &from, const Address &) {
        return from == FakeNetwork::addressOf(4);
    };
    const std::string name = FakeNetwork::nameOf(4);
    EXPECT_TRUE(
        m_network.runUntil(Seconds(20), [&] { return allSee(10, name, VmState::Dead, 4); }));
    m_network.m_lost = nullptr;
    EXPECT_TRUE(m_network.runUntil(Seconds(60), [&] { return m_network.agree(); }));
}

TEST_P(MembershipStateTest, NetworkPartitionHeals)
{
    constexpr uint16_t Count = 20;
    joinAll(Count);
    const auto side = [](const Address &address) {
        return address < FakeNetwork::addressOf(Count / 2);
    };
    m_network.m_lost = [&](const Address &from, const Address &to) {
        return side(from) != side(to);
    };
    const auto split = [&] {
        for (uint16_t index = 0; index < Count; ++index) {
            if (m_network.state(index).table().aliveCount() != Count / 2)
                return false;
        }
        return true;
    };
    ASSERT_TRUE(m_network.runUntil(Seconds(60), split));
    m_network.run(Seconds(600));
    ASSERT_TRUE(split());
    m_network.m_lost = nullptr;
    EXPECT_TRUE(m_network.runUntil(Seconds(60), [&] { return m_network.agree(); }));
}

TEST_P(MembershipStateTest, NewVmAtTheSameAddressReplacesTheFormerOne)
{
    joinAll(10);
    m_network.add(6, "vm-new", 9);
    const std::string old = FakeNetwork::nameOf(6);
    EXPECT_TRUE(m_network.runUntil(Seconds(10), [&] { return m_network.agree(); }));
    EXPECT_TRUE(allSee(10, "vm-new", VmState::Live));
    EXPECT_NE(m_network.seen(0, old), VmState::Live);
}

TEST_P(MembershipStateTest, RestartedVmSupersedesItsFormerProcess)
{
    joinAll(10);
    m_network.send(FakeNetwork::addressOf(6),
                   m_network.state(6).markLeaving(VmId(FakeNetwork::nameOf(6)), m_network.m_now));
    ASSERT_TRUE(m_network.runUntil(
        Seconds(10), [&] { return allSee(10, FakeNetwork::nameOf(6), VmState::Leaving); }));
    m_network.add(6, FakeNetwork::nameOf(6), 2);
    EXPECT_TRUE(m_network.runUntil(Seconds(10), [&] { return m_network.agree(); }));
}

TEST_P(MembershipStateTest, LeavingOverridesLiveAndSurvivesAFalseDeath)
{
    joinAll(10);
    const std::string name = FakeNetwork::nameOf(8);
    // Another VM is told by the platform's list that it is leaving.
    m_network.send(FakeNetwork::addressOf(1),
                   m_network.state(1).markLeaving(VmId(name), m_network.m_now));
    ASSERT_TRUE(
        m_network.runUntil(Seconds(10), [&] { return allSee(10, name, VmState::Leaving); }));
    m_network.node(8).m_running = false;
    ASSERT_TRUE(
        m_network.runUntil(Seconds(20), [&] { return allSee(10, name, VmState::Dead, 8); }));
    m_network.node(8).m_running = true;
    EXPECT_TRUE(
        m_network.runUntil(Seconds(60), [&] { return allSee(10, name, VmState::Leaving); }));
}

TEST_P(MembershipStateTest, DuplicatedAndReorderedDatagramsDoNoHarm)
{
    m_network.m_duplicate = true;
    m_network.m_delayMillis = 300;
    joinAll(15);
    bool disturbed = false;
    m_network.runUntil(Seconds(60), [&] {
        disturbed |= !m_network.agree();
        return disturbed;
    });
    EXPECT_FALSE(disturbed);
    m_network.node(3).m_running = false;
    EXPECT_TRUE(m_network.runUntil(Seconds(20), [&] { return m_network.agree(); }));
}

TEST_P(MembershipStateTest, NoticesAndRevisionsReachAllWithinSeconds)
{
    constexpr uint16_t Count = 40;
    joinAll(Count);
    const EndpointNotice notice{ EndpointId("engine-1"), NoticeKind::Leaving, true, 5 };
    m_network.send(FakeNetwork::addressOf(9),
                   m_network.state(9).addNotice(notice, m_network.m_now));
    m_network.send(FakeNetwork::addressOf(9),
                   m_network.state(9).setIntentRevision(77, m_network.m_now));
    EXPECT_TRUE(m_network.runUntil(Seconds(3), [&] {
        for (uint16_t index = 0; index < Count; ++index) {
            if (m_network.state(index).list().m_notices != std::vector{ notice })
                return false;
        }
        return true;
    }));
    // A VM that applies a revision announces it to others, as the receivers do here.
    EXPECT_TRUE(m_network.runUntil(Seconds(3), [&] {
        bool all = true;
        for (uint16_t index = 0; index < Count; ++index) {
            if (m_network.state(index).list().m_highestRevision != 77) {
                all = false;
                continue;
            }
            m_network.send(FakeNetwork::addressOf(index),
                           m_network.state(index).setIntentRevision(77, m_network.m_now));
        }
        return all;
    }));
}

TEST(MembershipStateRules, MessagesOfAnotherDataCentreAreDropped)
{
    VmInfo self{ VmId("a"), 1, 0, DataCentreId("dc"), Address{ "10.0.0.1", 1 }, {}, {} };
    VmInfo other{ VmId("b"), 1, 0, DataCentreId("else"), Address{ "10.0.0.1", 2 }, {}, {} };
    const TimePoint now{ Seconds(1) };
    MembershipState here(self, {}, 1, now);
    MembershipState there(other, {}, 1, now);
    there.setSeeds({ self.m_udp });
    const Outbox outbox = there.tick(now);
    ASSERT_EQ(outbox.size(), 1u);
    EXPECT_TRUE(here.receive(other.m_udp, outbox[0].m_message, now).empty());
    EXPECT_EQ(here.table().aliveCount(), 1u);
}

TEST(MemberTableRules, ReportsAreMergedByIncarnationRefutationAndState)
{
    const TimePoint now{ Seconds(1) };
    VmInfo vm{ VmId("b"), 5, 0, DataCentreId("dc"), {}, {}, {} };
    MemberTable table(VmInfo{ VmId("a"), 1, 0, DataCentreId("dc"), {}, {}, {} });
    const auto merge = [&](uint64_t incarnation, uint32_t refutation, VmState state) {
        vm.m_incarnation = incarnation;
        vm.m_refutation = refutation;
        vm.m_state = state;
        return table.merge(vm, now, Seconds(1));
    };
    const auto state = [&] { return table.find(vm.m_id)->m_info.m_state; };
    EXPECT_FALSE(merge(5, 0, VmState::Dead)) << "death of an unknown VM";
    EXPECT_TRUE(merge(5, 0, VmState::Live));
    EXPECT_TRUE(merge(5, 0, VmState::Suspect));
    EXPECT_FALSE(merge(5, 0, VmState::Live)) << "an old report does not clear a suspicion";
    EXPECT_TRUE(merge(5, 1, VmState::Live));
    EXPECT_FALSE(merge(5, 0, VmState::Dead)) << "refuted already";
    EXPECT_EQ(state(), VmState::Live);
    EXPECT_TRUE(merge(5, 0, VmState::Leaving)) << "an old leaving report still counts";
    EXPECT_TRUE(merge(5, 2, VmState::Live));
    EXPECT_EQ(state(), VmState::Leaving);
    EXPECT_TRUE(merge(5, 2, VmState::Dead));
    EXPECT_TRUE(merge(6, 0, VmState::Live)) << "a new process";
    EXPECT_EQ(state(), VmState::Live);
    EXPECT_FALSE(merge(5, 9, VmState::Dead)) << "report about the former process";
}

TEST(MemberTableRules, VmRefutesReportsAboutItself)
{
    const TimePoint now{ Seconds(1) };
    const VmInfo self{ VmId("a"), 5, 0, DataCentreId("dc"), {}, {}, {} };
    MemberTable table(self);
    VmInfo report = self;
    report.m_state = VmState::Suspect;
    EXPECT_TRUE(table.merge(report, now, Seconds(1)));
    EXPECT_EQ(table.self().m_refutation, 1u);
    EXPECT_FALSE(table.merge(report, now, Seconds(1)));
    report.m_incarnation = 8;
    EXPECT_TRUE(table.merge(report, now, Seconds(1)));
    EXPECT_GT(table.self().m_incarnation, 8u);
    EXPECT_EQ(table.self().m_state, VmState::Live);
}

TEST(MemberTableRules, HigherNoticeVersionWinsAndOldNoticesExpire)
{
    const TimePoint now{ Seconds(1) };
    MemberTable table(VmInfo{ VmId("a"), 5, 0, DataCentreId("dc"), {}, {}, {} });
    EndpointNotice notice{ EndpointId("e"), NoticeKind::Unhealthy, true, 7 };
    EXPECT_TRUE(table.merge(notice, now));
    notice.m_active = false;
    EXPECT_FALSE(table.merge(notice, now));
    notice.m_version = 8;
    EXPECT_TRUE(table.merge(notice, now));
    notice.m_kind = NoticeKind::Leaving;
    EXPECT_TRUE(table.merge(notice, now));
    table.forget(now + Seconds(20), Seconds(60), Seconds(10));
    EXPECT_TRUE(table.notices().empty());
}

} // namespace
} // namespace stackquay
