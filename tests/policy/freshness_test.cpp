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

// What was acknowledged before the moment at which 7 was the newest is in 8 too.
TEST(FreshnessTest, ProofOfALowerVersionHoldsForAHigherOne)
{
    const FreshnessProof older{ 7, Start + Seconds(9) };
    const FreshnessProof newer{ 8, Start };
    for (const FreshnessProof &joined : { joinProofs(older, newer), joinProofs(newer, older) }) {
        EXPECT_EQ(joined.m_version, 8u);
        EXPECT_EQ(joined.m_provedAt, Start + Seconds(9));
    }
    EXPECT_EQ(proofFor(8, older).m_version, 8u);
    EXPECT_EQ(proofFor(8, older).m_provedAt, older.m_provedAt);
    EXPECT_FALSE(proofFor(6, older).known());
    EXPECT_FALSE(proofFor(8, {}).known());
}

// The store came back from a copy that lacks 8: that 7 is its newest says nothing of 8.
TEST(FreshnessTest, ProofOfALaterEraHoldsForNoVersionThatItLost)
{
    const FreshnessProof lost{ 8, Start, 1 };
    const FreshnessProof returned{ 7, Start + Seconds(9), 2 };
    for (const FreshnessProof &joined :
         { joinProofs(lost, returned), joinProofs(returned, lost) }) {
        EXPECT_EQ(joined.m_version, 8u);
        EXPECT_EQ(joined.m_provedAt, Start);
    }
    const FreshnessProof writtenAgain{ 8, Start + Seconds(12), 2 };
    EXPECT_EQ(joinProofs(lost, writtenAgain).m_provedAt, Start + Seconds(12));
}

TEST(FreshnessTest, AgeGrowsByTheWholeCall)
{
    const FreshnessProof proof = proofFromAge(3, 1, Millis(400), Millis(50), Start);
    EXPECT_EQ(proof.m_provedAt, Start - Millis(450));
}

// A beat that lay in the buffer of a VM that stood still for four seconds is four seconds older.
TEST(FreshnessTest, MessagesThatWaitedAreKnownByTheQuickestOne)
{
    const TimePoint theirs = TimePoint{} + Seconds(77'000);
    ArrivalClock clock;
    EXPECT_EQ(delayOf(clock, theirs, Start), Duration::zero());
    EXPECT_EQ(delayOf(clock, theirs + Seconds(1), Start + Seconds(1) - Millis(3)),
              Duration::zero());
    EXPECT_EQ(delayOf(clock, theirs + Seconds(2), Start + Seconds(6)), Seconds(4) + Millis(3));
}

} // namespace
} // namespace stackquay
