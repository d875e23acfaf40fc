/// Tests of the client and the intent store against the simulated platform.
#include <boost/fiber/future.hpp>
#include <gtest/gtest.h>

#include "fake_objects.h"
#include "standin/standin.h"

namespace stackquay {
namespace {

class PlatformTest : public testing::Test
{
protected:
    PlatformTest()
        : m_thread("client")
    {
        m_thread.start();
    }

    void TearDown() override
    {
        m_thread.stop();
        m_thread.join();
    }

    void withClient(const std::function<void(StoreClient &)> &use)
    {
        StoreSettings settings;
        settings.m_addresses = { m_platform.address() };
        settings.m_callTimeout = Seconds(30);
        settings.m_readsPerSecond = settings.m_writesPerSecond = 1e6;
        settings.m_burst = 1000;
        settings.m_backoff = { Micros(100), Millis(1) };
        settings.m_probe = { Millis(1), Millis(2) };
        runOn(m_thread, [&] {
            StoreClient client(m_thread.context(), settings, RandomEngine(3));
            use(client);
        });
    }

    Hosted<PlatformStandin> m_platform;
    FiberThread m_thread;
};

// Names of data centres are parts of keys: an odd one must not stand for another one's object.
TEST_F(PlatformTest, KeyWithOtherCharactersIsNoOtherKey)
{
    withClient([&](StoreClient &client) {
        ASSERT_TRUE(client.put("lease/a", "one", NoObject));
        for (const char *key : { "lease/a?b", "lease/a#b", "lease/%61", "lease/a b", "lease/a\r\nb",
                                 "lease/a\xc3\xbc" }) {
            EXPECT_FALSE(client.put(key, "two", std::nullopt)) << key;
            EXPECT_FALSE(client.remove(key, std::nullopt)) << key;
            EXPECT_FALSE(client.get(key)) << key;
        }
        const auto object = client.get("lease/a");
        ASSERT_TRUE(object);
        EXPECT_EQ(object->m_value, "one");
        for (const char *prefix : { "lease/%61", "x&prefix=lease", "lease/a#" }) {
            const auto list = client.list(prefix);
            ASSERT_TRUE(list) << prefix;
            EXPECT_TRUE(list->m_objects.empty()) << prefix;
            const auto events = client.watch(prefix, 0, Millis(10));
            ASSERT_TRUE(events) << prefix;
            EXPECT_TRUE(events->m_events.empty()) << prefix;
        }
    });
}

TEST_F(PlatformTest, ConditionalWritesListsAndWatches)
{
    withClient([&](StoreClient &client) {
        EXPECT_EQ(client.get("t/a").error().m_code, ErrorCode::NotFound);
        EXPECT_EQ(*client.put("t/a", "one", NoObject), 1u);
        EXPECT_EQ(client.put("t/a", "two", NoObject).error().m_code, ErrorCode::Conflict);
        EXPECT_EQ(*client.put("t/a", "two", 1), 2u);
        EXPECT_EQ(client.get("t/a")->m_value, "two");
        const auto list = client.list("t/");
        ASSERT_EQ(list->m_objects.size(), 1u);
        EXPECT_EQ(list->m_objects[0].m_version, 2u);
        EXPECT_TRUE(client.remove("t/a", 2));
        const auto events = client.watch("t/", list->m_sequence, Seconds(10));
        ASSERT_EQ(events->m_events.size(), 1u);
        EXPECT_TRUE(events->m_events[0].m_deleted);
        m_platform->compact();
        EXPECT_EQ(client.watch("t/", 0, Seconds(10)).error().m_code, ErrorCode::NotFound);
        EXPECT_EQ(client.counters().m_conflicts, 1u);
    });
}

TEST_F(PlatformTest, VmListIsParsed)
{
    m_platform->setVms(standin::Json::array({ { { "id", "vm1" },
                                                { "data_centre", "dc1" },
                                                { "udp", "127.0.0.1:1" },
                                                { "peer", "127.0.0.1:2" },
                                                { "http", "127.0.0.1:3" },
                                                { "state", "leaving" } } }));
    withClient([](StoreClient &client) {
        const auto vms = client.vms();
        ASSERT_EQ(vms->m_vms.size(), 1u);
        EXPECT_EQ(vms->m_vms[0].m_id, VmId("vm1"));
        EXPECT_TRUE(vms->m_vms[0].m_leaving);
    });
}

TEST_F(PlatformTest, CommitsSucceedDespiteLostRequestsAndResponses)
{
    withClient([&](StoreClient &client) {
        IntentSettings quick;
        quick.m_backoff = { Micros(100), Millis(1) };
        IntentStore intent(client, m_thread.context(), quick, RandomEngine(4));
        uint64_t revision = 0;
        for (const auto mode : { PlatformFaultMode::Ok, PlatformFaultMode::LoseAnswer,
                                 PlatformFaultMode::LoseRequest }) {
            // The fault applies to two calls: the writes of the snapshot and of the head.
            m_platform->setFault({ mode, Millis(0), 2 });
            const std::string id = "c" + std::to_string(revision);
            const auto result =
                intent.commit({ revision, ChangeId(id), "ann", "set", "text " + id, {} });
            EXPECT_EQ(result.m_outcome, CommitOutcome::Committed) << toString(result.m_error);
            EXPECT_EQ(intent.load()->m_revision, ++revision);
        }
        EXPECT_EQ(m_platform->object(IntentHeadKey)->m_version, revision);
    });
}

TEST_F(PlatformTest, AWatchResumesAfterAnOutage)
{
    withClient([&](StoreClient &client) {
        IntentSettings quick;
        quick.m_backoff = { Micros(100), Millis(1) };
        IntentStore intent(client, m_thread.context(), quick, RandomEngine(4));
        boost::fibers::promise<void> ended;
        std::vector<uint64_t> seen;
        spawnFiber([&] {
            intent.watch(0, [&](const IntentState &state) {
                seen.push_back(state.m_revision);
                if (state.m_revision == 2)
                    intent.stop();
            });
            ended.set_value();
        });
        EXPECT_EQ(intent.commit({ 0, ChangeId("a"), "ann", "set", "x", {} }).m_revision, 1u);
        while (seen.empty())
            ASSERT_TRUE(sleepFor(m_thread.context(), Millis(1)));
        m_platform->setFault({ PlatformFaultMode::Down, {}, 0 });
        while (!client.outage())
            ASSERT_TRUE(sleepFor(m_thread.context(), Millis(1)));
        EXPECT_EQ(intent.commit({ 1, ChangeId("b"), "ann", "set", "y", {} }).m_outcome,
                  CommitOutcome::NotWritten);
        m_platform->setFault({});
        while (client.outage())
            ASSERT_TRUE(sleepFor(m_thread.context(), Millis(1)));
        EXPECT_EQ(intent.commit({ 1, ChangeId("b"), "ann", "set", "y", {} }).m_revision, 2u);
        ended.get_future().wait();
        EXPECT_EQ(seen, (std::vector<uint64_t>{ 1, 2 }));
    });
}

} // namespace
} // namespace stackquay
