// Rates that endpoints name, kept by whole fleets in virtual time.

#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(1'000);
constexpr Seconds CountWindow{ 4 };
/// What a VM sends within this time of its first answer is not counted.
constexpr Millis NoticeTime{ 500 };
constexpr Millis Step{ 40 };

const EndpointRecord &limitedEndpoint()
{
    static const EndpointRecord endpoint = [] {
        EndpointRecord record;
        record.m_id = EndpointId("engine-7");
        record.m_startedMs = 1'234;
        return record;
    }();
    return endpoint;
}

double toleratedRequests(double rate)
{
    return 1.5 * rate * static_cast<double>(CountWindow.count()) + 5;
}

/// A fleet whose VMs send to one endpoint whenever they may.
class LimitedFleet
{
public:
    LimitedFleet(size_t vms, double rate)
        : m_rate(rate)
    {
        for (size_t i = 0; i < vms; ++i)
            m_vms.push_back({ VmId("front-" + std::to_string(i)), {}, {} });
    }

    size_t size() const { return m_vms.size(); }

    /// Lets the VM @p index know the peers for which @p isPeer holds.
    void setPeers(size_t index, size_t known, const std::function<bool(size_t)> &isPeer)
    {
        LimitGroup group{ m_vms[index].m_id, {}, known, true, {} };
        for (size_t i = 0; i < m_vms.size(); ++i) {
            if (i != index && isPeer(i))
                group.m_peers.push_back(m_vms[i].m_id);
        }
        m_vms[index].m_limits.setGroup(std::move(group), m_now);
    }

    void connectAll()
    {
        for (size_t i = 0; i < size(); ++i)
            setPeers(i, size(), [](size_t) { return true; });
    }

    /// Each VM sends as often as it may; the share @p lost of what VMs tell each other is lost.
    void run(Duration time, double lost = 0)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        for (const TimePoint until = m_now + time; m_now < until; m_now += Step) {
            for (size_t i = 0; i < size(); ++i) {
                if (!m_vms[i].m_limits.maySend(limitedEndpoint().m_id, m_now))
                    continue;
                m_vms[i].m_limits.recordSend(limitedEndpoint().m_id, m_now);
                if (m_vms[i].m_toldAt && m_now >= *m_vms[i].m_toldAt + NoticeTime)
                    m_arrivals.push_back(m_now + Millis(static_cast<int>(draw(m_random) * 200)));
                receiveAnswer(i, lost);
            }
        }
    }

    size_t busiestWindow()
    {
        std::sort(m_arrivals.begin(), m_arrivals.end());
        size_t most = 0;
        for (auto first = m_arrivals.begin(); first != m_arrivals.end(); ++first) {
            const auto last = std::lower_bound(first, m_arrivals.end(), *first + CountWindow);
            most = std::max(most, static_cast<size_t>(last - first));
        }
        return most;
    }

    size_t arrivals() const { return m_arrivals.size(); }

    double m_rate;
    TimePoint m_now = Start;

private:
    struct Vm {
        VmId m_id;
        EndpointLimits m_limits;
        std::optional<TimePoint> m_toldAt; ///< First answer that named the rate.
    };

    void receiveAnswer(size_t vm, double lost)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        const NamedRate rate = m_rate;
        if (!m_vms[vm].m_toldAt)
            m_vms[vm].m_toldAt = m_now;
        if (!m_vms[vm].m_limits.noteAnswer(limitedEndpoint(), false, rate, m_now))
            return;
        for (size_t i = 0; i < size(); ++i) {
            if (i != vm && draw(m_random) >= lost)
                m_vms[i].m_limits.noteTold(limitedEndpoint(), false, rate, m_now);
        }
    }

    std::vector<Vm> m_vms;
    std::vector<TimePoint> m_arrivals;
    RandomEngine m_random{ 5 };
};

