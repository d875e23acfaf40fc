// A daemon that joins others under load, one of them draining: who knows of whose work.

#include <gtest/gtest.h>

#include "core/decision_log.h"
#include "deployment.h"

namespace stackquay::platform {
namespace {

/// What a ledger holds, in a form that two VMs' ledgers can be compared in.
struct KnownLoad {
    std::vector<LoadPart> m_parts;
    uint32_t m_gapLimitMs = 0;
    bool m_writing = false;

    bool operator==(const KnownLoad &) const = default;
};

struct Known {
    std::map<std::pair<uint64_t, uint64_t>, KnownLoad> m_loads;
    size_t m_waiting = 0;
};

class JoinTest : public testing::Test
{
protected:
    void start(size_t daemons, size_t workers)
    {
        m_deployment->declare(1);
        for (size_t i = 0; i < workers; ++i) {
            m_deployment->addWorker("model");
            (**m_deployment->m_workers[i]).setEvents(100, Millis(22));
        }
        for (size_t i = 0; i < daemons; ++i)
            m_deployment->addDaemon();
        ASSERT_TRUE(m_deployment->awaitReady());
        ASSERT_TRUE(m_deployment->awaitPeers());
    }

    RelayDaemon &daemon(size_t index) { return *m_deployment->m_daemons[index]; }

    /// Runs @p job on the traffic thread of a daemon, and waits for it.
    void onTraffic(size_t index, const std::function<void(RelayNode &)> &job)
    {
        RelayNode &node = daemon(index).node();
        auto done = std::make_shared<std::promise<void>>();
        node.m_thread.post([&node, job, done] {
            job(node);
            done->set_value();
        });
        done->get_future().wait();
    }

    Known known(size_t index)
    {
        Known known;
        onTraffic(index, [&known](RelayNode &node) {
            for (const auto &[key, load] : node.m_ledger.loads())
                known.m_loads[{ key.m_origin, key.m_sequence }] = { load.m_parts, load.m_gapLimitMs,
                                                                    load.m_decoding };
            known.m_waiting = node.m_strictQueue.size() + node.m_longQueue.size();
        });
        return known;
    }

    size_t knownLoads(size_t index) { return known(index).m_loads.size(); }

    void beginStreams(size_t index, size_t count)
    {
        ClientRequest request;
        request.m_method = "POST";
        request.m_path = "/stream/x";
        request.m_promptTokens = 2'000;
        for (size_t i = 0; i < count; ++i) {
            request.m_id = "request-" + std::to_string(m_answers.size());
            m_answers.push_back(m_deployment->begin(request, index));
        }
    }

