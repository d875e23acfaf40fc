#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

constexpr TimePoint Start{ Seconds(1'000) };

TEST(RecentAnswersTest, AnswersAreRememberedForAWhile)
{
    RecentAnswers answers;
    recordAnswer(answers, 1, Start);
    recordAnswer(answers, 2, Start + answers.m_memory);
    EXPECT_TRUE(wasAnswered(answers, 1));
    recordAnswer(answers, 3, Start + answers.m_memory * 2);
    EXPECT_TRUE(wasAnswered(answers, 1));
    recordAnswer(answers, 3, Start + answers.m_memory * 4);
    EXPECT_FALSE(wasAnswered(answers, 1));
    EXPECT_TRUE(wasAnswered(answers, 3));
}

TEST(RecentAnswersTest, MemoryIsBounded)
{
    RecentAnswers answers;
    for (uint64_t key = 0; key < 100'000; ++key)
        recordAnswer(answers, key, Start);
    EXPECT_LE(answers.m_latest.size() + answers.m_earlier.size(), answers.m_max);
    EXPECT_TRUE(wasAnswered(answers, 99'999));
}

} // namespace
} // namespace stackquay
