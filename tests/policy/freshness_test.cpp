#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(1'000);

TEST(FreshnessTest, ProofHoldsForItsVersionAndBound)
{
    const FreshnessProof proof{ 7, Start };
    EXPECT_TRUE(freshEnough(proof, 7, Seconds(4), Start + Seconds(4)));
    EXPECT_FALSE(freshEnough(proof, 7, Seconds(4), Start + Seconds(4) + Millis(1)));
    EXPECT_FALSE(freshEnough(proof, 6, Seconds(4), Start));
    EXPECT_FALSE(freshEnough({}, 0, Seconds(4), Start));
}

TEST(FreshnessTest, HigherVersionGoesBeforeLaterMoment)
{
    const FreshnessProof older{ 7, Start + Seconds(9) };
    const FreshnessProof newer{ 8, Start };
    EXPECT_EQ(betterProof(older, newer).m_version, 8u);
    EXPECT_EQ(betterProof(newer, older).m_provedAt, Start);
    const FreshnessProof later{ 8, Start + Seconds(1) };
    EXPECT_EQ(betterProof(later, newer).m_provedAt, Start + Seconds(1));
}

TEST(FreshnessTest, AgeGrowsByTheWholeCall)
{
    const FreshnessProof proof = proofFromAge(3, Millis(400), Millis(50), Start);
    EXPECT_EQ(proof.m_provedAt, Start - Millis(450));
}

} // namespace
} // namespace stackquay
