/// A VM that takes most requests of its cell must not use up its own link on announcing them.

#include <future>

#include <gtest/gtest.h>

#include "platform/platform.h"
#include "relay/relay.h"

namespace stackquay {
namespace {

constexpr Millis RequestPeriod{ 8 };
constexpr Millis FirstEventAfter{ 120 };
constexpr Millis RequestLength{ 500 };
/// Until the budget that was saved before the load is spent.
constexpr Millis WarmUpTime{ 2'500 };
constexpr Millis LoadTime{ 3'000 };
/// Between the end of the load and the check of what the peers know.
constexpr Millis SettleTime{ 500 };
/// Fraction of the requests in flight that each peer knows, at least.
constexpr double MinKnown = 0.8;
/// A VM's cost must not grow with the number of VMs; the list of the peers itself does.
constexpr double MaxGrowth = 2;

struct AnnouncedLoad {
    uint64_t m_bytes = 0; ///< Sent by the VM that takes the requests.
    uint64_t m_requests = 0;
    double m_leastKnown = 1; ///< Of the requests in flight, at the peer that knows fewest.
    size_t m_mostLeft = 0; ///< Entries that a peer still has when all requests have ended.

    double bytesPerRequest() const
    {
        return static_cast<double>(m_bytes) / static_cast<double>(m_requests);
    }
};

/// The state of a VM with many requests is larger than the memory of a link's queue.
constexpr size_t StartingVms = 75;
constexpr size_t RequestsInFlight = 200;
constexpr Millis FirstPart{ 200 };
/// In that time, a fifth of what a link of 20 Mbit/s carries in it, and one VM's state.
constexpr uint64_t MaxFirstBytes = 120'000;

/// VMs that exchange load messages over loopback; the first one takes all requests.
class Fleet
{
public:
    explicit Fleet(size_t peers)
    {
        for (size_t i = 0; i <= peers; ++i) {
            m_nodes.push_back(std::make_unique<RelayNode>(
                i == 0 ? m_busy : m_others, RelaySettings{}, platform::relayDialect()));
            m_addresses.push_back(m_nodes.back()->m_loads.listen({ "127.0.0.1", 0 }).value());
        }
        for (size_t i = 0; i <= peers; ++i) {
            std::vector<Address> others = m_addresses;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
            m_nodes[i]->m_loads.setPeers(others);
        }
        m_busy.start();
        m_others.start();
    }

    ~Fleet()
    {
        for (FiberThread *thread : { &m_busy, &m_others }) {
            thread->stop();
            thread->join();
        }
    }

    AnnouncedLoad run()
    {
        AnnouncedLoad load;
        takeRequests(WarmUpTime);
        const uint64_t before = call<uint64_t>(m_busy, [] { return threadTraffic().m_sent; });
        load.m_requests = takeRequests(LoadTime);
        const auto inFlight =
            call<size_t>(m_busy, [this] { return m_nodes.front()->m_ledger.size(); });
        for (const size_t known : knownAtPeers())
            load.m_leastKnown = std::min(load.m_leastKnown, static_cast<double>(known)
                                                                / static_cast<double>(inFlight));
        std::this_thread::sleep_for(RequestLength + SettleTime);
        for (const size_t known : knownAtPeers())
            load.m_mostLeft = std::max(load.m_mostLeft, known);
        load.m_bytes = call<uint64_t>(m_busy, [] { return threadTraffic().m_sent; }) - before;
        return load;
    }

    /// Sends the state to all peers at once; what is sent within FirstPart.
    uint64_t sendStateToAll()
    {
        call<bool>(m_busy, [this] {
            RelayNode &node = *m_nodes.front();
            for (size_t i = 0; i < RequestsInFlight; ++i)
                node.m_ledger.place(node.nextKey(), { { { EndpointId("i-75648bd6a1"), 24, 5'000 } },
                                                      250,
                                                      false,
                                                      Clock::now(),
                                                      Clock::now() + Seconds(60) });
            for (size_t i = 1; i < m_addresses.size(); ++i)
                node.sendState(m_addresses[i]);
            return true;
        });
        std::this_thread::sleep_for(FirstPart);
        return call<uint64_t>(m_busy, [] { return threadTraffic().m_sent; });
    }

    /// Requests known at the peer that knows fewest.
    size_t leastKnownAtPeers()
    {
        const std::vector<size_t> known = knownAtPeers();
        return *std::min_element(known.begin(), known.end());
    }

private:
    template<typename T>
    T call(FiberThread &thread, std::function<T()> function)
    {
        std::promise<T> result;
        thread.post([&] { result.set_value(function()); });
        return result.get_future().get();
    }

    /// Takes requests at a constant rate; their number.
    uint64_t takeRequests(Duration time)
    {
        uint64_t requests = 0;
        const TimePoint until = Clock::now() + time;
        while (Clock::now() < until) {
            m_busy.post([this] { takeRequest(); });
            ++requests;
            std::this_thread::sleep_for(RequestPeriod);
        }
        return requests;
    }

    void takeRequest()
    {
        RelayNode &node = *m_nodes.front();
        const LoadKey key = node.nextKey();
        node.place(key, { { EndpointId("i-75648bd6a1"), 24, 5'000 } }, 250, Seconds(10));
        if (!sleepFor(m_busy.context(), FirstEventAfter))
            return;
        node.recordFirstEvent(key);
        if (sleepFor(m_busy.context(), RequestLength - FirstEventAfter))
            node.end(key);
    }

    std::vector<size_t> knownAtPeers()
    {
        return call<std::vector<size_t>>(m_others, [this] {
            std::vector<size_t> known;
            for (size_t i = 1; i < m_nodes.size(); ++i)
                known.push_back(m_nodes[i]->m_ledger.size());
            return known;
        });
    }

    FiberThread m_busy{ "busy" };
    FiberThread m_others{ "others" };
    std::vector<std::unique_ptr<RelayNode>> m_nodes;
    std::vector<Address> m_addresses;
};

TEST(AnnouncementTest, BytesForEachRequestDoNotGrowWithTheNumberOfVms)
{
    const AnnouncedLoad few = Fleet(8).run();
    const AnnouncedLoad many = Fleet(75).run();
    EXPECT_LE(many.bytesPerRequest(), MaxGrowth * few.bytesPerRequest());
    for (const AnnouncedLoad &load : { few, many }) {
        EXPECT_GE(load.m_leastKnown, MinKnown);
        EXPECT_EQ(load.m_mostLeft, 0u);
    }
}

TEST(AnnouncementTest, VmsThatStartTogetherAreSentTheStateOneAfterTheOther)
{
    Fleet fleet(StartingVms);
    EXPECT_LE(fleet.sendStateToAll(), MaxFirstBytes);
    const TimePoint until = Clock::now() + Seconds(5);
    while (fleet.leastKnownAtPeers() < RequestsInFlight && Clock::now() < until)
        std::this_thread::sleep_for(Millis(50));
    EXPECT_EQ(fleet.leastKnownAtPeers(), RequestsInFlight);
}

} // namespace
} // namespace stackquay
