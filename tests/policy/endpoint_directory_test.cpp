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
        made.m_doubtful.insert(EndpointId(id));
    return made;
}

bool has(const EndpointDirectory &directory, const std::string &id)
{
    return directory.m_endpoints.count(EndpointId(id)) > 0;
}

TEST(EndpointDirectoryTest, LaterRevisionReplaces)
{
    EndpointDirectory own = directory(5, { "a", "b" });
    EXPECT_TRUE(joinDirectory(own, directory(6, { "b", "c" })));
    EXPECT_FALSE(has(own, "a"));
    EXPECT_TRUE(has(own, "c"));
    EXPECT_EQ(own.m_surePosition.m_revision, 6u);
    EXPECT_FALSE(joinDirectory(own, directory(6, { "a" })));
    EXPECT_FALSE(has(own, "a"));
}

// A VM that was cut off lists, and keeps what is missing for a while: the store may have lost it.
// Peers that never lost the store know better.
TEST(EndpointDirectoryTest, SurePeerEndsDoubts)
{
    EndpointDirectory own = directory(20, { "a", "b" }, { "a" });
    own.m_surePosition = { 1, 10 };
    EXPECT_FALSE(joinDirectory(own, directory(9, { "b" }))); // From before "a" came, perhaps.
    EXPECT_TRUE(joinDirectory(own, directory(15, { "b" })));
    EXPECT_FALSE(has(own, "a"));
    EXPECT_TRUE(own.sure());
    EXPECT_EQ(own.m_surePosition.m_revision, 20u);
}

TEST(EndpointDirectoryTest, PeerThatMayMissEndpointsEndsNoDoubt)
{
    EndpointDirectory own = directory(20, { "a", "b" }, { "a" });
    EndpointDirectory started = directory(20, { "b" });
    started.m_whole = false;
    EXPECT_FALSE(joinDirectory(own, started));
    EXPECT_TRUE(has(own, "a"));
    started.m_position = { 1, 21 };
    EXPECT_TRUE(joinDirectory(own, started));
    EXPECT_TRUE(has(own, "a"));
    EXPECT_FALSE(own.sure());
}

TEST(EndpointDirectoryTest, DoubtsTravelWithTheDirectory)
{
    EndpointDirectory own = directory(5, { "a", "b" });
    EXPECT_TRUE(joinDirectory(own, directory(20, { "a", "b" }, { "a" })));
    EXPECT_FALSE(own.sure());
    EXPECT_EQ(own.m_surePosition.m_revision, 0u); // It was never told to be sure of the first.
}

TEST(EndpointDirectoryTest, FirstPictureThatMayMissEndpointsIsNotWhole)
{
    EndpointDirectory own;
    EndpointDirectory started = directory(3, { "a" });
    started.m_whole = false;
    EXPECT_TRUE(joinDirectory(own, started));
    EXPECT_FALSE(own.m_whole);
}

// A store that came back from a copy gives revisions out again.
TEST(EndpointDirectoryTest, LowerRevisionOfALaterEraReplaces)
{
    EndpointDirectory own = directory(1'000, { "a", "b" });
    EndpointDirectory returned = directory(900, { "b", "c" });
    returned.m_position.m_era = 2;
    EXPECT_TRUE(joinDirectory(own, returned));
    EXPECT_TRUE(has(own, "c"));
    EXPECT_FALSE(has(own, "a"));
    EXPECT_FALSE(joinDirectory(own, directory(1'001, { "a" })));
    EXPECT_FALSE(has(own, "a"));
}

EndpointRecord process(const std::string &id, uint64_t startedMs)
{
    EndpointRecord record;
    record.m_id = EndpointId(id);
    record.m_startedMs = startedMs;
    return record;
}

// A VM that started a moment ago may miss endpoints, but an entry that it cannot read is there.
TEST(EndpointDirectoryTest, EntryThatCannotBeReadIsGoneAlsoWherePeersMayMissEndpoints)
{
    EndpointDirectory own = directory(5, { "a", "b", "c" });
    EndpointDirectory offered = directory(6, { "a" });
    offered.m_whole = false;
    offered.m_unreadable.insert(EndpointId("b"));
    EXPECT_TRUE(joinDirectory(own, offered));
    EXPECT_FALSE(has(own, "b"));
    EXPECT_TRUE(has(own, "c"));
}

// A late write of a process that is gone may stand in a later revision of the store.
TEST(EndpointDirectoryTest, EarlierProcessUnderTheSameIdNeverComesBack)
{
    EndpointDirectory own = directory(5, { "a" });
    own.m_endpoints[EndpointId("a")] = process("a", 2'000);
    EndpointDirectory offered = directory(6, { "a", "b" });
    offered.m_endpoints[EndpointId("a")] = process("a", 1'000);
    EXPECT_TRUE(joinDirectory(own, offered));
    EXPECT_EQ(own.m_endpoints.at(EndpointId("a")).m_startedMs, 2'000u);
    EXPECT_TRUE(has(own, "b"));
    offered.m_position = { 1, 7 };
    offered.m_endpoints[EndpointId("a")] = process("a", 3'000);
    EXPECT_TRUE(joinDirectory(own, offered));
    EXPECT_EQ(own.m_endpoints.at(EndpointId("a")).m_startedMs, 3'000u);
}

TEST(EndpointDirectoryTest, TellsWhichEndpointsStartedAgain)
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
