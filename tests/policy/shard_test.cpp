#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

TEST(ShardTest, CountCoversTheEngines)
{
    EXPECT_EQ(shardCount(0), 1u);
    EXPECT_EQ(shardCount(16), 1u);
    EXPECT_EQ(shardCount(17), 2u);
    EXPECT_EQ(shardCount(420), 27u);
    EXPECT_NE(shardKey(DataCentreId("a"), 1), shardKey(DataCentreId("b"), 1));
}

TEST(ShardTest, OneMoreShardMovesFewEngines)
{
    int moved = 0;
    for (int i = 0; i < 1'000; ++i) {
        const EndpointId id("e" + std::to_string(i));
        moved += shardOf(id, 10) != shardOf(id, 11);
        EXPECT_LT(shardOf(id, 10), 10u);
    }
    EXPECT_GT(moved, 50);
    EXPECT_LT(moved, 140);
}

TEST(ShardTest, OrderIsWeightedBySizeAndOmitsEmptyShards)
{
    const std::vector<uint32_t> sizes = { 10, 0, 30, 20 };
    std::array<int, 4> first{};
    for (uint64_t key = 1; key <= 6'000; ++key) {
        const auto order = shardOrder(key, 0, sizes);
        ASSERT_EQ(order.size(), 3u);
        ++first[order[0]];
    }
    EXPECT_NEAR(first[0], 1'000, 150);
    EXPECT_EQ(first[1], 0);
    EXPECT_NEAR(first[2], 3'000, 150);
    EXPECT_NEAR(first[3], 2'000, 150);
}

TEST(ShardTest, WithoutAKeyTheOrderDependsOnTheSpread)
{
    const std::vector<uint32_t> sizes = { 10, 10 };
    EXPECT_EQ(shardOrder(7, 1, sizes), shardOrder(7, 2, sizes));
    int first = 0;
    for (uint64_t spread = 1; spread <= 1'000; ++spread)
        first += shardOrder(0, spread, sizes)[0] == 0;
    EXPECT_NEAR(first, 500, 80);
}

} // namespace
} // namespace stackquay