const std::vector<size_t> FleetSizes = { 1, 6, 9, 72, 123, 985, 1'970 };

TEST(EndpointLimitsTest, AllVmsTogetherKeepToTheRateWhateverTheSizeOfTheFleet)
{
    for (const double rate : { 0.3, 1.0, 1.6, 12.0 }) {
        for (const size_t vms : FleetSizes) {
            LimitedFleet fleet(vms, rate);
            fleet.connectAll();
            fleet.run(Seconds(20));
            EXPECT_LE(fleet.busiestWindow(), toleratedRequests(rate)) << vms << " VMs, " << rate;
            EXPECT_GE(static_cast<double>(fleet.arrivals()), 0.6 * rate * 20 - 1)
                << vms << " VMs, " << rate << ": the endpoint must be of use";
        }
    }
}

TEST(EndpointLimitsTest, GroupsThatACutSeparatesKeepToTheRateTogether)
{
    for (const double rate : { 0.3, 1.6, 12.0 }) {
        for (const size_t vms : FleetSizes) {
            LimitedFleet fleet(vms, rate);
            fleet.connectAll();
            fleet.run(Seconds(6));
            // The VMs find out at different times.
            for (size_t part = 0; part < 3; ++part) {
                for (size_t i = part; i < vms; i += 3)
                    fleet.setPeers(i, vms, [i](size_t peer) { return peer % 3 == i % 3; });
                fleet.run(Millis(700));
            }
            fleet.run(Seconds(12));
            fleet.connectAll();
            fleet.run(Seconds(8));
            EXPECT_LE(fleet.busiestWindow(), toleratedRequests(rate)) << vms << " VMs, " << rate;
        }
    }
}

TEST(EndpointLimitsTest, VmsThatStartOneAfterTheOtherKeepToTheRate)
{
    constexpr double Rate = 1;
    for (const size_t vms : { 6, 72, 123 }) {
        LimitedFleet fleet(vms, Rate);
        for (size_t started = 1; started <= vms; ++started) {
            for (size_t i = 0; i < started; ++i)
                fleet.setPeers(i, vms, [started](size_t peer) { return peer < started; });
            fleet.run(Seconds(12) / vms);
        }
        EXPECT_LE(fleet.busiestWindow(), toleratedRequests(Rate)) << vms;
    }
}

TEST(EndpointLimitsTest, VmsThatEachMissSomePeersAndMessagesKeepToTheRate)
{
    constexpr double Rate = 1.6;
    constexpr double Lost = 0.25;
    for (const size_t vms : { 9, 72, 123, 985 }) {
        LimitedFleet fleet(vms, Rate);
        fleet.connectAll();
        RandomEngine random(7);
        std::uniform_real_distribution<double> draw(0, 1);
        for (int round = 0; round < 10; ++round) {
            for (size_t i = 0; i < vms; ++i)
                fleet.setPeers(i, vms, [&](size_t) { return draw(random) >= 0.05; });
            fleet.run(Seconds(2), Lost);
        }
        EXPECT_LE(fleet.busiestWindow(), toleratedRequests(Rate)) << vms;
    }
}

class NamedRateTest : public testing::Test
{
protected:
    NamedRateTest() { m_limits.setGroup({ VmId("front-1"), {}, 1, true, {} }, Start); }

    bool note(const NamedRate &rate, Duration at)
    {
        return m_limits.noteAnswer(m_endpoint, false, rate, Start + at);
    }

    const EndpointRecord m_endpoint = limitedEndpoint();
    EndpointLimits m_limits;
};

TEST_F(NamedRateTest, RateEndsWithTheFirstAnswerThatNamesNone)
{
    EXPECT_TRUE(note(1.0, Seconds(0)));
    EXPECT_TRUE(m_limits.isLimited(m_endpoint.m_id, Start));
    EXPECT_FALSE(note(std::nullopt, Millis(100))) << "this answer was on its way before";
    EXPECT_TRUE(m_limits.isLimited(m_endpoint.m_id, Start + Millis(100)));
    EXPECT_TRUE(note(std::nullopt, Seconds(2)));
    EXPECT_FALSE(m_limits.isLimited(m_endpoint.m_id, Start + Seconds(2)));
    EXPECT_TRUE(m_limits.maySend(m_endpoint.m_id, Start + Seconds(2)));
    EXPECT_TRUE(note(std::nullopt, Seconds(4))) << "told again, as messages are lost";
    EXPECT_FALSE(note(std::nullopt, Seconds(20)));
}

TEST_F(NamedRateTest, RateIsToldAtAChangeAndOnceASecond)
{
    EXPECT_TRUE(note(1.0, Seconds(0)));
    EXPECT_FALSE(note(1.0, Millis(400)));
    EXPECT_TRUE(note(1.5, Millis(500)));
    EXPECT_TRUE(note(1.5, Millis(1'600)));
}

TEST_F(NamedRateTest, RateThatNobodyNamesAnyMoreIsForgotten)
{
    note(1.0, Seconds(0));
    EXPECT_TRUE(m_limits.isLimited(m_endpoint.m_id, Start + Seconds(20)));
    EXPECT_FALSE(m_limits.isLimited(m_endpoint.m_id, Start + Seconds(60)));
}

TEST_F(NamedRateTest, VmThatTakesOverASharesWaitsUntilTheFormerSendersCountNoMore)
{
    m_limits.setGroup({ VmId("front-1"), {}, 1, false, {} }, Start);
    note(1.0, Seconds(0));
    EXPECT_FALSE(m_limits.maySend(m_endpoint.m_id, Start));
    m_limits.setGroup({ VmId("front-1"), {}, 1, true, {} }, Start + Seconds(1));
    EXPECT_FALSE(m_limits.maySend(m_endpoint.m_id, Start + Seconds(5)));
    EXPECT_TRUE(m_limits.maySend(m_endpoint.m_id, Start + Millis(5'300)));
}

TEST(EndpointLimitsCellTest, EndpointThatAllCellsUseGetsRequestsFromOneCellOnly)
{
    size_t senders = 0;
    for (uint32_t cell = 0; cell < 8; ++cell) {
        EndpointLimits limits;
        limits.setGroup({ VmId("front-1"), {}, 1, true, { cell, 8 } }, Start);
        limits.noteTold(limitedEndpoint(), true, 1.0, Start);
        senders += limits.maySend(limitedEndpoint().m_id, Start) ? 1 : 0;
    }
    EXPECT_EQ(senders, 1u);
}

} // namespace
} // namespace stackquay
