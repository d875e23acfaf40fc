#include <condition_variable>
#include <future>
#include <mutex>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <gtest/gtest.h>

#include "peers/peers.h"

namespace stackquay {
namespace {

/// Fake of the platform's store: one text, watched by fibers of any thread.
class FakeStore
{
public:
    Result<RevisionText> load()
    {
        const std::lock_guard lock(m_mutex);
        if (m_down)
            return makeError(ErrorCode::Unavailable, "the store is down");
        return m_text;
    }

    void set(RevisionText text)
    {
        const std::lock_guard lock(m_mutex);
        m_text = std::move(text);
        m_changed.notify_all();
    }

    void setDown(bool down)
    {
        const std::lock_guard lock(m_mutex);
        m_down = down;
    }

    void watch(uint64_t above, const IntentRelayHooks::RevisionCallback &take, const bool &stopped)
    {
        std::unique_lock lock(m_mutex);
        ++m_watchers;
        for (;;) {
            m_changed.wait(lock, [&] { return stopped || (!m_down && m_text.m_revision > above); });
            if (stopped)
                break;
            above = m_text.m_revision;
            const RevisionText text = m_text;
            lock.unlock();
            take(text);
            lock.lock();
        }
        --m_watchers;
    }

    void wake()
    {
        const std::lock_guard lock(m_mutex);
        m_changed.notify_all();
    }

    std::atomic<int> m_watchers{ 0 };

private:
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
    RevisionText m_text;
    bool m_down = false;
};

class RelayVm
{
public:
    RelayVm(const std::string &id, FakeStore &store, std::vector<Address> seeds)
        : m_store(store)
        , m_thread(id)
        , m_server(m_thread)
        , m_client(m_thread.context(), {}, m_traffic)
    {
        VmInfo self;
        self.m_id = VmId(id);
        self.m_incarnation = 1;
        self.m_dataCentre = DataCentreId("dc");
        // The relay registers its handlers with the server, which must listen before peers use it.
        m_peer = reservePort();
        self.m_peer = m_peer;
        MembershipOptions options;
        options.m_probePeriod = Millis(30);
        m_membership = std::make_unique<Membership>(m_thread, self, options);
        m_relay = std::make_unique<IntentRelay>(m_thread, *m_membership, m_server, m_client,
                                                hooks(), relayOptions());
        EXPECT_TRUE(m_server.listen(m_peer));
        m_membership->onChange([this](const MemberListPtr &list) {
            m_relay->membersChanged(list);
            const std::lock_guard lock(m_mutex);
            m_list = list;
            m_changed.notify_all();
        });
        m_udp = *m_membership->start(Address{});
        m_membership->setSeeds(std::move(seeds));
        m_relay->start();
        m_thread.start();
    }

    ~RelayVm()
    {
        on([this] { m_stopWatch = true; });
        m_store.wake();
        m_thread.stop();
        m_thread.join();
    }

    void on(const std::function<void()> &function)
    {
        std::promise<void> done;
        m_thread.post([&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    void awaitRevision(uint64_t revision)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return !m_applied.empty() && m_applied.back() >= revision; });
    }

    void awaitMembers(size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_list && m_list->m_vms.size() == count; });
    }

    FakeStore &m_store;
    FiberThread m_thread;
    std::shared_ptr<PeerTraffic> m_traffic = std::make_shared<PeerTraffic>();
    PeerServer m_server;
    PeerClient m_client;
    std::unique_ptr<Membership> m_membership;
    std::unique_ptr<IntentRelay> m_relay;
    Address m_peer;
    Address m_udp;
    std::vector<uint64_t> m_applied;

private:
    /// A free port; a peer's port has to be known before its server listens.
    static Address reservePort()
    {
        boost::asio::io_context context;
        const boost::asio::ip::tcp::acceptor acceptor(context, *toTcp(Address{}));
        return { "127.0.0.1", acceptor.local_endpoint().port() };
    }

