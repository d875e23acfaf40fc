#include "client.h"

namespace stackquay::standin {
namespace {

/// Calls go to the relay, which passes them to a service stand-in.
class FaultRelayTest : public testing::Test
{
protected:
    FaultRelayTest()
        : m_thread("relay")
        , m_relay(m_thread)
        , m_relayed(*m_relay.addTarget(m_service.address()))
        , m_admin(*m_relay.listen(Address{}))
    {
        m_thread.start();
    }

    ~FaultRelayTest() override
    {
        m_thread.stop();
        m_thread.join();
    }

    std::future<Result<HttpResponse>> start(const std::string &body = "hello")
    {
        return m_client.start(m_relayed, { "POST", "/x", {}, body });
    }

    Result<HttpResponse> call(const std::string &body = "hello") { return start(body).get(); }

    void setMode(RelayMode mode)
    {
        RelayFault fault;
        fault.m_mode = mode;
        m_relay.setFault(fault);
    }

    unsigned admin(const Json &body)
    {
        return statusOf(m_client.call(m_admin, { "POST", "/mode", {}, body.dump() }));
    }

    void awaitAccepted(uint64_t count)
    {
        while (m_relay.stats()[0].m_accepted < count)
            std::this_thread::yield();
    }

    Hosted<ServiceStandin> m_service;
    FiberThread m_thread;
    FaultRelay m_relay;
    Address m_relayed;
    Address m_admin;
    Client m_client;
};

TEST_F(FaultRelayTest, PassesBothWays)
{
    const std::string large(3'000'000, 'x');
    EXPECT_EQ(call()->m_body, "hello");
    const auto answer = call(large);
    ASSERT_TRUE(answer) << toString(answer.error());
    EXPECT_EQ(answer->m_body, large);
    EXPECT_GE(m_relay.stats()[0].m_bytesFromTarget, large.size());
}

TEST_F(FaultRelayTest, CutEndsConnectionsRefusesNewOnesAndHeals)
{
    m_service->setFault({ ServiceFaultMode::Hang, 0 });
    auto open = start();
    awaitAccepted(1);
    EXPECT_EQ(admin({ { "mode", "cut" } }), 200u);
    EXPECT_FALSE(open.get());
    m_client.run([&] {
        HttpConnection connection(m_client.thread().context());
        EXPECT_FALSE(connection.connect(m_relayed, Seconds(5)));
    });
    m_service->setFault({});
    EXPECT_EQ(admin({ { "mode", "pass" } }), 200u);
    EXPECT_EQ(statusOf(call()), 200u);
}

TEST_F(FaultRelayTest, LostAnswerWentThrough)
{
    EXPECT_EQ(admin({ { "mode", "lose_answer" }, { "count", 1 } }), 200u);
    EXPECT_FALSE(call());
    EXPECT_EQ(m_service->stats().m_total, 1u);
    EXPECT_EQ(statusOf(call()), 200u);
}

TEST_F(FaultRelayTest, ResetCutsAndTheCallDidNotArrive)
{
    setMode(RelayMode::Reset);
    EXPECT_FALSE(call());
    EXPECT_EQ(m_service->stats().m_total, 0u);
    EXPECT_EQ(m_relay.stats()[0].m_struck, 1u);
}

TEST_F(FaultRelayTest, PausedBytesArriveAfterwards)
{
    setMode(RelayMode::Pause);
    auto answer = start();
    awaitAccepted(1);
    EXPECT_EQ(m_service->stats().m_total, 0u);
    setMode(RelayMode::Pass);
    EXPECT_EQ(statusOf(answer.get()), 200u);
}

TEST_F(FaultRelayTest, HalfOpenSwallowsOneWayOrBoth)
{
    RelayFault fault;
    fault.m_mode = RelayMode::HalfOpen;
    fault.m_way = RelayWay::FromTarget;
    m_relay.setFault(fault);
    auto unanswered = start();
    while (m_service->stats().m_total == 0)
        std::this_thread::yield();
    fault.m_way = RelayWay::Both;
    m_relay.setFault(fault);
    auto swallowed = start();
    awaitAccepted(2);
    setMode(RelayMode::Reset);
    EXPECT_FALSE(unanswered.get());
    EXPECT_FALSE(swallowed.get());
    EXPECT_EQ(m_service->stats().m_total, 1u);
}

TEST_F(FaultRelayTest, DelayHoldsEachWay)
{
    RelayFault fault;
    fault.m_mode = RelayMode::Delay;
    fault.m_delay = Millis(20);
    m_relay.setFault(fault);
    const TimePoint begin = Clock::now();
    EXPECT_EQ(statusOf(call()), 200u);
    EXPECT_GE(Clock::now() - begin, Millis(40));
}

TEST_F(FaultRelayTest, DatagramsPassAndAreLostOneWay)
{
    namespace asio = boost::asio;
    asio::io_context context;
    asio::ip::udp::socket target(context, *toUdp(Address{}));
    asio::ip::udp::socket sender(context, *toUdp(Address{}));
    FiberThread thread("udp");
    FaultRelay relay(thread);
    const Address relayed = *relay.addUdpTarget(fromUdp(target.local_endpoint()));
    thread.start();
    char buffer[16] = {};
    asio::ip::udp::endpoint seen;
    sender.send_to(asio::buffer("one", 3), *toUdp(relayed));
    EXPECT_EQ(target.receive_from(asio::buffer(buffer), seen), 3u);
    target.send_to(asio::buffer("four", 4), seen);
    EXPECT_EQ(sender.receive(asio::buffer(buffer)), 4u);
    RelayFault fault;
    fault.m_mode = RelayMode::HalfOpen;
    fault.m_way = RelayWay::ToTarget;
    relay.setFault(fault);
    sender.send_to(asio::buffer("lost", 4), *toUdp(relayed));
    while (relay.stats()[0].m_struck == 0)
        std::this_thread::yield();
    target.send_to(asio::buffer("seven!!", 7), seen);
    EXPECT_EQ(sender.receive(asio::buffer(buffer)), 7u);
    EXPECT_EQ(target.available(), 0u);
    thread.stop();
    thread.join();
}

TEST_F(FaultRelayTest, BadModesAreRefused)
{
    EXPECT_EQ(admin({ { "mode", "nonsense" } }), 400u);
    EXPECT_EQ(admin({ { "mode", "cut" }, { "target", 7 } }), 400u);
    EXPECT_EQ(admin({ { "mode", "half_open" }, { "way", "sideways" } }), 400u);
    EXPECT_EQ(statusOf(call()), 200u);
}

} // namespace
} // namespace stackquay::standin
