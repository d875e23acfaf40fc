#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(1'000);

Grant grantOf(int id, uint64_t uncached = 1'000, uint64_t memory = 2'000)
{
    Grant grant;
    grant.m_id = GrantId(std::to_string(id));
    grant.m_class = lengthClass(uncached);
    grant.m_uncachedTokens = uncached;
    grant.m_memoryTokens = memory;
    grant.m_predictedPrefill = Micros(uncached * 10);
    if (grant.m_predictedPrefill > Millis(100))
        grant.m_chunkTime = Millis(50);
    grant.m_expiry = Start + Seconds(1);
    return grant;
}

TEST(EndpointLedgerTest, EveryLimitRefusesWithItsReason)
{
    EndpointLedger ledger;
    ledger.m_capacity = { 10'000, 3, 2, 150'000 };
    EXPECT_EQ(checkFits(ledger, { 100, 10'001 }, Start), LedgerRefusal::TooLong);
    EXPECT_FALSE(checkFits(ledger, { 400'000, 10'000 }, Start));
    addGrant(ledger, grantOf(1, 50'000, 8'000), Start);
    EXPECT_EQ(checkFits(ledger, { 100, 2'001 }, Start), LedgerRefusal::Memory);
    EXPECT_EQ(checkFits(ledger, { 100'001, 1 }, Start), LedgerRefusal::LongPrefill);
    EXPECT_FALSE(checkFits(ledger, { 100'000, 2'000 }, Start));
    addGrant(ledger, grantOf(2, 50'000, 1), Start);
    EXPECT_EQ(checkFits(ledger, { 50'000, 1 }, Start), LedgerRefusal::LongPrefill);
    EXPECT_FALSE(checkFits(ledger, { 4'000, 1 }, Start));
    addGrant(ledger, grantOf(3, 10, 1), Start);
    EXPECT_EQ(checkFits(ledger, { 4'000, 1 }, Start), LedgerRefusal::Slots);
    noteFirstToken(ledger, GrantId("1"), Start);
    releaseGrant(ledger, GrantId("3"), Start);
    EXPECT_FALSE(checkFits(ledger, { 50'000, 1 }, Start));
}

TEST(EndpointLedgerTest, GrantIsStartedAndReleasedOnce)
{
    EndpointLedger ledger;
    EXPECT_TRUE(addGrant(ledger, grantOf(1), Start));
    EXPECT_FALSE(addGrant(ledger, grantOf(1), Start));
    EXPECT_TRUE(startGrant(ledger, GrantId("1"), Start, Start + Seconds(30)));
    EXPECT_TRUE(startGrant(ledger, GrantId("1"), Start, Start + Seconds(30)));
    EXPECT_TRUE(releaseExpired(ledger, Start + Seconds(29)).empty());
    EXPECT_TRUE(noteFirstToken(ledger, GrantId("1"), Start));
    EXPECT_FALSE(noteFirstToken(ledger, GrantId("1"), Start));
    EXPECT_TRUE(releaseGrant(ledger, GrantId("1"), Start));
    EXPECT_FALSE(releaseGrant(ledger, GrantId("1"), Start));
    EXPECT_FALSE(startGrant(ledger, GrantId("1"), Start, Start + Seconds(30)));
    EXPECT_EQ(ledger.m_totals, LedgerTotals{});
    EXPECT_EQ(ledger.m_unchunkedPrefillTime, Duration::zero());
    EXPECT_TRUE(ledger.m_chunkedGrants.empty());
}

TEST(EndpointLedgerTest, BacklogLimitsUnchunkedPrefills)
{
    EndpointLedger ledger;
    ledger.m_capacity.m_backlog = Millis(40);
    addGrant(ledger, grantOf(1, 5'000), Start);
    EXPECT_EQ(checkFits(ledger, { 10, 10 }, Start), LedgerRefusal::Backlog);
    EXPECT_FALSE(checkFits(ledger, { 10, 10, true }, Start));
    EXPECT_FALSE(checkFits(ledger, { 10, 10 }, Start + Millis(10)));
}

TEST(EndpointLedgerTest, UnchunkedPrefillsOvertakeWaitingChunks)
{
    EndpointLedger ledger;
    ledger.m_capacity.m_chunkedPrefills = 2;
    ledger.m_capacity.m_longPrefills = 0;
    addGrant(ledger, grantOf(1, 100'000), Start);
    addGrant(ledger, grantOf(2, 20'000), Start);
    EXPECT_EQ(remainingPrefillTime(ledger, Start), Millis(1'200));
    EXPECT_EQ(unchunkedStartDelay(ledger, Start), Millis(50));
    EXPECT_EQ(unchunkedStartDelay(ledger, Start + Millis(30)), Millis(20));
    EXPECT_EQ(chunkedPrefillDelay(ledger, Millis(500), Start), Millis(700));
    EXPECT_EQ(checkFits(ledger, { 20'000, 10, true }, Start), LedgerRefusal::ChunkedPrefill);
    noteChunk(ledger, GrantId("1"), Millis(30), Start + Millis(30));
    EXPECT_EQ(remainingPrefillTime(ledger, Start + Millis(30)), Millis(230));
    noteFirstToken(ledger, GrantId("2"), Start + Millis(40));
    EXPECT_EQ(unchunkedStartDelay(ledger, Start + Millis(40)), Millis(30));
    EXPECT_FALSE(checkFits(ledger, { 20'000, 10, true }, Start));
}

TEST(EndpointLedgerTest, UnstartedGrantExpires)
{
    EndpointLedger ledger;
    addGrant(ledger, grantOf(1), Start);
    EXPECT_TRUE(releaseExpired(ledger, Start + Millis(999)).empty());
    EXPECT_EQ(releaseExpired(ledger, Start + Seconds(1)).size(), 1u);
    EXPECT_EQ(ledger.m_totals, LedgerTotals{});
}

TEST(EndpointLedgerTest, RemainingPrefillTimeDecreasesToZero)
{
    EndpointLedger ledger;
    addGrant(ledger, grantOf(1), Start);
    addGrant(ledger, grantOf(2), Start + Millis(4));
    EXPECT_EQ(remainingPrefillTime(ledger, Start + Millis(4)), Millis(16));
    noteFirstToken(ledger, GrantId("1"), Start + Millis(12));
    EXPECT_EQ(remainingPrefillTime(ledger, Start + Millis(12)), Millis(10));
    EXPECT_EQ(remainingPrefillTime(ledger, Start + Seconds(9)), Duration::zero());
}

TEST(EndpointLedgerTest, SlotsAdaptToTheEngine)
{
    EndpointLedger ledger;
    addGrant(ledger, grantOf(1), Start);
    addGrant(ledger, grantOf(2), Start);
    noteQueueFull(ledger);
    EXPECT_EQ(ledger.m_capacity.m_slots, 2u);
    noteAccepted(ledger, 3);
    noteAccepted(ledger, 3);
    EXPECT_EQ(ledger.m_capacity.m_slots, 3u);
}

/// One random operation. Grants fit; ids are reused; reports arrive late, twice or never.
void randomStep(EndpointLedger &ledger, RandomEngine &random, TimePoint now, int &next)
{
    const GrantId any(std::to_string(random() % (next + 1)));
    switch (random() % 8) {
    case 0:
    case 1:
    case 2: {
        auto grant = grantOf(next, random() % 200'000, random() % 400'000);
        grant.m_expiry = now + Millis(random() % 2'000);
        if (!checkFits(ledger, { grant.m_uncachedTokens, grant.m_memoryTokens }, now))
            addGrant(ledger, grant, now);
        ++next;
        return;
    }
    case 3:
        startGrant(ledger, any, now, now + Millis(random() % 5'000));
        return;
    case 4:
        if (random() % 2 == 0)
            noteFirstToken(ledger, any, now);
        else
            noteChunk(ledger, any, Millis(random() % 100), now);
        return;
    case 5:
        releaseGrant(ledger, any, now);
        return;
    case 6:
        releaseExpired(ledger, now);
        return;
    default:
        if (random() % 100 == 0)
            revokeAll(ledger);
        else
            extendGrant(ledger, any, now + Millis(random() % 3'000));
    }
}

void expectConsistent(const EndpointLedger &ledger)
{
    Duration unchunked{};
    size_t chunked = 0;
    for (const auto &[id, grant] : ledger.m_grants) {
        if (grant.m_phase == GrantPhase::Decode)
            continue;
        const bool isChunked = grant.m_chunkTime > Duration::zero();
        chunked += isChunked;
        unchunked += isChunked ? Duration::zero() : grant.m_predictedPrefill;
    }
    ASSERT_EQ(ledger.m_unchunkedPrefillTime, unchunked);
    ASSERT_EQ(ledger.m_chunkedGrants.size(), chunked);
    ASSERT_EQ(ledger.m_totals, countTotals(ledger));
}

TEST(EndpointLedgerTest, RandomOperationsKeepTheTotalsConsistent)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        RandomEngine random(seed);
        EndpointLedger ledger;
        ledger.m_capacity = { 1'000'000, 20, 3, 300'000, 0 };
        TimePoint now = Start;
        int next = 0;
        for (int step = 0; step < 2'000; ++step) {
            now += Millis(random() % 50);
            randomStep(ledger, random, now, next);
            ASSERT_NO_FATAL_FAILURE(expectConsistent(ledger)) << seed << " " << step;
            ASSERT_LE(ledger.m_totals.m_memoryTokens, 1'000'000u);
            ASSERT_LE(ledger.m_totals.m_grants, 20u);
            ASSERT_LE(ledger.m_totals.m_longPrefills, 3u);
        }
        releaseExpired(ledger, now + Seconds(10));
        EXPECT_EQ(ledger.m_totals, LedgerTotals{}) << seed;
        EXPECT_EQ(ledger.m_unchunkedPrefillTime, Duration::zero());
        EXPECT_TRUE(ledger.m_chunkedGrants.empty());
    }
}

} // namespace
} // namespace stackquay
