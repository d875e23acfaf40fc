#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

constexpr TimePoint Start{ Seconds(1'000) };
const Fingerprint Culprit{ 1, 1, 2 };
const Fingerprint Bystander{ 1, 3, 4 };

class CrashSuspectsTest : public testing::Test
{
protected:
    SuspectCare care(const Fingerprint &print, Duration after = {})
    {
        return judge(m_table, print, {}, Start + after).m_care;
    }

    void end(const Fingerprint &print, uint64_t process, Duration after = {})
    {
        noteEnd(m_table, print, process, Start + after);
    }

    SuspectTable m_table;
};

TEST_F(CrashSuspectsTest, EachEndNarrowsTheTriesAndTheThirdCondemns)
{
    EXPECT_EQ(care(Culprit), SuspectCare::None);
    EXPECT_EQ(noteEnd(m_table, Culprit, 1, Start), SuspectChange::Known);
    EXPECT_EQ(care(Culprit), SuspectCare::Apart);
    EXPECT_EQ(noteEnd(m_table, Culprit, 2, Start), SuspectChange::Known);
    EXPECT_EQ(care(Culprit), SuspectCare::Alone);
    EXPECT_EQ(noteEnd(m_table, Culprit, 3, Start), SuspectChange::Condemned);
    EXPECT_EQ(care(Culprit), SuspectCare::Condemned);
    EXPECT_EQ(noteEnd(m_table, Culprit, 4, Start), SuspectChange::None);
}

TEST_F(CrashSuspectsTest, OneEndThatManyTellCountsOnce)
{
    EXPECT_EQ(noteEnd(m_table, Culprit, 1, Start), SuspectChange::Known);
    EXPECT_EQ(noteEnd(m_table, Culprit, 1, Start), SuspectChange::None);
    EXPECT_EQ(joinNews(m_table, { Culprit, { 1 }, 0, 50 }, Start), SuspectChange::None);
    EXPECT_EQ(care(Culprit), SuspectCare::Apart);
}

TEST_F(CrashSuspectsTest, EndsAndTriesInFlightStayWithinTheBound)
{
    end(Culprit, 1);
    beginTry(m_table, Culprit, { 1, 1 }, Start + Seconds(5), Start);
    EXPECT_EQ(care(Culprit), SuspectCare::Apart);
    beginTry(m_table, Culprit, { 2, 1 }, Start + Seconds(5), Start);
    EXPECT_EQ(care(Culprit), SuspectCare::Busy);
    EXPECT_TRUE(judge(m_table, Culprit, { 2, 1 }, Start).mayTry()) << "its own try is no other";
    endTry(m_table, { 1, 1 });
    EXPECT_EQ(care(Culprit), SuspectCare::Apart);
    end(Culprit, 2);
    EXPECT_EQ(care(Culprit), SuspectCare::Busy);
    EXPECT_EQ(care(Culprit, Seconds(6)), SuspectCare::Alone) << "a try that was never ended lapses";
}

TEST_F(CrashSuspectsTest, WhoeverCompletesIsCleared)
{
    for (uint64_t process = 1; process <= 3; ++process) {
        end(Culprit, process);
        if (process < 3)
            end(Bystander, process);
    }
    EXPECT_TRUE(clearSuspect(m_table, Bystander));
    EXPECT_EQ(care(Bystander), SuspectCare::None);
    EXPECT_EQ(care(Culprit), SuspectCare::Condemned);
    EXPECT_FALSE(clearSuspect(m_table, Bystander));
    EXPECT_TRUE(m_table.mayKnow(Culprit.m_outline)) << "the other one of this outline is left";
    EXPECT_FALSE(m_table.mayKnow(Culprit.m_outline + 1));
    clearSuspect(m_table, Culprit);
    EXPECT_FALSE(m_table.mayKnow(Culprit.m_outline));
}

TEST_F(CrashSuspectsTest, FewTrialsLongAfterHealAWrongBlame)
{
    const SuspectSettings &settings = m_table.m_settings;
    for (uint64_t process = 1; process <= 3; ++process)
        end(Culprit, process);
    const auto verdict = judge(m_table, Culprit, {}, Start);
    EXPECT_EQ(verdict.m_comeBack, settings.m_trialAfter);
    Duration at{};
    for (uint32_t trial = 0; trial < settings.m_mostTrials; ++trial) {
        const Duration wait = settings.m_trialAfter * (1 << trial);
        EXPECT_EQ(care(Culprit, at + wait - Millis(1)), SuspectCare::Condemned);
        at += wait;
        EXPECT_EQ(care(Culprit, at), SuspectCare::Alone);
        const LoadKey key{ 1, trial + 1 };
        beginTry(m_table, Culprit, key, Start + at + Seconds(5), Start + at);
        EXPECT_FALSE(judge(m_table, Culprit, {}, Start + at).mayTry()) << "one trial at a time";
        EXPECT_EQ(judge(m_table, Culprit, key, Start + at).m_care, SuspectCare::Alone);
        endTry(m_table, key);
    }
    EXPECT_EQ(care(Culprit, at + Seconds(20'000)), SuspectCare::Condemned) << "no trial is left";
    EXPECT_EQ(care(Culprit, at + settings.m_forgetAfter + Seconds(1)), SuspectCare::None);
}

TEST_F(CrashSuspectsTest, NewsJoinInAnyOrder)
{
    SuspectTable other;
    noteEnd(other, Culprit, 1, Start);
    noteEnd(other, Culprit, 2, Start);
    end(Culprit, 3);
    const auto news = newsOf(other, 10, Start + Millis(40));
    ASSERT_EQ(news.size(), 1u);
    EXPECT_EQ(news.front().m_ageMs, 40u);
    EXPECT_EQ(joinNews(m_table, news.front(), Start), SuspectChange::Condemned);
    EXPECT_EQ(joinNews(m_table, news.front(), Start), SuspectChange::None);
    EXPECT_EQ(joinNews(m_table, { Bystander, {}, 0, 0 }, Start), SuspectChange::None);
    EXPECT_EQ(care(Bystander), SuspectCare::None);
    EXPECT_EQ(joinNews(m_table, { Bystander, { 9 }, 0, UINT64_MAX }, Start), SuspectChange::None);
}

TEST_F(CrashSuspectsTest, TableIsBoundedAndKeepsTheWorst)
{
    m_table.m_settings.m_most = 8;
    for (uint64_t process = 1; process <= 3; ++process)
        end(Culprit, process);
    for (uint64_t i = 0; i < 100; ++i)
        end({ 7, 7, i }, 10 + i, Millis(i + 1));
    EXPECT_EQ(m_table.m_suspects.size(), 8u);
    EXPECT_EQ(care(Culprit), SuspectCare::Condemned);
    EXPECT_EQ(newsOf(m_table, 2, Start + Seconds(1)).front().m_print, Culprit);
    EXPECT_EQ(care({ 7, 7, 99 }), SuspectCare::Apart) << "the latest are kept";
}

// News of an end travel on after the request has completed, and the process that ended is told of
// late by others that were there.
TEST_F(CrashSuspectsTest, EndsBeforeACompletionMakeNoSuspectAgain)
{
    end(Culprit, 1);
    EXPECT_TRUE(noteCleared(m_table, Culprit, {}, Start));
    EXPECT_FALSE(noteCleared(m_table, Culprit, { 1 }, Start));
    EXPECT_EQ(joinNews(m_table, { Culprit, { 1 }, 0, 50 }, Start), SuspectChange::None);
    EXPECT_EQ(noteEnd(m_table, Culprit, 1, Start), SuspectChange::None);
    EXPECT_TRUE(m_table.empty());
    // A later end counts, alone.
    EXPECT_EQ(joinNews(m_table, { Culprit, { 1, 2 }, 0, 50 }, Start), SuspectChange::Known);
    EXPECT_EQ(care(Culprit), SuspectCare::Apart);
}

TEST_F(CrashSuspectsTest, ClearingMayBeHeardBeforeItsEnds)
{
    EXPECT_TRUE(noteCleared(m_table, Culprit, { 1 }, Start));
    EXPECT_EQ(joinNews(m_table, { Culprit, { 1 }, 0, 50 }, Start), SuspectChange::None);
    EXPECT_TRUE(m_table.empty());
}

TEST_F(CrashSuspectsTest, ClearedEndsAreBounded)
{
    const size_t most = m_table.m_settings.m_most;
    for (uint64_t i = 0; i < 2 * most; ++i)
        noteCleared(m_table, { i, i, i }, { i }, Start + Millis(i));
    EXPECT_LE(m_table.m_cleared.size(), most);
    EXPECT_FALSE(noteCleared(m_table, { 2 * most - 1, 2 * most - 1, 2 * most - 1 },
                             { 2 * most - 1 }, Start + Seconds(60)));
    for (uint64_t process = 0; process < 2 * most; ++process)
        noteCleared(m_table, Culprit, { process }, Start + Seconds(61));
    EXPECT_LE(m_table.m_cleared.at(Culprit).m_ends.size(), m_table.m_settings.m_mostClearedEnds);
    EXPECT_EQ(joinNews(m_table, { Culprit, { 2 * most - 1 }, 0, 0 }, Start + Seconds(61)),
              SuspectChange::None)
        << "the latest are kept";
}

} // namespace
} // namespace stackquay
