#include <gtest/gtest.h>

#include "fake_objects.h"

namespace stackquay {
namespace {

class IntentStoreTest : public testing::Test
{
protected:
    IntentStoreTest()
        : m_thread("intent")
        , m_store(m_objects, m_thread.context(), quick(), RandomEngine(1), [this] { return m_now; })
    {
        m_thread.start();
    }

    void TearDown() override
    {
        m_thread.stop();
        m_thread.join();
    }

    static IntentSettings quick()
    {
        IntentSettings settings;
        settings.m_backoff = { Micros(10), Micros(100) };
        return settings;
    }

    static IntentCommit change(uint64_t expected, const std::string &id)
    {
        return { expected, ChangeId(id), "ann", "set " + id, "text of " + id, {} };
    }

    CommitResult commit(const IntentCommit &commit)
    {
        CommitResult result;
        runOn(m_thread, [&] { result = m_store.commit(commit); });
        return result;
    }

    IntentState load()
    {
        Result<IntentState> state;
        runOn(m_thread, [&] { state = m_store.load(); });
        EXPECT_TRUE(state);
        return state.value_or(IntentState{});
    }

    /// Applies @p fault to the nth write of the head only.
    void failHeadWrite(FakeFault fault, int nth = 1)
    {
        m_objects.m_faults = [fault, nth](bool write, const std::string &key) mutable {
            return write && key == IntentHeadKey && --nth == 0 ? fault : FakeFault::None;
        };
    }

    FiberThread m_thread;
    FakeObjects m_objects;
    WallTime m_now{};
    IntentStore m_store;
};

TEST_F(IntentStoreTest, CommitsInOrderAndReportsAConflict)
{
    EXPECT_EQ(load().m_revision, 0u);
    EXPECT_EQ(commit(change(0, "a")).m_revision, 1u);
    const auto lost = commit(change(0, "b"));
    EXPECT_EQ(lost.m_outcome, CommitOutcome::Conflict);
    EXPECT_EQ(lost.m_head.m_revision, 1u);
    EXPECT_EQ(commit(change(1, "b")).m_outcome, CommitOutcome::Committed);
    EXPECT_EQ(load().m_revision, 2u);
    EXPECT_EQ(load().m_snapshot, "text of b");
}

TEST_F(IntentStoreTest, TheSameChangeTwiceTakesEffectOnce)
{
    EXPECT_EQ(commit(change(0, "a")).m_revision, 1u);
    commit(change(1, "b"));
    const auto again = commit(change(2, "a"));
    EXPECT_EQ(again.m_outcome, CommitOutcome::Committed);
    EXPECT_EQ(again.m_revision, 1u);
    EXPECT_EQ(load().m_revision, 2u);
}

TEST_F(IntentStoreTest, LostResponsesAreResolved)
{
    uint64_t revision = 0;
    for (const FakeFault fault :
         { FakeFault::LostBefore, FakeFault::LostAfter, FakeFault::Delayed }) {
        failHeadWrite(fault);
        const auto result = commit(change(revision, "c" + std::to_string(revision)));
        EXPECT_EQ(result.m_outcome, CommitOutcome::Committed);
        m_objects.releaseDelayed();
        EXPECT_EQ(load().m_revision, ++revision);
    }
}

TEST_F(IntentStoreTest, AConflictIsFoundAfterALostResponse)
{
    commit(change(0, "a"));
    // Another operator's change is committed while the response to this one is lost.
    m_objects.m_faults = [this, first = true](bool write, const std::string &key) mutable {
        if (!write || key != IntentHeadKey || !first)
            return FakeFault::None;
        first = false;
        EXPECT_EQ(m_store.commit(change(1, "other")).m_outcome, CommitOutcome::Committed);
        return FakeFault::Delayed;
    };
    const auto result = commit(change(1, "mine"));
    EXPECT_EQ(result.m_outcome, CommitOutcome::Conflict);
    EXPECT_EQ(result.m_revision, 2u);
    m_objects.releaseDelayed();
    EXPECT_EQ(load().m_snapshot, "text of other");
    EXPECT_EQ(m_objects.count(IntentSnapshotPrefix), 2u);
}

TEST_F(IntentStoreTest, AnOutageBeforeTheHeadWriteIsNotWrittenAndDuringItUnknown)
{
    m_objects.m_faults = [](bool write, const std::string &) {
        return write ? FakeFault::Refused : FakeFault::None;
    };
    EXPECT_EQ(commit(change(0, "a")).m_outcome, CommitOutcome::NotWritten);
    m_objects.m_faults = [lost = false](bool write, const std::string &key) mutable {
        if (lost)
            return FakeFault::Refused;
        lost = write && key == IntentHeadKey;
        return lost ? FakeFault::LostAfter : FakeFault::None;
    };
    EXPECT_EQ(commit(change(0, "b")).m_outcome, CommitOutcome::Unknown);
    m_objects.m_faults = {};
    EXPECT_EQ(commit(change(0, "b")).m_outcome, CommitOutcome::Committed);
    EXPECT_EQ(load().m_revision, 1u);
}

TEST_F(IntentStoreTest, ARetryAfterTheRetentionIsUnknown)
{
    for (uint64_t i = 0; i < 100; ++i) {
        m_now += std::chrono::minutes(1);
        commit(change(i, "c" + std::to_string(i)));
    }
    IntentCommit early = change(100, "c0");
    early.m_age = IntentChangeRetention + Seconds(1);
    EXPECT_EQ(commit(early).m_outcome, CommitOutcome::Unknown);
    IntentCommit recent = change(100, "c95");
    recent.m_age = std::chrono::minutes(5);
    EXPECT_EQ(commit(recent).m_revision, 96u);
    EXPECT_EQ(load().m_revision, 100u);
    // Snapshots are removed together with the changes that reference them.
    EXPECT_EQ(m_objects.count(IntentSnapshotPrefix), 32u);
}

TEST_F(IntentStoreTest, OrphanedSnapshotsAreRemoved)
{
    commit(change(0, "a"));
    runOn(m_thread, [this] {
        ASSERT_TRUE(m_objects.put("intent/snapshot/00000000000000000000-lost", "x", NoObject));
        ASSERT_TRUE(m_store.removeOrphanedSnapshots());
    });
    EXPECT_EQ(m_objects.count(IntentSnapshotPrefix), 1u);
    EXPECT_EQ(load().m_revision, 1u);
}

TEST_F(IntentStoreTest, WatchReportsOnlyHigherRevisionsEvenIfCallsFail)
{
    commit(change(0, "a"));
    m_objects.m_faults = [random = RandomEngine(5)](bool write, const std::string &) mutable {
        return !write && random() % 3 == 0 ? FakeFault::Refused : FakeFault::None;
    };
    m_objects.m_pause = [] { boost::this_fiber::yield(); };
    std::vector<uint64_t> seen;
    std::promise<void> ended;
    m_thread.post([&] {
        m_store.watch(0, [&](const IntentState &state) {
            seen.push_back(state.m_revision);
            if (state.m_revision == 20)
                m_store.stop();
        });
        ended.set_value();
    });
    for (uint64_t revision = 1; revision < 20;) {
        if (commit(change(revision, "c" + std::to_string(revision))).m_outcome
            == CommitOutcome::Committed)
            ++revision;
    }
    ended.get_future().wait();
    EXPECT_EQ(seen.back(), 20u);
    EXPECT_TRUE(std::is_sorted(seen.begin(), seen.end()));
    EXPECT_EQ(std::adjacent_find(seen.begin(), seen.end()), seen.end());
}

} // namespace
} // namespace stackquay