    static IntentRelayOptions relayOptions()
    {
        IntentRelayOptions options;
        options.m_roleCheckInterval = Millis(50);
        return options;
    }

    IntentRelayHooks hooks()
    {
        IntentRelayHooks hooks;
        hooks.m_load = [this] { return m_store.load(); };
        hooks.m_watch = [this](uint64_t above, const IntentRelayHooks::RevisionCallback &take) {
            m_stopWatch = false;
            m_store.watch(above, take, m_stopWatch);
        };
        hooks.m_stopWatch = [this] {
            m_stopWatch = true;
            m_store.wake();
        };
        hooks.m_apply = [this](const RevisionText &text) -> Status {
            if (text.m_text == "broken")
                return makeError(ErrorCode::InvalidArgument, "does not parse");
            const std::lock_guard lock(m_mutex);
            m_applied.push_back(text.m_revision);
            m_changed.notify_all();
            return {};
        };
        return hooks;
    }

    bool m_stopWatch = false;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    MemberListPtr m_list;
};

TEST(IntentRelayTest, WatchersLearnFromTheStoreAndOthersFromPeers)
{
    FakeStore store;
    store.set({ 1, "first" });
    RelayVm first("vm-1", store, {});
    std::vector<std::unique_ptr<RelayVm>> others;
    for (int index = 2; index <= 5; ++index)
        others.push_back(std::make_unique<RelayVm>("vm-" + std::to_string(index), store,
                                                   std::vector{ first.m_udp }));
    first.awaitMembers(5);
    for (auto &vm : others)
        vm->awaitMembers(5);
    for (uint64_t revision = 2; revision <= 6; ++revision) {
        store.set({ revision, "text of " + std::to_string(revision) });
        first.awaitRevision(revision);
        for (auto &vm : others)
            vm->awaitRevision(revision);
    }
    first.on([&] {
        const RevisionSpread spread = first.m_relay->spread(6);
        EXPECT_EQ(spread.m_vms, 5u);
        EXPECT_TRUE(spread.m_behind.empty());
        EXPECT_EQ(first.m_relay->spread(7).m_behind.size(), 5u);
        EXPECT_EQ(first.m_relay->present().m_text, "text of 6");
        EXPECT_TRUE(first.m_relay->offer({ 4, "lower" }));
        EXPECT_EQ(first.m_relay->revision(), 6u);
    });
    for (auto &vm : others)
        EXPECT_TRUE(std::is_sorted(vm->m_applied.begin(), vm->m_applied.end()));
}

TEST(IntentRelayTest, StartsFromPeersWhileTheStoreIsDownAndIsNotReadyWithoutEither)
{
    FakeStore store;
    store.set({ 9, "text" });
    RelayVm first("vm-1", store, {});
    first.awaitRevision(9);
    store.setDown(true);
    RelayVm alone("vm-2", store, {});
    EXPECT_FALSE(alone.m_relay->ready());
    RelayVm second("vm-3", store, { first.m_udp });
    second.awaitRevision(9);
    EXPECT_FALSE(alone.m_relay->ready());
    second.on([&] { EXPECT_TRUE(second.m_relay->ready()); });
    store.setDown(false);
    store.wake();
    alone.awaitRevision(9);
}

TEST(IntentRelayTest, RevisionThatCannotBeAppliedLeavesThePresentOne)
{
    FakeStore store;
    store.set({ 1, "first" });
    RelayVm vm("vm-1", store, {});
    vm.awaitRevision(1);
    vm.on([&] {
        EXPECT_FALSE(vm.m_relay->offer({ 2, "broken" }));
        EXPECT_EQ(vm.m_relay->revision(), 1u);
        EXPECT_TRUE(vm.m_relay->offer({ 3, "mended" }));
        EXPECT_EQ(vm.m_relay->revision(), 3u);
    });
}

} // namespace
} // namespace stackquay
