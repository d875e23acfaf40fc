#include <future>

#include <boost/asio/write.hpp>
#include <boost/fiber/future.hpp>
#include <gtest/gtest.h>

#include "peers/peers.h"

namespace stackquay {
namespace {

struct EchoReply {
    std::string m_text;
    MSGPACK_DEFINE(m_text)
};

struct Echo {
    using Reply = EchoReply;
    static constexpr std::string_view RpcName = "echo";
    std::string m_text;
    MSGPACK_DEFINE(m_text)
};

struct Unregistered {
    using Reply = EchoReply;
    static constexpr std::string_view RpcName = "unregistered";
    int m_value = 0;
    MSGPACK_DEFINE(m_value)
};

constexpr Seconds Patience{ 30 };

class RpcTest : public testing::Test
{
protected:
    void serve(std::function<Result<EchoReply>(const Echo &)> handler, RpcLimits limits = {})
    {
        m_server = std::make_unique<PeerServer>(m_serverThread, limits);
        m_server->handle<Echo>(std::move(handler));
        const auto bound = m_server->listen(Address{});
        ASSERT_TRUE(bound) << toString(bound.error());
        m_address = *bound;
        m_serverThread.start();
        m_clientThread.start();
    }

    void on(FiberThread &thread, const std::function<void()> &function)
    {
        std::promise<void> done;
        thread.post([&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    void onClient(const std::function<void(PeerClient &)> &function)
    {
        on(m_clientThread, [&] {
            if (!m_client)
                m_client = std::make_unique<PeerClient>(m_clientThread.context(), m_clientLimits,
                                                        m_traffic);
            function(*m_client);
        });
    }

    void TearDown() override
    {
        for (FiberThread *thread : { &m_clientThread, &m_serverThread }) {
            thread->stop();
            thread->join();
        }
    }

    FiberThread m_serverThread{ "server" };
    FiberThread m_clientThread{ "client" };
    RpcLimits m_clientLimits;
    std::shared_ptr<PeerTraffic> m_traffic = std::make_shared<PeerTraffic>();
    std::unique_ptr<PeerServer> m_server;
    std::unique_ptr<PeerClient> m_client;
    Address m_address;
};

TEST_F(RpcTest, CallsShareOneConnectionAndCrossedAnswersFindTheirCaller)
{
    boost::fibers::promise<void> release;
    serve([&](const Echo &request) -> Result<EchoReply> {
        if (request.m_text == "first")
            release.get_future().wait();
        if (request.m_text == "second")
            release.set_value();
        return EchoReply{ request.m_text + "!" };
    });
    onClient([&](PeerClient &client) {
        boost::fibers::promise<void> firstDone;
        spawnFiber([&] {
            const auto reply = client.call<Echo>(m_address, { "first" }, Patience);
            ASSERT_TRUE(reply) << toString(reply.error());
            EXPECT_EQ(reply->m_text, "first!");
            firstDone.set_value();
        });
        const auto reply = client.call<Echo>(m_address, { "second" }, Patience);
        ASSERT_TRUE(reply) << toString(reply.error());
        EXPECT_EQ(reply->m_text, "second!");
        firstDone.get_future().wait();
        EXPECT_EQ(client.connections(), 1u);
    });
    EXPECT_GT(m_traffic->m_rpcBytesOut, 0u);
    EXPECT_GT(m_traffic->m_rpcBytesIn, 0u);
    EXPECT_EQ(m_traffic->m_rpcFailed, 0u);
}

TEST_F(RpcTest, ErrorsAreTyped)
{
    serve([](const Echo &) -> Result<EchoReply> {
        return makeError(ErrorCode::Conflict, "lost the race");
    });
    onClient([&](PeerClient &client) {
        const auto conflict = client.call<Echo>(m_address, { "x" }, Patience);
        ASSERT_FALSE(conflict);
        EXPECT_EQ(conflict.error().m_code, ErrorCode::Conflict);
        EXPECT_EQ(conflict.error().m_message, "lost the race");
        const auto unknown = client.call<Unregistered>(m_address, {}, Patience);
        ASSERT_FALSE(unknown);
        EXPECT_EQ(unknown.error().m_code, ErrorCode::InvalidArgument);
    });
}

TEST_F(RpcTest, TimeoutLeavesTheConnectionToOtherCalls)
{
    boost::fibers::promise<void> release;
    boost::fibers::promise<void> released;
    serve([&](const Echo &request) -> Result<EchoReply> {
        if (request.m_text == "slow") {
            release.get_future().wait();
            released.set_value();
        }
        return EchoReply{ request.m_text };
    });
    onClient([&](PeerClient &client) {
        const auto late = client.call<Echo>(m_address, { "slow" }, Millis(20));
        ASSERT_FALSE(late);
        EXPECT_EQ(late.error().m_code, ErrorCode::DeadlineExceeded);
        ASSERT_TRUE(client.call<Echo>(m_address, { "quick" }, Patience));
    });
    on(m_serverThread, [&] {
        release.set_value();
        released.get_future().wait();
    });
    // The late reply has no waiting call any more and must not affect the next call.
    onClient([&](PeerClient &client) {
        const auto reply = client.call<Echo>(m_address, { "next" }, Patience);
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->m_text, "next");
        EXPECT_EQ(client.connections(), 1u);
    });
}

TEST_F(RpcTest, RefusedAndLostConnectionsDiffer)
{
    serve([&](const Echo &) -> Result<EchoReply> {
        m_server->close();
        return EchoReply{};
    });
    onClient([&](PeerClient &client) {
        const auto lost = client.call<Echo>(m_address, { "x" }, Patience);
        ASSERT_FALSE(lost);
        EXPECT_EQ(lost.error().m_code, ErrorCode::OutcomeUnknown);
        const auto refused = client.call<Echo>(m_address, { "x" }, Patience);
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().m_code, ErrorCode::Unavailable);
    });
    EXPECT_EQ(m_traffic->m_rpcFailed, 2u);
}

TEST_F(RpcTest, OversizedAndMalformedFramesEndTheConnection)
{
    RpcLimits limits;
    limits.m_frameBytes = 1024;
    serve([](const Echo &request) -> Result<EchoReply> { return EchoReply{ request.m_text }; },
          limits);
    onClient([&](PeerClient &client) {
        const auto tooLong = client.call<Echo>(m_address, { std::string(4096, 'x') }, Patience);
        ASSERT_FALSE(tooLong);
        EXPECT_EQ(tooLong.error().m_code, ErrorCode::OutcomeUnknown);
        ASSERT_TRUE(client.call<Echo>(m_address, { "x" }, Patience));

        boost::asio::ip::tcp::socket socket(m_clientThread.context());
        boost::system::error_code error;
        socket.async_connect(*toTcp(m_address), Yield{ error });
        ASSERT_FALSE(error);
        const std::string garbage("\0\0\0\4junk", 8);
        boost::asio::async_write(socket, boost::asio::buffer(garbage), Yield{ error });
        char byte = 0;
        socket.async_read_some(boost::asio::buffer(&byte, 1), Yield{ error });
        EXPECT_TRUE(error);
    });
}

} // namespace
} // namespace stackquay
