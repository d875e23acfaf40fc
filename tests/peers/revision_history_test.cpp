#include <gtest/gtest.h>

#include "peers/peers.h"

namespace stackquay {
namespace {

/// A text of the size and shape of a large intent.
std::string largeText(int entries, int changedEntry, int value)
{
    std::string text;
    for (int entry = 0; entry < entries; ++entry) {
        const uint64_t noise = stableHash(std::to_string(entry));
        text += "{\"id\":\"engine-" + std::to_string(entry) + "\",\"key\":\""
                + std::to_string(noise)
                + "\",\"value\":" + std::to_string(entry == changedEntry ? value : 1) + "},";
    }
    return text;
}

TEST(TextPatchTest, SmallChangeOfALargeTextIsASmallPatch)
{
    const std::string base = largeText(20'000, 0, 1);
    const std::string text = "{\"revision\":8}" + largeText(20'000, 12'345, 70);
    ASSERT_GT(base.size(), 1'000'000u);
    const auto patch = makePatch(base, text);
    ASSERT_TRUE(patch);
    EXPECT_LT(patch->size(), 2'000u);
    EXPECT_EQ(applyPatch(base, *patch).value(), text);
    EXPECT_FALSE(applyPatch("another base", *patch));
    EXPECT_FALSE(applyPatch(base, patch->substr(0, patch->size() / 2)));
    EXPECT_FALSE(applyPatch(base, "junk"));
}

TEST(TextPatchTest, LongTextsAreStoredCompressedAndShortOnesAsTheyAre)
{
    const std::string text = largeText(20'000, 0, 1);
    const std::string stored = packText(text).value();
    EXPECT_LT(stored.size(), text.size() / 2);
    EXPECT_EQ(unpackText(stored).value(), text);
    EXPECT_FALSE(unpackText(stored.substr(0, stored.size() / 2)));
    EXPECT_EQ(packText("{}").value(), "{}");
    EXPECT_EQ(unpackText("{}").value(), "{}");
}

TEST(RevisionHistoryTest, AdvancesOnlyUpwardsAndProvidesStepsToOthers)
{
    RevisionHistory leader;
    RevisionHistory follower;
    ASSERT_TRUE(leader.advance({ 3, largeText(100, 0, 1) }));
    const auto whole = leader.stepsFrom(0);
    ASSERT_TRUE(whole);
    ASSERT_TRUE(follower.advance(follower.applySteps(*whole).value()));
    for (uint64_t revision = 4; revision < 8; ++revision)
        ASSERT_TRUE(leader.advance({ revision, largeText(100, 50, int(revision)) }));
    EXPECT_FALSE(leader.advance({ 6, "lower" }));
    EXPECT_FALSE(leader.advance({ 7, "equal" }));

    const auto steps = leader.stepsFrom(3);
    ASSERT_TRUE(steps);
    EXPECT_EQ(steps->size(), 4u);
    const auto reached = follower.applySteps(*steps);
    ASSERT_TRUE(reached);
    EXPECT_EQ(reached->m_revision, 7u);
    EXPECT_EQ(reached->m_text, leader.present().m_text);

    EXPECT_EQ(leader.stepsFrom(2)->at(0).m_from, 0u) << "no steps kept: the whole text";
    RevisionHistory other;
    other.advance({ 5, "something else" });
    EXPECT_FALSE(other.applySteps(*steps)) << "steps from another revision";
    auto damaged = *steps;
    damaged.back().m_hash ^= 1;
    EXPECT_FALSE(follower.applySteps(damaged));
}

} // namespace
} // namespace stackquay
