#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

EndpointRecord record(size_t number, uint64_t startedMs = 1)
{
    EndpointRecord endpoint;
    endpoint.m_id = EndpointId("engine-" + std::to_string(number));
    endpoint.m_service = ServiceId("model");
    endpoint.m_address = "10.0.0.1:" + std::to_string(number);
    endpoint.m_startedMs = startedMs;
    return endpoint;
}

EndpointDirectory directoryOf(uint64_t revision, size_t endpoints)
{
    EndpointDirectory directory;
    directory.m_position = { 0, revision };
    for (size_t i = 0; i < endpoints; ++i)
        directory.m_endpoints[record(i).m_id] = record(i);
    return directory;
}

/// A directory that changes, and its history.
struct Sender {
    EndpointDirectory m_directory;
    DirectoryHistory m_history;

    void become(EndpointDirectory next)
    {
        recordChanges(m_history, m_directory, next);
        m_directory = std::move(next);
    }
};

TEST(DirectoryHistoryTest, PeerThatAppliesChangesHasTheSameEndpoints)
{
    RandomEngine random(5);
    Sender sender;
    sender.become(directoryOf(10, 300));
    EndpointDirectory peer = sender.m_directory;
    for (uint64_t revision = 11; revision < 400; ++revision) {
        EndpointDirectory next = sender.m_directory;
        next.m_position.m_revision = revision;
        const size_t number = random() % 320;
        if (random() % 3 == 0)
            next.m_endpoints.erase(record(number).m_id);
        else
            next.m_endpoints[record(number).m_id] = record(number, revision);
        sender.become(next);
        if (random() % 4 != 0)
            continue;
        const auto changes = changesSince(sender.m_history, sender.m_directory, peer.m_position);
        ASSERT_TRUE(changes) << revision;
        const auto endpoints = applyChanges(peer, *changes);
        ASSERT_TRUE(endpoints);
        EXPECT_EQ(*endpoints, sender.m_directory.m_endpoints);
        EXPECT_EQ(digestOf(*endpoints), sender.m_history.m_digest);
        peer.m_endpoints = *endpoints;
        peer.m_position = sender.m_directory.m_position;
    }
}

// A change costs the same whatever the number of endpoints.
TEST(DirectoryHistoryTest, SizeOfAChangeDoesNotGrowWithTheDirectory)
{
    for (const size_t endpoints : { 18, 150, 999, 1'998, 7'100 }) {
        Sender sender;
        sender.become(directoryOf(10, endpoints));
        EndpointDirectory next = sender.m_directory;
        next.m_position.m_revision = 11;
        next.m_endpoints[record(3).m_id].m_draining = true;
        sender.become(next);
        const auto changes = changesSince(sender.m_history, sender.m_directory, { 0, 10 });
        ASSERT_TRUE(changes);
        EXPECT_EQ(changes->m_changed.size(), 1u);
        EXPECT_TRUE(changes->m_removed.empty());
    }
}

TEST(DirectoryHistoryTest, HistoryThatDoesNotReachBackTellsNothing)
{
    Sender sender;
    sender.become(directoryOf(10, 5));
    sender.m_history.m_maxEndpoints = 2;
    for (uint64_t revision = 11; revision <= 14; ++revision) {
        EndpointDirectory next = sender.m_directory;
        next.m_position.m_revision = revision;
        next.m_endpoints[record(1).m_id].m_startedMs = revision;
        sender.become(next);
    }
    EXPECT_FALSE(changesSince(sender.m_history, sender.m_directory, { 0, 0 }));
    EXPECT_FALSE(changesSince(sender.m_history, sender.m_directory, { 0, 11 }));
    EXPECT_TRUE(changesSince(sender.m_history, sender.m_directory, { 0, 12 }));
}

TEST(DirectoryHistoryTest, RestoredStoreStartsTheHistoryAnew)
{
    Sender sender;
    sender.become(directoryOf(10, 5));
    EndpointDirectory restored = directoryOf(7, 4);
    restored.m_position.m_era = 1;
    sender.become(restored);
    EXPECT_FALSE(changesSince(sender.m_history, sender.m_directory, { 0, 10 }));
    EXPECT_TRUE(changesSince(sender.m_history, sender.m_directory, { 1, 7 }));
}

TEST(DirectoryHistoryTest, ChangesApplyToTheirPositionOnly)
{
    const EndpointDirectory own = directoryOf(12, 3);
    EXPECT_FALSE(applyChanges(own, { { 0, 11 }, {}, {} }));
    EXPECT_TRUE(applyChanges(own, { { 0, 12 }, {}, {} }));
}

} // namespace
} // namespace stackquay
