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
        std::vector<RawEvent> events;
        for (size_t at = 0; at < stream.size(); at += step) {
            splitter.feed(std::string_view(stream).substr(at, step));
            while (auto event = splitter.next())
                events.push_back(*event);
        }
        ASSERT_EQ(events.size(), 4u) << step;
        EXPECT_EQ(events[0].m_id, 1u);
        EXPECT_FALSE(events[1].m_id);
        EXPECT_EQ(events[2].m_id, 2u);
        std::string joined;
        for (const RawEvent &event : events)
            joined += event.m_bytes;
        EXPECT_EQ(joined, stream);
        EXPECT_TRUE(splitter.empty());
    }
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
