#include <future>
#include <thread>

#include <gtest/gtest.h>

#include "net/net.h"

namespace stackquay {
namespace {

TEST(MemoryBudgetTest, TakesUpToItsLimitAndNothingBeyond)
{
    MemoryBudget budget(100);
    EXPECT_TRUE(budget.take(60));
    EXPECT_FALSE(budget.take(41));
    EXPECT_EQ(budget.used(), 60u);
    EXPECT_TRUE(budget.take(40));
    budget.giveBack(100);
    EXPECT_EQ(budget.used(), 0u);
    EXPECT_FALSE(budget.take(SIZE_MAX));
}

TEST(MemoryBudgetTest, HoldKeepsWhatItHasIfItCannotGrow)
{
    MemoryBudget budget(100);
    MemoryHold first(budget);
    MemoryHold second(budget);
    EXPECT_TRUE(first.resize(70));
    EXPECT_TRUE(second.resize(30));
    EXPECT_FALSE(second.resize(31));
    EXPECT_EQ(second.bytes(), 30u);
    EXPECT_TRUE(first.resize(10));
    EXPECT_TRUE(second.resize(90));
    EXPECT_EQ(budget.used(), 100u);
}

TEST(MemoryBudgetTest, DestroyedHoldGivesBack)
{
    MemoryBudget budget(100);
    {
        MemoryHold hold(budget);
        EXPECT_TRUE(hold.resize(100));
    }
    EXPECT_EQ(budget.used(), 0u);
}

// Small requests do not compete with large ones.
TEST(MemoryBudgetTest, AllowanceIsFreeOfCharge)
{
    MemoryBudget budget(100);
    MemoryHold large(budget);
    EXPECT_TRUE(large.resize(100));
    MemoryHold small(budget, 16);
    EXPECT_TRUE(small.resize(16));
    EXPECT_EQ(small.charged(), 0u);
    EXPECT_FALSE(small.resize(17));
    large.release();
    EXPECT_TRUE(small.resize(17));
    EXPECT_EQ(budget.used(), 1u);
    EXPECT_TRUE(small.resize(3));
    EXPECT_EQ(budget.used(), 0u);
}

TEST(MemoryBudgetTest, CountsOfSeveralThreadsAddUp)
{
    constexpr size_t Limit = 1'000;
    MemoryBudget budget(Limit);
    std::atomic<bool> exceeded{ false };
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            MemoryHold hold(budget);
            for (size_t round = 0; round < 10'000; ++round) {
                hold.resize(round % 400);
                exceeded = exceeded || budget.used() > Limit;
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    EXPECT_FALSE(exceeded);
    EXPECT_EQ(budget.used(), 0u);
}

TEST(ClientConnectionsTest, OnlyConnectionsThatWaitForTheirClientsGiveWay)
{
    constexpr Duration Long = Seconds(100);
    EXPECT_TRUE(mayGiveWay(ConnectionPhase::Reading, Long));
    EXPECT_TRUE(mayGiveWay(ConnectionPhase::Writing, Long));
    EXPECT_FALSE(mayGiveWay(ConnectionPhase::Serving, Long));
    EXPECT_FALSE(mayGiveWay(ConnectionPhase::Idle, Long));
    // A lost packet takes some hundred milliseconds.
    EXPECT_FALSE(mayGiveWay(ConnectionPhase::Reading, Millis(300)));
    EXPECT_FALSE(mayGiveWay(ConnectionPhase::Writing, Millis(300)));
    EXPECT_TRUE(mayGiveWay(ConnectionPhase::Discarding, Duration::zero()));
}

/// A server with a budget of its own, and a client.
class ServerMemoryTest : public testing::Test
{
protected:
    static constexpr size_t BudgetBytes = 256 * 1024;

    ServerMemoryTest()
    {
        const auto bound = m_server.listen(Address{});
        m_address = *bound;
        m_serverThread.start();
        m_clientThread.start();
    }

    ~ServerMemoryTest() override
    {
        m_clientThread.stop();
        m_clientThread.join();
        m_serverThread.stop();
        m_serverThread.join();
    }

    Result<HttpResponse> post(size_t bytes)
    {
        std::promise<Result<HttpResponse>> answer;
        m_clientThread.post([&] {
            HttpPool pool(m_clientThread.context());
            answer.set_value(
                pool.call(m_address, { "POST", "/", {}, std::string(bytes, 'a') }, { Seconds(5) }));
        });
        return answer.get_future().get();
    }

    FiberThread m_serverThread{ "server" };
    FiberThread m_clientThread{ "client" };
    MemoryBudget m_budget{ BudgetBytes };
    ClientConnections m_connections{ m_serverThread, m_budget };
    HttpServer m_server{ m_serverThread,
                         [](HttpExchange &exchange) {
                             exchange.respond({ 200, {}, exchange.request().m_body });
                         },
                         {},
                         &m_connections };
    Address m_address;
};

TEST_F(ServerMemoryTest, BodyBeyondTheBudgetIsRefusedAndTheRefusalArrives)
{
    const auto refused = post(2 * BudgetBytes);
    ASSERT_TRUE(refused) << toString(refused.error());
    EXPECT_EQ(refused->m_status, 503u);
    EXPECT_EQ(findHeader(refused->m_headers, "Retry-After"), "1");
    EXPECT_EQ(m_connections.counters().m_refusedForMemory, 1u);
    const auto served = post(BudgetBytes / 2);
    ASSERT_TRUE(served);
    EXPECT_EQ(served->m_status, 200u);
    EXPECT_EQ(served->m_body.size(), BudgetBytes / 2);
}

TEST_F(ServerMemoryTest, SmallRequestsAreServedWhileTheBudgetIsUsedUp)
{
    MemoryHold all(m_budget);
    ASSERT_TRUE(all.resize(BudgetBytes));
    const auto small = post(800);
    ASSERT_TRUE(small);
    EXPECT_EQ(small->m_status, 200u);
    const auto large = post(BudgetBytes / 2);
    ASSERT_TRUE(large);
    EXPECT_EQ(large->m_status, 503u);
}

TEST_F(ServerMemoryTest, NothingIsHeldAfterTheAnswers)
{
    for (const size_t bytes : { size_t(10), size_t(20'000), BudgetBytes / 2, 2 * BudgetBytes })
        ASSERT_TRUE(post(bytes));
    const TimePoint until = Clock::now() + Seconds(5);
    while (m_budget.used() > 0 && Clock::now() < until)
        std::this_thread::sleep_for(Millis(5));
    EXPECT_EQ(m_budget.used(), 0u);
}

} // namespace
} // namespace stackquay