    /// Enters an attempt at @p parts engines, with so much time left.
    void place(size_t index, size_t parts, Duration lifetime = Seconds(10))
    {
        std::vector<LoadPart> members;
        for (size_t i = 0; i < parts; ++i)
            members.push_back({ EndpointId("i-engine-" + std::to_string(i)), 100, 20'000 });
        onTraffic(index,
                  [&](RelayNode &node) { node.place(node.nextKey(), members, 1'000, lifetime); });
    }

    std::unique_ptr<Deployment> m_deployment = std::make_unique<Deployment>();
    std::vector<std::future<ClientAnswer>> m_answers;
};

// From an incident: VMs that started while others drained knew half of what was in flight, and
// read long prompts on engines that were full.
TEST_F(JoinTest, VmThatStartsHearsWhatAllHaveInFlightAndSoOfOneThatDrains)
{
    constexpr size_t Each = 4;
    start(3, 4);
    for (const size_t index : { 0, 1, 2 })
        beginStreams(index, Each);
    ASSERT_TRUE(eventually([&] {
        const Known all = known(0);
        const auto writes = [](const auto &entry) { return entry.second.m_writing; };
        return all.m_loads.size() == 3 * Each && known(1).m_loads == all.m_loads
               && std::all_of(all.m_loads.begin(), all.m_loads.end(), writes);
    }));
    daemon(1).drain();
    std::this_thread::sleep_for(Millis(300));
    m_deployment->addDaemon();
    EXPECT_TRUE(eventually([&] { return knownLoads(3) == 3 * Each; }, Millis(1'000)))
        << "knows " << knownLoads(3) << " of " << 3 * Each;
    EXPECT_TRUE(known(3).m_loads == known(0).m_loads);

    // The one that drains still takes and still chooses: it hears of the others, and they of it.
    beginStreams(0, 1);
    EXPECT_TRUE(eventually([&] { return knownLoads(1) == 3 * Each + 1; }, Millis(300)));
    beginStreams(1, 1);
    EXPECT_TRUE(eventually([&] { return knownLoads(3) == 3 * Each + 2; }, Millis(300)));
    EXPECT_TRUE(eventually([&] { return knownLoads(0) == 3 * Each + 2; }, Millis(300)));
    for (auto &answer : m_answers)
        EXPECT_TRUE(answer.get().m_whole);
}

TEST_F(JoinTest, MoreThanADatagramHoldsIsToldWithTurnsAndWhatIsLeftOfEach)
{
    start(1, 1);
    const size_t gangs = 20;
    const size_t width = 17;
    for (size_t i = 0; i < gangs; ++i)
        place(0, width);
    place(0, 1, Millis(1'500));
    onTraffic(0, [](RelayNode &node) {
        const TimePoint now = Clock::now();
        node.announceWaiting(node.nextKey(), 1'000, { now + Seconds(5), now + Seconds(7), 700 },
                             Seconds(1));
        node.announceWaiting(node.nextKey(), 100, { now + Seconds(10), now + Seconds(1), 100 },
                             Seconds(1));
    });
    std::this_thread::sleep_for(Millis(400));
    m_deployment->addDaemon();
    const auto same = [&] {
        const Known theirs = known(0);
        const Known ours = known(1);
        return ours.m_loads == theirs.m_loads && ours.m_waiting == theirs.m_waiting;
    };
    EXPECT_TRUE(eventually(same, Millis(1'000)))
        << "knows " << knownLoads(1) << " of " << gangs + 1;
    onTraffic(1, [&](RelayNode &node) {
        const TimePoint now = Clock::now();
        // Parts of 100 ms each, of which 400 ms are over; and the one whose life ends first.
        const EndpointUses uses = node.m_ledger.uses(now);
        ASSERT_EQ(uses.count(EndpointId("i-engine-1")), 1u);
        EXPECT_LT(uses.at(EndpointId("i-engine-1")).m_prefillBacklogMs, gangs * 100.0 - 350);
        const EndpointUses later = node.m_ledger.uses(now + Millis(1'150));
        EXPECT_EQ(later.at(EndpointId("i-engine-0")).m_attempts, gangs);
        ASSERT_EQ(node.m_longQueue.size(), 1u);
        const QueuedRequest &turn = node.m_longQueue.begin()->second;
        EXPECT_EQ(turn.m_workMs, 700);
        EXPECT_LT(turn.m_latestStart, now + Millis(4'700));
        EXPECT_GT(turn.m_latestStart, now + Millis(3'000));
        EXPECT_LT(turn.m_order, now + Millis(6'700));
        EXPECT_GT(turn.m_order, now + Millis(5'000));
    });
}

TEST_F(JoinTest, WhatAVmThatIsGoneHadInFlightIsForgottenAtOnce)
{
    start(2, 1);
    place(0, 1);
    ASSERT_TRUE(eventually([&] { return knownLoads(1) == 1; }, Millis(300)));
    daemon(0).drain();
    std::this_thread::sleep_for(Millis(1'000));
    EXPECT_EQ(knownLoads(1), 1u);
    daemon(0).wait();
    EXPECT_TRUE(eventually([&] { return knownLoads(1) == 0; }, Millis(300)));
}

TEST_F(JoinTest, VmIsInTheStoreUntilItHasDrained)
{
    start(2, 1);
    ASSERT_TRUE(eventually([&] { return m_deployment->m_store->exists("stackquay-vms", "vm-1"); }));
    daemon(0).drain();
    std::this_thread::sleep_for(Millis(1'000));
    EXPECT_TRUE(m_deployment->m_store->exists("stackquay-vms", "vm-1"));
    daemon(0).wait();
    EXPECT_FALSE(m_deployment->m_store->exists("stackquay-vms", "vm-1"));
}

TEST_F(JoinTest, StoreThatIsAwayDoesNotHoldUpADrain)
{
    start(1, 1);
    beginStreams(0, 1);
    m_deployment->m_store->setMode(StoreMode::Silent);
    const TimePoint begun = Clock::now();
    daemon(0).drain();
    EXPECT_TRUE(m_answers[0].get().m_whole);
    daemon(0).wait();
    EXPECT_LT(Clock::now() - begun, Millis(3'600));
}

TEST_F(JoinTest, LeavingIsLoggedOnceByEachPeer)
{
    testing::internal::CaptureStdout();
    openDecisionLog();
    start(3, 1);
    beginStreams(1, 1);
    daemon(1).drain();
    std::this_thread::sleep_for(Millis(300));
    m_deployment->addDaemon();
    daemon(1).wait();
    m_deployment.reset();
    closeDecisionLog();
    const std::string log = testing::internal::GetCapturedStdout();
    const auto count = [&log](const std::string &text) {
        size_t found = 0;
        for (size_t at = log.find(text); at != std::string::npos; at = log.find(text, at + 1))
            ++found;
        return found;
    };
    EXPECT_EQ(count(R"("event":"peer leaves","vm":"vm-2")"), 3u); // Two, and the one that joined.
}

} // namespace
} // namespace stackquay::platform
