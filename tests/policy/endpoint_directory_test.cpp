#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

EndpointDirectory directory(uint64_t revision, const std::vector<std::string> &ids,
                            const std::vector<std::string> &doubtful = {})
{
    EndpointDirectory made;
    made.m_position = { 1, revision };
    for (const std::string &id : ids)
        made.m_endpoints[EndpointId(id)].m_id = EndpointId(id);
    for (const std::string &id : doubtful)
        made.m_unconfirmed.insert(EndpointId(id));
    return made;
}

bool has(const EndpointDirectory &directory, const std::string &id)
{
    return directory.m_endpoints.count(EndpointId(id)) > 0;
}

TEST(EndpointDirectoryTest, LaterRevisionReplaces)
{
    EndpointDirectory own = directory(5, { "a", "b" });
    EXPECT_TRUE(mergeDirectory(own, directory(6, { "b", "c" })));
    EXPECT_FALSE(has(own, "a"));
    EXPECT_TRUE(has(own, "c"));
    EXPECT_EQ(own.m_confirmedPosition.m_revision, 6u);
    EXPECT_FALSE(mergeDirectory(own, directory(6, { "a" })));
    EXPECT_FALSE(has(own, "a"));
}

// After an outage, a VM keeps endpoints that are missing from the listing as unconfirmed, since the
// store may have lost them. The complete directory of a peer without an outage settles it.
TEST(EndpointDirectoryTest, CompletePeerSettlesUnconfirmedEndpoints)
{
    EndpointDirectory own = directory(20, { "a", "b" }, { "a" });
    own.m_confirmedPosition = { 1, 10 };
    EXPECT_FALSE(mergeDirectory(own, directory(9, { "b" }))); // May predate "a".
    EXPECT_TRUE(mergeDirectory(own, directory(15, { "b" })));
    EXPECT_FALSE(has(own, "a"));
    EXPECT_TRUE(own.isConfirmed());
    EXPECT_EQ(own.m_confirmedPosition.m_revision, 20u);
}

TEST(EndpointDirectoryTest, IncompletePeerLeavesEndpointsUnconfirmed)
{
    EndpointDirectory own = directory(20, { "a", "b" }, { "a" });
    EndpointDirectory started = directory(20, { "b" });
    started.m_complete = false;
    EXPECT_FALSE(mergeDirectory(own, started));
    EXPECT_TRUE(has(own, "a"));
    started.m_position = { 1, 21 };
    EXPECT_TRUE(mergeDirectory(own, started));
    EXPECT_TRUE(has(own, "a"));
    EXPECT_FALSE(own.isConfirmed());
}

// The failure: a VM that started beside others kept the incomplete directory that it received
// first. Once it read the store itself, all others kept a removed endpoint as unconfirmed, and used
// it.
TEST(EndpointDirectoryTest, ConfirmedPeerOfTheSamePositionCompletesTheDirectory)
{
    EndpointDirectory own;
    EndpointDirectory started = directory(20, { "a" });
    started.m_complete = false;
    EXPECT_TRUE(mergeDirectory(own, started));
    EXPECT_FALSE(own.isConfirmed());
    EXPECT_TRUE(mergeDirectory(own, directory(20, { "a" })));
    EXPECT_TRUE(own.isConfirmed());
    EXPECT_EQ(own.m_confirmedPosition.m_revision, 20u);
    EXPECT_FALSE(mergeDirectory(own, directory(20, { "a" })));
}

TEST(EndpointDirectoryTest, MergeTakesOverUnconfirmedEndpoints)
{
    EndpointDirectory own = directory(5, { "a", "b" });
    EXPECT_TRUE(mergeDirectory(own, directory(20, { "a", "b" }, { "a" })));
    EXPECT_FALSE(own.isConfirmed());
    EXPECT_EQ(own.m_confirmedPosition.m_revision, 0u); // Not recorded for revision 5.
}

// The failure: a VM that came back from a cut listed the store, kept an endpoint that had left
// meanwhile as unconfirmed, and all others, which knew that it had left, used it again.
TEST(EndpointDirectoryTest, DoubtOfAReturningPeerDoesNotRestoreAnEndpointThatLeft)
{
    EndpointDirectory own = directory(20, { "b" });
    updateConfirmedPosition(own);
    EndpointDirectory returned = directory(30, { "a", "b", "c" }, { "a" });
    returned.m_confirmedPosition = { 1, 10 };
    EXPECT_TRUE(mergeDirectory(own, returned));
    EXPECT_FALSE(has(own, "a"));
    EXPECT_TRUE(has(own, "c"));
    EXPECT_TRUE(own.isConfirmed());
}

