#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(10'000);

TEST(LongSetTest, GrowsAtOnceAndShrinksAfterADelay)
{
    LongSet set;
    EXPECT_EQ(resizeLongSet(set, 20, Start), 5u);
    TimePoint now = Start;
    for (int i = 0; i < 600; ++i) {
        now += Seconds(1);
        recordLongDemand(set, Seconds(6), now);
        resizeLongSet(set, 20, now);
    }
    EXPECT_NEAR(longDemand(set, now), 6, 0.1);
    EXPECT_EQ(set.m_size, 11u); // 6 / 0.6, rounded up, as the measured demand is slightly higher.
    now += Seconds(20);
    EXPECT_EQ(resizeLongSet(set, 20, now), 11u);
    now += Seconds(600);
    EXPECT_EQ(resizeLongSet(set, 20, now), 10u);
    EXPECT_EQ(resizeLongSet(set, 20, now), 10u);
}

TEST(LongSetTest, SizeIsStableUnderSteadyDemand)
{
    RandomEngine random(1);
    LongSet set;
    TimePoint now = Start;
    int changes = 0;
    uint32_t last = resizeLongSet(set, 20, now);
    for (int i = 0; i < 7'200; ++i) {
        now += Millis(500);
        recordLongDemand(set, Millis(1'000 + random() % 2'000), now);
        const auto size = resizeLongSet(set, 20, now);
        changes += i > 600 && size != last;
        last = size;
    }
    EXPECT_LE(changes, 6);
    EXPECT_LE(last, 9u);
}

TEST(LongSetTest, HasAtLeastOneEngineAndLeavesSomeToShortPrompts)
{
    LongSet set;
    recordLongDemand(set, Seconds(100'000), Start);
    EXPECT_EQ(resizeLongSet(set, 20, Start), 15u);
    EXPECT_EQ(resizeLongSet(set, 1, Start), 1u);
    EXPECT_EQ(resizeLongSet(set, 0, Start), 1u);
}

TEST(LongSetTest, ChangeOfSizeByOneMovesOneEngine)
{
    std::vector<EndpointId> engines;
    for (int i = 0; i < 20; ++i)
        engines.emplace_back("e" + std::to_string(i));
    const auto five = longSetMembers(engines, 5);
    const auto six = longSetMembers(engines, 6);
    int moved = 0;
    for (size_t i = 0; i < engines.size(); ++i)
        moved += five[i] != six[i];
    EXPECT_EQ(moved, 1);
}

TEST(ChunkingTest, ChunkStaysWithinTheTimeAndShrinksWithContext)
{
    auto cost = coldStartCostModel("v1");
    for (int i = 0; i < 300; ++i) {
        const auto tokens = 256 + static_cast<uint64_t>(i) * 100;
        observePrefill(cost, { tokens, 0, 0 },
                       Micros(1'000 + 20 * tokens + tokens * tokens / 5'000));
    }
    const auto early = chunkTokens(cost, { 0, 0, 0 }, Millis(100));
    const auto late = chunkTokens(cost, { 0, 200'000, 0 }, Millis(100));
    EXPECT_LT(late, early);
    EXPECT_EQ(early % PrefixBlockTokens, 0u);
    EXPECT_LE(predictPrefill(cost, { early, 0, 0 }), Millis(100));
    EXPECT_GT(predictPrefill(cost, { early + PrefixBlockTokens, 0, 0 }), Millis(100));
    EXPECT_EQ(chunkTokens(cost, { 0, 200'000, 0 }, Micros(1)), MinChunkTokens);
    EXPECT_GT(enginePriority(0, false), enginePriority(0, true));
    EXPECT_GT(enginePriority(1, true), enginePriority(0, false));
}

} // namespace
} // namespace stackquay
