#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(1'000);

/// Endpoint @p number of a fleet with two data centres.
EndpointRecord endpoint(int number)
{
    EndpointRecord record;
    record.m_id = EndpointId("engine-" + std::to_string(number));
    record.m_dataCentre = DataCentreId(number % 2 == 0 ? "north" : "south");
    return record;
}

std::vector<EndpointRecord> endpoints(int count)
{
    std::vector<EndpointRecord> all;
    for (int i = 0; i < count; ++i)
        all.push_back(endpoint(i));
    return all;
}

class PathHealthTest : public testing::Test
{
protected:
    void miss(int number, Duration at = {}, int count = 6)
    {
        m_health.recordUnreached(endpoint(number), endpoints(count), Start + at);
    }

    void reach(int number, Duration at = {})
    {
        m_health.recordReached(endpoint(number), Start + at);
    }

    PathHealth m_health;
};

TEST_F(PathHealthTest, VmThatReachesNoEndpointInAnyDataCentreIsIsolated)
{
    miss(0);
    miss(1);
    EXPECT_FALSE(m_health.isIsolated());
    miss(2);
    EXPECT_TRUE(m_health.isIsolated());
    for (const int number : { 3, 4, 5 })
        reach(number);
    EXPECT_TRUE(m_health.isIsolated()) << "as many are reached as are not";
    reach(0);
    EXPECT_FALSE(m_health.isIsolated());
    EXPECT_FALSE(m_health.isDoubtful());
}

TEST_F(PathHealthTest, FailuresWithASuccessBetweenThemIsolateNobody)
{
    for (int i = 0; i < 6; i += 2) {
        miss(i);
        reach(i + 1);
    }
    EXPECT_FALSE(m_health.isIsolated());
}

TEST_F(PathHealthTest, VmThatReachesFewOfManyEndpointsIsIsolated)
{
    reach(0, {});
    for (int i = 1; i < 5; ++i)
        miss(i, {}, 18);
    EXPECT_TRUE(m_health.isIsolated());
}

TEST_F(PathHealthTest, DataCentreThatIsCutOffIsolatesNobody)
{
    for (const int number : { 0, 2, 4 })
        miss(number);
    EXPECT_FALSE(m_health.isIsolated());
}

TEST_F(PathHealthTest, EndpointThatFailsAgainAndAgainIsolatesNobody)
{
    for (int i = 0; i < 10; ++i)
        miss(0);
    EXPECT_FALSE(m_health.isIsolated());
}

TEST_F(PathHealthTest, FailuresThatAreFarApartIsolateNobody)
{
    miss(0);
    miss(1, Seconds(8));
    miss(2, Seconds(16));
    EXPECT_FALSE(m_health.isIsolated());
}

TEST_F(PathHealthTest, FewEndpointsAreAllNeeded)
{
    miss(0, {}, 2);
    EXPECT_FALSE(m_health.isIsolated());
    miss(1, {}, 2);
    EXPECT_TRUE(m_health.isIsolated());
}

/// Peers of three data centres; those of "north" have half of a core.
std::vector<ForwardPeer> peers()
{
    return { { VmId("vm-1"), DataCentreId("north"), "10.0.0.1:1", 500 },
             { VmId("vm-2"), DataCentreId("south"), "10.0.0.2:1", 1'000 },
             { VmId("vm-3"), DataCentreId("east"), "10.0.0.3:1", 1'000 } };
}

TEST(ForwardPeerTest, PeersShareTheRequestsByTheirProcessors)
{
    std::map<VmId, int> chosen;
    constexpr int Draws = 1'000;
    for (int i = 0; i < Draws; ++i)
        ++chosen[chooseForwardPeer(peers(), DataCentreId("north"), {}, i / double(Draws))->m_vm];
    // The own data centre counts twice.
    EXPECT_NEAR(chosen[VmId("vm-1")], Draws / 3, 2);
    EXPECT_NEAR(chosen[VmId("vm-2")], Draws / 3, 2);
    EXPECT_NEAR(chosen[VmId("vm-3")], Draws / 3, 2);
}

TEST(ForwardPeerTest, PeerThatWasTriedIsNotChosenAgain)
{
    const std::vector<VmId> tried = { VmId("vm-1"), VmId("vm-3") };
    for (const double draw : { 0.0, 0.5, 0.999 })
        EXPECT_EQ(chooseForwardPeer(peers(), DataCentreId("north"), tried, draw)->m_vm.str(),
                  "vm-2");
    EXPECT_EQ(chooseForwardPeer({}, DataCentreId("north"), {}, 0.5), nullptr);
}

} // namespace
} // namespace stackquay
