// Several daemons before one store: what they tell each other.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "deployment.h"
#include "relay/memory_reservations.h"
#include "standin/fault_relay.h"

namespace stackquay::platform {
namespace {

/// A sound entry but for the @p value of one field.
std::string entryWithField(const std::string &field, const std::string &value)
{
    std::map<std::string, std::string> fields = {
        { "service", R"("plain")" },
        { "address", R"("127.0.0.1:9")" },
        { "zone", R"("here")" },
        { "version", R"("v1")" },
        { "slots", "8" },
        { "state", R"("ready")" },
        { "coldLeftMs", "0" },
        { "seq", "1" },
    };
    fields[field] = value;
    std::string entry;
    for (const auto &[name, text] : fields)
        entry += fmt::format("{}\"{}\":{}", entry.empty() ? "{" : ",", name, text);
    return entry + "}";
}

class FleetTest : public testing::Test
{
protected:
    FleetTest()
        : m_relayThread("relay")
        , m_relay(m_relayThread)
    {
        const auto address = m_relay.addTarget(m_deployment.m_store.address());
        m_relayedStore = address.value_or(Address{});
        m_relayThread.start();
    }

    ~FleetTest() override
    {
        m_relayThread.stop();
        m_relayThread.join();
    }

    /// The daemon at @p relayed reaches the store through the relay. The first one follows the
    /// store for the others.
    void start(size_t relayed = 1, size_t daemons = 2)
    {
        m_deployment.declare(1);
        m_deployment.addWorker("plain");
        for (size_t i = 0; i < daemons; ++i) {
            m_deployment.addDaemon(i == relayed ? std::optional<Address>(m_relayedStore)
                                                : std::nullopt);
        }
        ASSERT_TRUE(m_deployment.awaitReady());
        ASSERT_TRUE(m_deployment.awaitPeers());
    }

    void setStoreFault(standin::RelayMode mode)
    {
        standin::RelayFault fault;
        fault.m_mode = mode;
        m_relay.setFault(fault);
    }

    RelayViewPtr view(size_t daemon)
    {
        return m_deployment.m_daemons[daemon]->node().m_view.load();
    }

    /// The endpoints that the daemon knows.
    size_t known(size_t daemon) { return view(daemon)->m_directory->m_endpoints.size(); }

    /// A worker that comes while another writer has left @p entry is found by the first two
    /// daemons, which know no other endpoint than the workers.
    void expectNewWorkerIsFoundBeside(const std::string &entry)
    {
        m_deployment.m_store->put("servers", "from-another-writer", entry);
        m_deployment.addWorker("plain");
        const size_t workers = m_deployment.m_workers.size();
        EXPECT_TRUE(
            eventually([&] { return known(0) == workers && known(1) == workers; }, Seconds(2)));
    }

    /// Whether all VMs have this version and no endpoint that takes work.
    bool allKnow(uint64_t version)
    {
        for (size_t i = 0; i < m_deployment.m_daemons.size(); ++i) {
            if (view(i)->m_routes->m_version != version || !view(i)->m_pools.empty())
                return false;
        }
        return true;
    }

    /// When the process under @p id started, as a daemon knows it; zero: it knows none.
    uint64_t startOf(size_t daemon, const EndpointId &id)
    {
        const auto &endpoints = view(daemon)->m_directory->m_endpoints;
        const auto found = endpoints.find(id);
        return found == endpoints.end() ? 0 : found->second.m_startedMs;
    }

    /// How many attempts a daemon knows in flight.
    size_t knownLoads(size_t daemon)
    {
        RelayNode &node = m_deployment.m_daemons[daemon]->node();
        std::promise<size_t> size;
        node.m_thread.post([&] { size.set_value(node.m_ledger.size()); });
        return size.get_future().get();
    }

    /// How many daemons from @p first on watch the store.
    size_t watchers(size_t first)
    {
        size_t count = 0;
        for (size_t i = first; i < m_deployment.m_daemons.size(); ++i) {
            RelayNode &node = m_deployment.m_daemons[i]->node();
            std::promise<bool> watches;
            node.m_thread.post([&] { watches.set_value(node.m_watchesStore); });
            count += watches.get_future().get() ? 1 : 0;
        }
        return count;
    }

