// A VM that was suspended: the steady clock counts nothing of that time.

#include <gtest/gtest.h>

#include "relayed_test.h"

namespace stackquay::platform {
namespace {

class SuspendedTest : public RelayedTest
{
protected:
    void start(Millis revoke)
    {
        m_deployment.m_bounds.m_revocationTime = revoke;
        m_deployment.declare(1);
        m_deployment.addWorker("plain");
        m_deployment.addDaemon(relayed(m_deployment.m_store.address()));
        ASSERT_TRUE(m_deployment.awaitReady());
    }

    /// Nothing of the store arrives any more.
    void cutStore()
    {
        standin::RelayFault fault;
        fault.m_mode = standin::RelayMode::HalfOpen;
        m_relay.setFault(fault);
    }
};

// With a proof that looked as young as before the suspension, a key that was taken away meanwhile
// would be admitted.
TEST_F(SuspendedTest, ProofOfBeforeItAdmitsNoKey)
{
    start(Millis(5'000));
    EXPECT_EQ(m_deployment.call({}).m_status, 200u);
    cutStore();
    EXPECT_EQ(m_deployment.call({}).m_status, 200u);
    BootClock::passSuspended(Seconds(10));
    EXPECT_EQ(m_deployment.call({}).m_status, 503u);
}

TEST_F(SuspendedTest, DeadlinesThatPassedMeanwhileEndWhatWaits)
{
    start(Millis(5'000));
    (*m_deployment.m_workers[0])->setDelay(Millis(4'000));
    ClientRequest request;
    request.m_deadline = Millis(2'400);
    auto answer = m_deployment.begin(request);
    ASSERT_TRUE(eventually([this] { return m_deployment.totalRuns() == 1; }));
    const TimePoint before = Clock::now();
    constexpr Seconds Suspended{ 30 };
    BootClock::passSuspended(Suspended);
    EXPECT_EQ(answer.get().m_status, 504u);
    EXPECT_LT(Clock::now() - before - Suspended, Millis(1'000));
}

} // namespace
} // namespace stackquay::platform
