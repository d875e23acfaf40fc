#include <gtest/gtest.h>

#include "store/store.h"

namespace stackquay {
namespace {

TEST(CallBudgetTest, CallersQueueUpToTheirMaxWait)
{
    const TimePoint start{};
    CallBudget budget = makeCallBudget(10, 2, start);
    EXPECT_EQ(reserveCall(budget, start, Seconds(1)), Duration::zero());
    EXPECT_EQ(reserveCall(budget, start, Seconds(1)), Duration::zero());
    EXPECT_EQ(reserveCall(budget, start, Seconds(1)), Millis(100));
    EXPECT_EQ(reserveCall(budget, start, Seconds(1)), Millis(200));
    EXPECT_FALSE(reserveCall(budget, start, Millis(250)));
    // The refused call has taken no token.
    EXPECT_EQ(reserveCall(budget, start, Millis(300)), Millis(300));
    EXPECT_EQ(reserveCall(budget, start + Seconds(60), Seconds(1)), Duration::zero());
}

TEST(BackoffTest, DoublesUpToItsMaximumWithFullJitter)
{
    const BackoffSettings settings{ Millis(100), Millis(1000) };
    RandomEngine random(7);
    std::vector<Duration> longest(6);
    for (unsigned failures = 0; failures < longest.size(); ++failures)
        for (int i = 0; i < 2000; ++i)
            longest[failures] =
                std::max(longest[failures], backoffDelay(settings, failures, random));
    const Millis bounds[] = { Millis(100), Millis(200),  Millis(400),
                              Millis(800), Millis(1000), Millis(1000) };
    for (size_t i = 0; i < longest.size(); ++i) {
        EXPECT_LE(longest[i], bounds[i]);
        EXPECT_GE(longest[i], bounds[i] * 9 / 10);
    }
}

TEST(CircuitBreakerTest, OpensOnlyAfterFailuresInARow)
{
    CircuitBreaker circuit;
    circuit.m_failureThreshold = 2;
    EXPECT_FALSE(recordFailure(circuit));
    EXPECT_FALSE(recordSuccess(circuit));
    EXPECT_FALSE(recordFailure(circuit));
    EXPECT_TRUE(recordFailure(circuit));
    EXPECT_TRUE(circuit.m_open);
    EXPECT_FALSE(recordFailure(circuit));
    EXPECT_TRUE(recordSuccess(circuit));
    EXPECT_FALSE(circuit.m_open);
}

IntentChange changeAt(int minute)
{
    IntentChange change;
    change.m_id = ChangeId("c" + std::to_string(minute));
    change.m_at = WallTime(std::chrono::minutes(minute));
    return change;
}

TEST(IntentHeadTest, FormatAndParseRoundTrip)
{
    IntentHead head;
    appendChange(head,
                 { ChangeId("a"), 0, "ann", "set x", "intent/snapshot/1", WallTime(Millis(5)) });
    const auto parsed = parseIntentHead({ IntentHeadKey, formatIntentHead(head), 9 });
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->m_revision, 1u);
    EXPECT_EQ(parsed->m_version, 9u);
    EXPECT_EQ(parsed->m_snapshot, "intent/snapshot/1");
    ASSERT_TRUE(findChange(*parsed, ChangeId("a")));
    EXPECT_EQ(findChange(*parsed, ChangeId("a"))->m_statement, "set x");
    EXPECT_EQ(findChange(*parsed, ChangeId("a"))->m_at, WallTime(Millis(5)));
    for (const char *text :
         { "", "[]", "{}", R"({"revision":1})", R"({"revision":"1","snapshot":""})",
           R"({"revision":1,"snapshot":"s","changes":[{}]})" })
        EXPECT_FALSE(parseIntentHead({ IntentHeadKey, text, 1 })) << text;
}

TEST(IntentHeadTest, KeepsRecentChangesAndAMinimumOfAnyAge)
{
    IntentHead head;
    size_t dropped = 0;
    for (int i = 0; i < 200; ++i)
        dropped += appendChange(head, changeAt(i < 100 ? 0 : 100)).size();
    EXPECT_EQ(dropped, 100u);
    EXPECT_FALSE(listsChangesAfter(head, 99));
    EXPECT_TRUE(listsChangesAfter(head, 100));
    // A clock far in the future leaves the minimum number of changes.
    appendChange(head, changeAt(100'000));
    EXPECT_EQ(head.m_changes.size(), 32u);
    // A clock that is behind does not break the order by time.
    appendChange(head, changeAt(0));
    EXPECT_EQ(head.m_changes.back().m_at, WallTime(std::chrono::minutes(100'000)));
}

} // namespace
} // namespace stackquay
