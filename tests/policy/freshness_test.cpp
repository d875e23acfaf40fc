#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(1'000);

TEST(FreshnessTest, ProofIsValidForItsVersionWithinTheBound)
{
    const FreshnessProof proof{ 7, Start };
    EXPECT_TRUE(isFreshEnough(proof, 7, Seconds(4), Start + Seconds(4)));
    EXPECT_FALSE(isFreshEnough(proof, 7, Seconds(4), Start + Seconds(4) + Millis(1)));
    EXPECT_FALSE(isFreshEnough(proof, 6, Seconds(4), Start));
    EXPECT_FALSE(isFreshEnough({}, 0, Seconds(4), Start));
}

// Whatever was acknowledged before the time at which 7 was the newest version is part of 8 too.
TEST(FreshnessTest, ProofOfALowerVersionExtendsAHigherOne)
{
    const FreshnessProof older{ 7, Start + Seconds(9) };
    const FreshnessProof newer{ 8, Start };
    for (const FreshnessProof &joined : { mergeProofs(older, newer), mergeProofs(newer, older) }) {
        EXPECT_EQ(joined.m_version, 8u);
        EXPECT_EQ(joined.m_provedAt, Start + Seconds(9));
    }
    EXPECT_EQ(proofFor(8, older).m_version, 8u);
    EXPECT_EQ(proofFor(8, older).m_provedAt, older.m_provedAt);
    EXPECT_FALSE(proofFor(6, older).known());
    EXPECT_FALSE(proofFor(8, {}).known());
}

// The store was restored from a backup without version 8: a proof of 7 is no evidence for 8.
TEST(FreshnessTest, ProofOfALaterEraDoesNotExtendALostVersion)
{
    const FreshnessProof lost{ 8, Start, 1 };
    const FreshnessProof restored{ 7, Start + Seconds(9), 2 };
    for (const FreshnessProof &joined :
         { mergeProofs(lost, restored), mergeProofs(restored, lost) }) {
        EXPECT_EQ(joined.m_version, 8u);
        EXPECT_EQ(joined.m_provedAt, Start);
    }
    const FreshnessProof writtenAgain{ 8, Start + Seconds(12), 2 };
    EXPECT_EQ(mergeProofs(lost, writtenAgain).m_provedAt, Start + Seconds(12));
}

TEST(FreshnessTest, AgeIncludesTheWholeCall)
{
    const FreshnessProof proof = proofFromAge(3, 1, Millis(400), Millis(50), Start);
    EXPECT_EQ(proof.m_provedAt, Start - Millis(450));
}

// A VM whose directory is older than the one proved has missed a change.
TEST(FreshnessTest, DirectoryProofCoversDirectoriesThatAreNotOlder)
{
    const DirectoryProof proof{ { 1, 20 }, { 1, 5 }, Start };
    const auto isCovered = [&proof](const StorePosition &endpoints,
                                    const StorePosition &evacuations) {
        EndpointDirectory directory;
        directory.m_position = endpoints;
        return covers(directory, { evacuations, {} }, proof);
    };
    EXPECT_TRUE(isCovered({ 1, 20 }, { 1, 5 }));
    EXPECT_TRUE(isCovered({ 1, 21 }, { 1, 6 }));
    EXPECT_FALSE(isCovered({ 1, 19 }, { 1, 5 }));
    EXPECT_FALSE(isCovered({ 1, 20 }, { 1, 4 }));
    EXPECT_FALSE(isCovered({ 2, 20 }, { 2, 5 })); // The store was restored from a backup.
    EXPECT_FALSE(isCovered({}, {}));
}

// A heartbeat waited in the receive buffer of a VM that was frozen for four seconds.
TEST(FreshnessTest, DelayIsRelativeToTheFastestMessage)
{
    const TimePoint theirs = TimePoint{} + Seconds(77'000);
    DelayEstimator clock;
    EXPECT_EQ(excessDelay(clock, theirs, Start), Duration::zero());
    EXPECT_EQ(excessDelay(clock, theirs + Seconds(1), Start + Seconds(1) - Millis(3)),
              Duration::zero());
    EXPECT_EQ(excessDelay(clock, theirs + Seconds(2), Start + Seconds(6)), Seconds(4) + Millis(3));
}

} // namespace
} // namespace stackquay
