// All VMs of a fleet learn of changes from one VM, which loses its connection to the store. The
// failure: the others sent requests to removed endpoints, and by replaced routes, up to some
// seconds after the bound for changes.

#include <gtest/gtest.h>

#include "deployment.h"
#include "standin/fault_relay.h"

namespace stackquay::platform {
namespace {

/// As applyMs and drainMs of the users' settings.
constexpr Millis ChangeBound{ 2'000 };

struct Loss {
    const char *m_name;
    standin::RelayMode m_mode;
    standin::RelayWay m_way;
};

std::ostream &operator<<(std::ostream &out, const Loss &loss)
{
    return out << loss.m_name;
}

constexpr Loss Cut{ "Cut", standin::RelayMode::HalfOpen, standin::RelayWay::Both };
constexpr Loss Losses[] = {
    Cut,
    { "OpenConnectionsSilent", standin::RelayMode::Silence, standin::RelayWay::Both },
    { "AnswersLost", standin::RelayMode::HalfOpen, standin::RelayWay::FromTarget },
    { "CallsLost", standin::RelayMode::HalfOpen, standin::RelayWay::ToTarget },
    { "Reset", standin::RelayMode::Reset, standin::RelayWay::Both },
};

class StoreLossTest : public testing::Test
{
protected:
    StoreLossTest()
        : m_relayThread("relay")
        , m_relay(m_relayThread)
    {
        const auto address = m_relay.addTarget(m_deployment.m_store.address());
        m_relayedStore = address.value_or(Address{});
        m_relayThread.start();
    }

    ~StoreLossTest() override
    {
        m_relayThread.stop();
        m_relayThread.join();
    }

    /// The first daemons reach the store through the relay, and the very first watches it.
    void start(size_t daemons, size_t relayed = 1)
    {
        m_relayed = relayed;
        m_deployment.declare(1);
        m_deployment.addWorker("plain");
        for (size_t i = 0; i < daemons; ++i) {
            m_deployment.addDaemon(i < relayed ? std::optional<Address>(m_relayedStore)
                                               : std::nullopt);
            ASSERT_TRUE(m_deployment.awaitReady());
        }
        ASSERT_TRUE(m_deployment.awaitPeers());
        ASSERT_TRUE(eventually([this] { return watchesStore(0); }));
        // Until the fleet has settled: see PeerLearningTime and WatcherHandover.
        std::this_thread::sleep_for(Millis(2'500));
        ASSERT_TRUE(watchesStore(0));
    }

    bool watchesStore(size_t daemon)
    {
        RelayNode &node = m_deployment.m_daemons[daemon]->node();
        std::promise<bool> watches;
        node.m_thread.post([&] { watches.set_value(node.m_watchesStore); });
        return watches.get_future().get();
    }

    RelayViewPtr view(size_t daemon)
    {
        return m_deployment.m_daemons[daemon]->node().m_view.load();
    }

    void awaitRead()
    {
        const TimePoint proved = view(0)->m_proof.m_provedAt;
        ASSERT_TRUE(eventually([&] { return view(0)->m_proof.m_provedAt > proved; }));
    }

    void loseStore(const Loss &loss)
    {
        standin::RelayFault fault;
        fault.m_mode = loss.m_mode;
        fault.m_way = loss.m_way;
        m_relay.setFault(fault);
        std::this_thread::sleep_for(Millis(10));
    }

    void removeWorker()
    {
        m_deployment.m_store->remove("servers", (**m_deployment.m_workers[0]).id());
    }

    /// Whether all VMs that still reach the store know these routes, and as many endpoints that
    /// take work.
    bool othersKnow(uint64_t version, size_t endpoints)
    {
        for (size_t i = m_relayed; i < m_deployment.m_daemons.size(); ++i) {
            if (view(i)->m_routes->m_version != version
                || m_deployment.poolSize("plain", i) != endpoints)
                return false;
        }
        return true;
    }

    FiberThread m_relayThread;
    standin::FaultRelay m_relay;
    Address m_relayedStore;
    Deployment m_deployment;
    size_t m_relayed = 0;
};

class StoreLossKindTest : public StoreLossTest, public testing::WithParamInterface<Loss>
{ };

// The loss right after a read is the worst case.
TEST_P(StoreLossKindTest, RoutesAndRemovalAreKnownInTime)
{
    start(3);
    awaitRead();
    loseStore(GetParam());
    m_deployment.declare(2);
    removeWorker();
    EXPECT_TRUE(eventually([this] { return othersKnow(2, 0); }, ChangeBound));
}

TEST_P(StoreLossKindTest, RemovalAloneIsKnownInTimeByTheOneThatIsLeft)
{
    start(2);
    awaitRead();
    loseStore(GetParam());
    removeWorker();
    EXPECT_TRUE(eventually([this] { return othersKnow(1, 0); }, ChangeBound));
}

// The second VM of the store watchers' order is cut off with the first.
TEST_F(StoreLossTest, ChangesAreKnownInTimeIfTheNextVmIsCutOffToo)
{
    start(4, 2);
    awaitRead();
    loseStore(Cut);
    m_deployment.declare(2);
    removeWorker();
    EXPECT_TRUE(eventually([this] { return othersKnow(2, 0); }, ChangeBound));
}

TEST_F(StoreLossTest, LossJustBeforeTheNextReadIsNoticedInTime)
{
    start(8);
    awaitRead();
    std::this_thread::sleep_for(Millis(650));
    loseStore(Cut);
    m_deployment.declare(2);
    removeWorker();
    EXPECT_TRUE(eventually([this] { return othersKnow(2, 0); }, ChangeBound));
}

// The watcher's reads succeed, but its watches deliver nothing.
TEST_F(StoreLossTest, RemovalAloneIsKnownInTimeWhileTheWatchesAreSilent)
{
    start(3);
    awaitRead();
    m_deployment.m_store->silenceWatches();
    removeWorker();
    EXPECT_TRUE(eventually([this] { return othersKnow(1, 0); }, ChangeBound));
    EXPECT_TRUE(eventually([this] { return m_deployment.poolSize("plain", 0) == 0; }, ChangeBound));
}

// VMs that have lost their source, and not the store, must not use up its rate: until a new watcher
// has listed the objects, they make less than twice the calls of the steady state.
TEST_F(StoreLossTest, FewCallsReplaceTheLostWatcher)
{
    start(8);
    const uint64_t before = m_deployment.m_store->calls();
    loseStore(Cut);
    constexpr int Span = 4;
    std::this_thread::sleep_for(Seconds(Span));
    EXPECT_LE(m_deployment.m_store->calls() - before, uint64_t(Span) * 3);
}

INSTANTIATE_TEST_SUITE_P(Losses, StoreLossKindTest, testing::ValuesIn(Losses),
                         [](const auto &tested) { return std::string(tested.param.m_name); });

} // namespace
} // namespace stackquay::platform