// Only knowledge that is not older than the peer's settles it: the endpoint may have registered
// after it. The same if this VM may have missed endpoints.
TEST(EndpointDirectoryTest, DoubtOfAPeerThatKnewMoreIsKept)
{
    EndpointDirectory returned = directory(30, { "a", "b" }, { "a" });
    returned.m_confirmedPosition = { 1, 21 };
    EndpointDirectory older = directory(20, { "b" });
    EXPECT_TRUE(mergeDirectory(older, returned));
    EXPECT_TRUE(has(older, "a"));
    EXPECT_FALSE(older.isConfirmed());
    EndpointDirectory incomplete = directory(22, { "b" });
    incomplete.m_complete = false;
    EXPECT_TRUE(mergeDirectory(incomplete, returned));
    EXPECT_TRUE(has(incomplete, "a"));
}

TEST(EndpointDirectoryTest, IncompleteFirstSnapshotStaysIncomplete)
{
    EndpointDirectory own;
    EndpointDirectory started = directory(3, { "a" });
    started.m_complete = false;
    EXPECT_TRUE(mergeDirectory(own, started));
    EXPECT_FALSE(own.m_complete);
}

// A store that was restored from a backup assigns revisions again.
TEST(EndpointDirectoryTest, LowerRevisionOfALaterEraReplaces)
{
    EndpointDirectory own = directory(1'000, { "a", "b" });
    EndpointDirectory restored = directory(900, { "b", "c" });
    restored.m_position.m_era = 2;
    EXPECT_TRUE(mergeDirectory(own, restored));
    EXPECT_TRUE(has(own, "c"));
    EXPECT_FALSE(has(own, "a"));
    EXPECT_FALSE(mergeDirectory(own, directory(1'001, { "a" })));
    EXPECT_FALSE(has(own, "a"));
}

EndpointRecord process(const std::string &id, uint64_t startedMs)
{
    EndpointRecord record;
    record.m_id = EndpointId(id);
    record.m_startedMs = startedMs;
    return record;
}

// A recently started VM may miss endpoints, but an unreadable entry exists in the store: its
// endpoint is removed.
TEST(EndpointDirectoryTest, UnreadableEntryInAnIncompleteDirectoryRemovesTheEndpoint)
{
    EndpointDirectory own = directory(5, { "a", "b", "c" });
    EndpointDirectory offered = directory(6, { "a" });
    offered.m_complete = false;
    offered.m_unreadable.insert(EndpointId("b"));
    EXPECT_TRUE(mergeDirectory(own, offered));
    EXPECT_FALSE(has(own, "b"));
    EXPECT_TRUE(has(own, "c"));
}

// A delayed write of an exited process may have a later revision than the record of its successor.
TEST(EndpointDirectoryTest, EarlierProcessUnderTheSameIdIsIgnored)
{
    EndpointDirectory own = directory(5, { "a" });
    own.m_endpoints[EndpointId("a")] = process("a", 2'000);
    EndpointDirectory offered = directory(6, { "a", "b" });
    offered.m_endpoints[EndpointId("a")] = process("a", 1'000);
    EXPECT_TRUE(mergeDirectory(own, offered));
    EXPECT_EQ(own.m_endpoints.at(EndpointId("a")).m_startedMs, 2'000u);
    EXPECT_TRUE(has(own, "b"));
    offered.m_position = { 1, 7 };
    offered.m_endpoints[EndpointId("a")] = process("a", 3'000);
    EXPECT_TRUE(mergeDirectory(own, offered));
    EXPECT_EQ(own.m_endpoints.at(EndpointId("a")).m_startedMs, 3'000u);
}

TEST(EndpointDirectoryTest, FindsRestartedEndpoints)
{
    EndpointDirectory before = directory(5, { "a", "b", "c" });
    EndpointDirectory now = directory(6, { "a", "b" });
    before.m_endpoints[EndpointId("a")] = process("a", 1'000);
    now.m_endpoints[EndpointId("a")] = process("a", 1'001);
    const auto restarted = restartedSince(before, now);
    ASSERT_EQ(restarted.size(), 1u);
    EXPECT_EQ(restarted[0], process("a", 1'001));
    EXPECT_TRUE(isEarlierProcess(now, process("a", 1'000)));
    EXPECT_FALSE(isEarlierProcess(now, process("a", 1'001)));
    EXPECT_FALSE(isEarlierProcess(now, process("c", 1'000)));
}

} // namespace
} // namespace stackquay