    FiberThread m_relayThread;
    standin::FaultRelay m_relay;
    Address m_relayedStore;
    Deployment m_deployment;
};

TEST_F(FleetTest, VmThatTheStoreTurnsAwayLivesOnThroughItsPeers)
{
    m_deployment.m_bounds.m_revocationTime = Millis(2'500);
    start();
    setStoreFault(standin::RelayMode::Reset);
    std::this_thread::sleep_for(m_deployment.m_bounds.m_revocationTime + Millis(500));
    EXPECT_EQ(m_deployment.call({}, 1).m_status, 200u);
    // Changes reach it too: routes, keys and endpoints.
    m_deployment.declare(2, "", R"(["key-of-two"])");
    EXPECT_TRUE(eventually([&] { return view(1)->m_routes->m_version == 2; }, Millis(1'500)));
    EXPECT_EQ(m_deployment.call({}, 1).m_status, 401u);
    ClientRequest other;
    other.m_key = "key-of-two";
    EXPECT_EQ(m_deployment.call(other, 1).m_status, 200u);
    m_deployment.describe(*m_deployment.m_workers[0], "plain", "draining");
    EXPECT_TRUE(eventually([&] { return view(1)->m_pools.empty(); }, Millis(1'800)));
}

TEST_F(FleetTest, RevokedKeyIsRefusedInTimeByAVmThatHearsNothing)
{
    m_deployment.m_bounds.m_revocationTime = Millis(2'500);
    m_deployment.declare(1);
    m_deployment.addWorker("plain");
    m_deployment.addDaemon(m_relayedStore);
    ASSERT_TRUE(m_deployment.awaitReady());
    EXPECT_EQ(m_deployment.call({}).m_status, 200u);
    setStoreFault(standin::RelayMode::HalfOpen);
    m_deployment.declare(2, "", R"(["key-of-two"])");
    std::this_thread::sleep_for(m_deployment.m_bounds.m_revocationTime);
    EXPECT_EQ(m_deployment.call({}).m_status, 503u);
}

TEST_F(FleetTest, VmsKnowWhatTheOthersHaveInFlight)
{
    start();
    auto &model = m_deployment.addWorker("model");
    model->setEvents(100, Millis(20));
    ASSERT_TRUE(eventually([&] {
        return view(0)->m_pools.count(ServiceId("model")) > 0
               && view(1)->m_pools.count(ServiceId("model")) > 0;
    }));
    ClientRequest request;
    request.m_method = "POST";
    request.m_path = "/stream/x";
    request.m_promptTokens = 2'000;
    request.m_leaveAfter = Millis(600);
    auto answer = std::async(std::launch::async, [&] { return m_deployment.call(request, 0); });
    EXPECT_TRUE(eventually([&] { return knownLoads(1) == 1; }, Millis(500)));
    answer.get();
    EXPECT_TRUE(
        eventually([&] { return knownLoads(0) == 0 && knownLoads(1) == 0; }, Millis(1'000)));
}

TEST_F(FleetTest, DeafWatchProvesNothingAndLosesNothing)
{
    start();
    // The store's watches hear nothing while the configuration changes; then its history is
    // dropped.
    m_deployment.m_store->setDeaf(true);
    m_deployment.declare(2, "", R"(["key-of-two"])");
    EXPECT_TRUE(eventually(
        [&] { return view(0)->m_routes->m_version == 2 && view(1)->m_routes->m_version == 2; },
        Millis(3'000)));
    m_deployment.m_store->remove("servers", (**m_deployment.m_workers[0]).id());
    m_deployment.m_store->compact();
    m_deployment.m_store->setDeaf(false);
    EXPECT_TRUE(eventually([&] { return view(0)->m_pools.empty() && view(1)->m_pools.empty(); },
                           Millis(3'000)));
}

TEST_F(FleetTest, RoutesNeverGoBack)
{
    start();
    m_deployment.declare(5);
    ASSERT_TRUE(eventually([&] { return view(1)->m_routes->m_version == 5; }));
    m_deployment.declare(4); // As a stale answer would show it.
    std::this_thread::sleep_for(Millis(2'500));
    EXPECT_EQ(view(0)->m_routes->m_version, 5u);
    EXPECT_EQ(view(1)->m_routes->m_version, 5u);
}

TEST_F(FleetTest, DirectoryIsKeptWhileTheStoreIsAway)
{
    start();
    // Long enough for the entries of all endpoints to lapse; they are back soon after.
    constexpr Millis Outage{ 4'000 };
    m_deployment.m_store->setMode(StoreMode::Busy);
    std::this_thread::sleep_for(Outage);
    m_deployment.m_store->remove("servers", (**m_deployment.m_workers[0]).id());
    ClientRequest open;
    open.m_path = "/public/x";
    EXPECT_EQ(m_deployment.call(open, 0).m_status, 200u);
    m_deployment.m_store->setMode(StoreMode::Up);
    std::this_thread::sleep_for(Millis(900));
    EXPECT_EQ(m_deployment.call(open, 0).m_status, 200u);
    m_deployment.describe(*m_deployment.m_workers[0], "plain");
    std::this_thread::sleep_for(Millis(2'500));
    EXPECT_EQ(m_deployment.call(open, 0).m_status, 200u);
}

TEST_F(FleetTest, ObjectsOfVmsAreWrittenAndRemoved)
{
    start();
    EXPECT_TRUE(eventually([&] {
        return m_deployment.m_store->exists("stackquay-vms", "vm-1")
               && m_deployment.m_store->exists("stackquay-vms", "vm-2");
    }));
    m_deployment.m_daemons[0]->drain();
    m_deployment.m_daemons[0]->wait();
    EXPECT_FALSE(m_deployment.m_store->exists("stackquay-vms", "vm-1"));
}

// Three VMs say that a worker broke off their answers: a VM that never asked it leaves it out.
TEST_F(FleetTest, WorkerThatBreaksOffAnswersToOthersIsLeftOut)
{
    start();
    const EndpointId id((**m_deployment.m_workers[0]).id());
    RelayNode &teller = m_deployment.m_daemons[0]->node();
    RelayNode &listener = m_deployment.m_daemons[1]->node();
    const auto ejected = [&] {
        std::promise<bool> answer;
        listener.m_thread.post(
            [&] { answer.set_value(isEjected(listener.m_ejections, id, Clock::now())); });
        return answer.get_future().get();
    };
    const auto tell = [&](uint64_t vm) {
        teller.m_thread.post([&teller, id, vm] {
            LoadMessage message{ LoadEvent::BrokenOff, { vm, 1 } };
            message.m_parts = { { id, 0, 0 } };
            teller.m_loads.send(message);
        });
        std::this_thread::sleep_for(Millis(50));
    };
    for (int i = 0; i < 5; ++i)
        tell(1);
    tell(2);
    EXPECT_FALSE(ejected());
    tell(3);
    EXPECT_TRUE(eventually(ejected, Millis(500)));
}

// A worker that starts again under its id holds nothing: not its streams, failures or connections.
TEST_F(FleetTest, WorkerThatStartsAgainUnderItsIdIsTakenForANewProcess)
{
    constexpr uint64_t Born = 1'764'700'000'000;
    start();
    const HostedWorker &worker = *m_deployment.m_workers[0];
    const EndpointId id((**m_deployment.m_workers[0]).id());
    const auto allKnowStart = [&](uint64_t born) {
        return eventually([&] { return startOf(0, id) == born && startOf(1, id) == born; },
                          Seconds(2));
    };
    m_deployment.describeProcess(worker, "plain", Born);
    ASSERT_TRUE(allKnowStart(Born));
    RelayNode &node = m_deployment.m_daemons[1]->node();
    std::promise<void> placed;
    node.m_thread.post([&] {
        node.place(node.nextKey(), { { id, 100, 1'000 } }, 1'000, Seconds(20));
        for (int i = 0; i < 2; ++i)
            recordFailure(node.m_ejections, id, FailureWeight::Strong, Clock::now());
        placed.set_value();
    });
    placed.get_future().wait();
    (**m_deployment.m_workers[0]).restart();
    m_deployment.describeProcess(worker, "plain", Born + 900);
    ASSERT_TRUE(allKnowStart(Born + 900));
    const auto forgotten = [&] {
        std::promise<bool> answer;
        node.m_thread.post([&] {
            answer.set_value(node.m_ledger.size() == 0
                             && !isEjected(node.m_ejections, id, Clock::now()));
        });
        return answer.get_future().get();
    };
    EXPECT_TRUE(eventually(forgotten, Millis(500)));
    EXPECT_EQ(m_deployment.call({}, 1).m_status, 200u);
    // What the former process wrote late names nothing.
    m_deployment.describeProcess(worker, "plain", Born);
    std::this_thread::sleep_for(Millis(700));
    EXPECT_EQ(startOf(0, id), Born + 900);
    EXPECT_EQ(startOf(1, id), Born + 900);
    m_deployment.m_store->remove("servers", id.str());
    ASSERT_TRUE(eventually([&] { return view(0)->m_pools.empty(); }, Seconds(2)));
    m_deployment.describeProcess(worker, "plain", Born);
    std::this_thread::sleep_for(Millis(500));
    EXPECT_TRUE(view(0)->m_pools.empty());
}

TEST_F(FleetTest, EntryThatTurnsBadIsGoneAndTheOthersHold)
{
    start();
    m_deployment.addWorker("plain");
    ASSERT_TRUE(eventually([&] { return known(0) == 2 && known(1) == 2; }));
    for (const char *spec : { R"("torn {")", R"({"service":"plain"})", "null" }) {
        SCOPED_TRACE(spec);
        m_deployment.m_store->put("servers", (**m_deployment.m_workers[0]).id(), spec);
        EXPECT_TRUE(eventually([&] { return known(0) == 1 && known(1) == 1; }, Seconds(2)));
        EXPECT_EQ(m_deployment.call({}, 1).m_status, 200u);
        m_deployment.describe(*m_deployment.m_workers[0], "plain");
        EXPECT_TRUE(eventually([&] { return known(0) == 2 && known(1) == 2; }, Seconds(2)));
    }
}

// The failure: one entry of another writer that is no readable JSON hid all changes among the
// endpoints, for VMs that run and for those that start, and new endpoints were never used.
TEST_F(FleetTest, UnreadableEntryHidesNoOtherEndpoint)
{
    start();
    const std::string deep = std::string(20'000, '[') + std::string(20'000, ']');
    for (const std::string &value : { std::string(R"("caf\u00e9 \ud83d")"), std::string("1e999"),
                                      std::string("\"\xff\xfe\""), deep }) {
        SCOPED_TRACE(value.substr(0, 20));
        expectNewWorkerIsFoundBeside(R"({"service":"plain","note":)" + value + "}");
    }
    const auto &unreadable = view(0)->m_directory->m_unreadable;
    EXPECT_EQ(unreadable.count(EndpointId("from-another-writer")), 1u);
    m_deployment.addDaemon();
    ASSERT_TRUE(m_deployment.awaitReady());
    EXPECT_TRUE(eventually([&] { return known(2) == m_deployment.m_workers.size(); }, Seconds(2)));
    m_deployment.m_store->remove("servers", "from-another-writer");
    EXPECT_TRUE(eventually([&] { return view(0)->m_directory->m_unreadable.empty(); }, Seconds(2)));
}

// An entry of another writer whose fields are out of their range names no endpoint, and hides none.
TEST_F(FleetTest, EntryOutOfRangeHidesNoOtherEndpoint)
{
    start();
    const std::string many = "1" + std::string(400, '0');
    for (const auto &[field, value] : std::vector<std::pair<std::string, std::string>>{
             { "address", R"("127.0.0.1:70000")" },
             { "address", R"("127.0.0.1:-1")" },
             { "address", R"("127.0.0.1:99999999999999999999")" },
             { "address", R"("300.0.0.1:80")" },
             { "slots", "18446744073709551616" },
             { "slots", "1e300" },
             { "slots", "-1" },
             { "slots", many },
             { "seq", "18446744073709551616" },
             { "coldLeftMs", many },
             { "born", "18446744073709551616" } }) {
        SCOPED_TRACE(field + " " + value.substr(0, 20));
        expectNewWorkerIsFoundBeside(entryWithField(field, value));
    }
    EXPECT_EQ(m_deployment.call({}).m_status, 200u);
}

// An order for memory that a former process held is not sent to the one that runs now.
TEST_F(FleetTest, FormerProcessOfAnEndpointIsSentNoOrder)
{
    constexpr uint64_t Born = 1'764'700'000'000;
    start();
    const HostedWorker &model = m_deployment.addWorker("model");
    const EndpointId id("worker-2");
    m_deployment.describeProcess(model, "model", Born);
    ASSERT_TRUE(eventually([&] { return startOf(0, id) == Born; }, Seconds(2)));
    RelayNode &node = m_deployment.m_daemons[0]->node();
    const EndpointRecord record = view(0)->m_directory->m_endpoints.at(id);
    std::promise<bool> reserved;
    std::promise<void> restarted;
    std::promise<void> ended;
    node.m_thread.post([&] {
        MemoryReservations tickets(node);
        const bool abandoned = false;
        reserved.set_value(tickets.reserve({ { record, 0, 1'000, true } }, abandoned).has_value());
        const auto until = restarted.get_future().share();
        while (until.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
            EXPECT_TRUE(sleepFor(node.m_thread.context(), Millis(10)));
        EXPECT_TRUE(sleepFor(node.m_thread.context(), Millis(1'500))); // Longer than one renewal.
        ended.set_value();
    });
    EXPECT_TRUE(reserved.get_future().get());
    EXPECT_EQ((**m_deployment.m_workers[1]).reservations().size(), 1u);
    (**m_deployment.m_workers[1]).restart();
    m_deployment.describeProcess(model, "model", Born + 900);
    ASSERT_TRUE(eventually([&] { return startOf(0, id) == Born + 900; }, Seconds(2)));
    restarted.set_value();
    ended.get_future().wait();
    EXPECT_TRUE((**m_deployment.m_workers[1]).reservations().empty());
}

// Two VMs in steady state: proofs of one serve the other.
TEST_F(FleetTest, StoreCallsInSteadyStateAreFew)
{
    start();
    std::this_thread::sleep_for(Millis(1'500));
    const uint64_t before = m_deployment.m_store->calls();
    constexpr int Span = 5;
    std::this_thread::sleep_for(Seconds(Span));
    const uint64_t calls = m_deployment.m_store->calls() - before;
    EXPECT_LE(calls, uint64_t(Span) * 2 * 1); // One a VM and second.
}

TEST_F(FleetTest, StoreCallsDoNotGrowWithTheVms)
{
    start(1, 5);
    std::this_thread::sleep_for(Millis(3'000));
    const uint64_t before = m_deployment.m_store->calls();
    constexpr int Span = 5;
    std::this_thread::sleep_for(Seconds(Span));
    EXPECT_LE(m_deployment.m_store->calls() - before, uint64_t(Span) * 2);
}

// The VM that followed the store for all is turned away: another one takes its place.
TEST_F(FleetTest, DutyPassesOnWhenItsHolderLosesTheStore)
{
    start(0, 3);
    std::this_thread::sleep_for(Millis(2'500));
    setStoreFault(standin::RelayMode::HalfOpen);
    m_deployment.declare(2, "", R"(["key-of-two"])");
    m_deployment.describe(*m_deployment.m_workers[0], "plain", "draining");
    constexpr Millis ChangeBound{ 2'000 };
    EXPECT_TRUE(eventually([&] { return allKnow(2); }, ChangeBound));
}

// The failure: VMs whose store watcher was killed sent requests to an endpoint up to 2.4 s after it
// had reported that it was draining.
TEST_F(FleetTest, DrainingEndpointIsKnownInTimeAfterTheStoreWatcherWasKilled)
{
    constexpr size_t Vms = 5;
    constexpr size_t Killed = 2; // The watcher, and the VM that would be the next.
    start(Vms, Vms);
    ASSERT_TRUE(eventually([this] { return view(Vms - 1)->m_pools.size() == 1; }));
    auto &daemons = m_deployment.m_daemons;
    std::sort(daemons.begin(), daemons.end(), [](const auto &left, const auto &right) {
        return left->node().m_watchesStore > right->node().m_watchesStore;
    });
    ASSERT_TRUE(daemons.front()->node().m_watchesStore);
    for (size_t i = 0; i < Killed; ++i)
        daemons.erase(daemons.begin());
    std::this_thread::sleep_for(Millis(50));
    m_deployment.describe(*m_deployment.m_workers[0], "plain", "draining");
    constexpr Millis DrainBound{ 2'000 };
    EXPECT_TRUE(eventually([this] { return allKnow(1); }, DrainBound));
}

// Each of them has to compute the same order, whatever its fraction of a core.
TEST_F(FleetTest, VmsWithAFractionOfACoreAgreeOnOneStoreWatcher)
{
    m_deployment.m_millicores = 120;
    start(0, 5);
    std::this_thread::sleep_for(Millis(2'500));
    setStoreFault(standin::RelayMode::HalfOpen);
    ASSERT_TRUE(eventually([&] { return watchers(1) > 0; }));
    std::this_thread::sleep_for(Millis(3'500));
    EXPECT_EQ(watchers(1), 1u);
}

// The part of each of the three VMs is below one retry.
TEST_F(FleetTest, VmWhoseOwnPartIsTooSmallRetriesFromThePool)
{
    m_deployment.m_bounds.m_retrySlack = 6;
    start(0, 3);
    std::this_thread::sleep_for(Millis(3'500));
    size_t granted = 0;
    for (int i = 0; i < 5; ++i) {
        RelayNode &node = m_deployment.m_daemons[2]->node();
        std::promise<bool> taken;
        node.m_thread.post([&] {
            spawnFiber([&] {
                taken.set_value(node.spendRetryBudget(ServiceId("plain"), *node.m_view.load()));
            });
        });
        granted += taken.get_future().get() ? 1 : 0;
    }
    EXPECT_GE(granted, 1u);
    EXPECT_LE(granted, 6u);
}

// Changes reach VMs that do not follow the store as fast as the news travel.
TEST_F(FleetTest, NewsReachAllAtOnce)
{
    start(1, 4);
    std::this_thread::sleep_for(Millis(2'500));
    m_deployment.declare(2);
    m_deployment.describe(*m_deployment.m_workers[0], "plain", "draining");
    EXPECT_TRUE(eventually([&] { return allKnow(2); }, Millis(500)));
}

// In a fleet of hundreds a VM plans with those of its cell, on the engines of its cell.
TEST_F(FleetTest, VmsOfALargeFleetTellTheirCellOnly)
{
    constexpr int Registered = 300;
    constexpr size_t Daemons = 6;
    constexpr size_t Engines = 16;
    for (int i = 0; i < Registered; ++i) {
        m_deployment.m_store->put("stackquay-vms", "other-" + std::to_string(i),
                                  R"({"beats":"127.0.0.1:9","data_centre":"there"})");
    }
    for (size_t i = 0; i < Engines; ++i)
        m_deployment.addWorker("model");
    m_deployment.declare(1);
    for (size_t i = 0; i < Daemons; ++i)
        m_deployment.addDaemon();
    ASSERT_TRUE(m_deployment.awaitReady());
    const auto cellOfDaemon = [](size_t index) {
        return cellViewOf(VmId("vm-" + std::to_string(index + 1)), Registered);
    };
    ASSERT_TRUE(eventually([&] {
        for (size_t i = 0; i < Daemons; ++i) {
            if (!(view(i)->m_cell == cellOfDaemon(i)))
                return false;
        }
        return true;
    }));
    EXPECT_EQ(view(0)->m_cell.m_cells, 4u);
    for (size_t i = 0; i < Daemons; ++i)
        EXPECT_EQ(view(i)->m_pools.at(ServiceId("model")).size(), Engines / 4);
    RelayNode &first = m_deployment.m_daemons[0]->node();
    const auto place = [&first] {
        first.place(first.nextKey(), { { EndpointId("e"), 100, 1'000 } }, 1'000, Seconds(20));
    };
    // Those of its cell may not have been heard yet.
    std::this_thread::sleep_for(Millis(1'500));
    first.m_thread.post(place);
    const auto isKnownInTheCellOnly = [&] {
        for (size_t i = 0; i < Daemons; ++i) {
            const size_t expected = cellOfDaemon(i) == cellOfDaemon(0) ? 1 : 0;
            if (knownLoads(i) != expected)
                return false;
        }
        return true;
    };
    EXPECT_TRUE(eventually(isKnownInTheCellOnly, Seconds(1)));
}

// VMs that start beside others ask them, and make two or three calls each: their object, the list
// of VMs, and of one that was registered before it a replacement.
TEST_F(FleetTest, VmThatStartsBesideOthersAsksThemAndNotTheStore)
{
    start(3, 3);
    std::this_thread::sleep_for(Millis(1'500));
    const uint64_t before = m_deployment.m_store->calls();
    const TimePoint begun = Clock::now();
    constexpr size_t More = 5;
    for (size_t i = 0; i < More; ++i)
        m_deployment.addDaemon();
    ASSERT_TRUE(m_deployment.awaitReady());
    const auto took = std::chrono::duration_cast<Seconds>(Clock::now() - begun).count() + 1;
    const uint64_t ofTheHolder = static_cast<uint64_t>(took) * 3;
    EXPECT_LE(m_deployment.m_store->calls() - before, More * 3 + ofTheHolder);
}

} // namespace
} // namespace stackquay::platform
