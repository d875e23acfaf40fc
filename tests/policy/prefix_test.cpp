#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

std::string text(size_t bytes, char seed)
{
    std::string result;
    for (size_t i = 0; i < bytes; ++i)
        result.push_back(static_cast<char>('a' + (i * 7 + i / 1'000 + seed) % 26));
    return result;
}

TEST(LengthClassTest, LimitsAreInclusive)
{
    EXPECT_EQ(lengthClass(0), LengthClass::Short);
    EXPECT_EQ(lengthClass(4'096), LengthClass::Short);
    EXPECT_EQ(lengthClass(4'097), LengthClass::Medium);
    EXPECT_EQ(lengthClass(32'768), LengthClass::Medium);
    EXPECT_EQ(lengthClass(131'072), LengthClass::Long);
    EXPECT_EQ(lengthClass(131'073), LengthClass::VeryLong);
    EXPECT_EQ(estimateTokens(0), 0u);
    EXPECT_EQ(estimateTokens(5), 2u);
}

TEST(PrefixTest, BlockHashCoversAllTextUpToItsEnd)
{
    const auto prompt = text(3 * PrefixBlockBytes + 10, 0);
    const auto blocks = prefixBlocks(prompt);
    ASSERT_EQ(blocks.size(), 3u);
    for (size_t i = 0; i < blocks.size(); ++i) {
        EXPECT_EQ(blocks[i].m_number, i + 1);
        EXPECT_EQ(blocks[i].m_hash, stableHash(prompt.substr(0, (i + 1) * PrefixBlockBytes)));
        EXPECT_EQ(parseBlockName(blockName(blocks[i].m_hash)), blocks[i].m_hash);
    }
    EXPECT_FALSE(parseBlockName(""));
    EXPECT_FALSE(parseBlockName("12xy"));
}

TEST(PrefixTest, ResultDoesNotDependOnThePieces)
{
    const auto prompt = text(200'000, 1);
    PrefixHasher hasher;
    for (size_t at = 0, size = 1; at < prompt.size(); at += size, size = size * 3 % 5'001 + 1)
        hasher.update(std::string_view(prompt).substr(at, size));
    EXPECT_EQ(hasher.blocks(), prefixBlocks(prompt));
}

TEST(PrefixTest, LongestPromptHasFewSampledBlocks)
{
    const auto blocks = prefixBlocks(text(4'000'000, 2));
    EXPECT_LT(blocks.size(), 200u);
    EXPECT_GT(blocks.back().m_number * PrefixBlockTokens, 900'000u);
    PrefixHasher bounded(4);
    bounded.update(text(100'000, 2));
    EXPECT_EQ(bounded.blocks().size(), 4u);
}

TEST(PrefixTest, PromptsWithACommonPrefixShareTheAffinityKey)
{
    const auto common = text(4 * PrefixBlockBytes, 3);
    const auto one = prefixBlocks(common + text(9'000, 4));
    const auto other = prefixBlocks(common + text(5'000, 5));
    EXPECT_EQ(affinityKey(one), affinityKey(other));
    EXPECT_NE(affinityKey(one), affinityKey(prefixBlocks(text(9'000, 6))));
    EXPECT_EQ(affinityKey(prefixBlocks("tiny")), 0u);
}

TEST(PrefixIndexTest, FindsTheLongestCachedPrefix)
{
    PrefixIndex index;
    const auto common = text(40 * PrefixBlockBytes, 7);
    notePrompt(index, prefixBlocks(common));
    EXPECT_EQ(cachedTokens(index, prefixBlocks(common + text(50'000, 8))), 40 * PrefixBlockTokens);
    EXPECT_EQ(cachedTokens(index, prefixBlocks(text(50'000, 9))), 0u);
    clearIndex(index);
    EXPECT_EQ(cachedTokens(index, prefixBlocks(common)), 0u);
}

TEST(PrefixIndexTest, EvictsTheLeastRecentlyUsed)
{
    PrefixIndex index;
    index.m_capacity = 2;
    insertBlock(index, 1);
    insertBlock(index, 2);
    insertBlock(index, 1);
    insertBlock(index, 3);
    EXPECT_EQ(cachedTokens(index, { { 1, 2 } }), 0u);
    EXPECT_EQ(cachedTokens(index, { { 1, 1 } }), PrefixBlockTokens);
    eraseBlock(index, 1);
    eraseBlock(index, 1);
    EXPECT_EQ(index.m_entries.size(), 1u);
}

TEST(PrefixIndexTest, CapacityShrinksWhenTheEngineCachedLessThanExpected)
{
    PrefixIndex index;
    for (uint64_t hash = 1; hash <= 1'000; ++hash)
        insertBlock(index, hash);
    adjustCapacity(index, 2'560, 256);
    EXPECT_LT(index.m_entries.size(), 1'000u);
    EXPECT_EQ(index.m_entries.size(), index.m_lruOrder.size());
    for (int i = 0; i < 1'000; ++i)
        adjustCapacity(index, 2'560, 0);
    EXPECT_EQ(index.m_capacity, 256u);
    adjustCapacity(index, 2'560, 2'560);
    EXPECT_EQ(index.m_capacity, 257u);
}

} // namespace
} // namespace stackquay
