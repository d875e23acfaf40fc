#include <iostream>

#include <gtest/gtest.h>

#include "relay/relay.h"

namespace stackquay {
namespace {

TEST(EventSplitterTest, KeepsEveryByteForAnyChunkSize)
{
    const std::string stream = "id: 1\ndata: a\n\ndata: none\n\nid:2\r\ndata: b\r\n\r\n: c\n\n";
    for (size_t step = 1; step <= stream.size(); ++step) {
        EventSplitter splitter;
        std::vector<std::optional<uint64_t>> ids;
        std::string joined;
        for (size_t at = 0; at < stream.size(); at += step) {
            splitter.feed(std::string_view(stream).substr(at, step));
            const char *next = nullptr;
            while (auto event = splitter.next()) {
                // Events of one piece follow each other in memory, and are passed on together.
                EXPECT_TRUE(!next || event->m_bytes.data() == next);
                next = event->m_bytes.data() + event->m_bytes.size();
                ids.push_back(event->m_id);
                joined += event->m_bytes;
            }
        }
        ASSERT_EQ(ids.size(), 4u) << step;
        EXPECT_EQ(ids[0], 1u);
        EXPECT_FALSE(ids[1]);
        EXPECT_EQ(ids[2], 2u);
        EXPECT_EQ(joined, stream);
        EXPECT_TRUE(splitter.empty());
    }
}

TEST(EventSplitterTest, LongEventDoesNotKeepItsMemory)
{
    EventSplitter splitter;
    const std::string event = "data: " + std::string(500'000, 'a') + "\n\n";
    splitter.feed(event);
    ASSERT_TRUE(splitter.next());
    EXPECT_GE(splitter.capacity(), event.size());
    splitter.feed("data: a\n\n");
    ASSERT_TRUE(splitter.next());
    EXPECT_LT(splitter.capacity(), event.size() / 10);
}

TEST(EventSplitterTest, IsNotEmptyWithAnIncompleteEvent)
{
    EventSplitter splitter;
    splitter.feed("id: 1\ndata: a\n");
    EXPECT_FALSE(splitter.next());
    EXPECT_FALSE(splitter.empty());
}

/// Looking through all of an unfinished event at each piece takes seconds here.
TEST(EventSplitterTest, EndlessEventIsSearchedOnlyOnce)
{
    constexpr size_t Pieces = 40'000;
    const std::string piece = "data: 1\ndata: 2\ndata: 3\n";
    EventSplitter splitter;
    const TimePoint startedAt = Clock::now();
    for (size_t i = 0; i < Pieces; ++i) {
        splitter.feed(piece);
        ASSERT_FALSE(splitter.next());
    }
    const auto took = std::chrono::duration_cast<Millis>(Clock::now() - startedAt);
    std::cout << "[ MEASURED ] " << took.count() << " ms\n";
    EXPECT_LT(took, Seconds(1));
    EXPECT_EQ(splitter.pending(), Pieces * piece.size());
    splitter.feed("\r");
    EXPECT_FALSE(splitter.next());
    splitter.feed("\n");
    const auto event = splitter.next();
    ASSERT_TRUE(event);
    EXPECT_EQ(event->m_bytes.size(), Pieces * piece.size() + 2);
    EXPECT_TRUE(splitter.empty());
}

} // namespace
} // namespace stackquay
