#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Now{ Seconds(1'000) };

EndpointRecord endpoint(const std::string &id, uint64_t startedMs = 1)
{
    EndpointRecord record;
    record.m_id = EndpointId(id);
    record.m_startedMs = startedMs;
    return record;
}

const EndpointRecord A = endpoint("a");
const EndpointRecord B = endpoint("b");

TEST(EndpointBackoffTest, EndpointIsBlockedForTheTimeThatItAsksFor)
{
    EndpointBackoff backoff;
    backoff.noteRetryAfter(A, Millis(1'500), Now);
    EXPECT_TRUE(backoff.isBlocked(A, Now + Millis(1'499)));
    EXPECT_FALSE(backoff.isBlocked(A, Now + Millis(1'500)));
    EXPECT_FALSE(backoff.isBlocked(B, Now));
}

// Guards against an entry that stays after its time and slows down each placement.
TEST(EndpointBackoffTest, NothingIsBlockedAfterTheTime)
{
    EndpointBackoff backoff;
    EXPECT_FALSE(backoff.blocksAny(Now));
    backoff.noteRetryAfter(A, Millis(1'500), Now);
    EXPECT_TRUE(backoff.blocksAny(Now + Millis(1'499)));
    EXPECT_FALSE(backoff.blocksAny(Now + Millis(1'500)));
    backoff.noteLeaving(B);
    EXPECT_TRUE(backoff.blocksAny(Now + Millis(1'500)));
}

TEST(EndpointBackoffTest, LaterAnswerNamesAnotherTime)
{
    EndpointBackoff backoff;
    backoff.noteRetryAfter(A, Seconds(10), Now);
    backoff.noteRetryAfter(A, Seconds(1), Now);
    EXPECT_FALSE(backoff.isBlocked(A, Now + Seconds(2)));
}

TEST(EndpointBackoffTest, AbsurdTimesAreBounded)
{
    EndpointBackoff backoff;
    backoff.noteRetryAfter(A, std::chrono::hours(1'000'000), Now);
    EXPECT_FALSE(backoff.isBlocked(A, Now + MaxEndpointBackoff));
    backoff.noteRetryAfter(A, Seconds(-5), Now);
    EXPECT_FALSE(backoff.isBlocked(A, Now));
}

TEST(EndpointBackoffTest, LeavingDoesNotEndWithALaterAnswer)
{
    EndpointBackoff backoff;
    EXPECT_TRUE(backoff.noteLeaving(A));
    EXPECT_FALSE(backoff.noteLeaving(A));
    backoff.noteRetryAfter(A, Seconds(1), Now);
    EXPECT_TRUE(backoff.isBlocked(A, Now + std::chrono::hours(24)));
}

TEST(EndpointBackoffTest, AnotherProcessUnderTheIdStartsAnew)
{
    EndpointBackoff backoff;
    backoff.noteLeaving(A);
    EXPECT_FALSE(backoff.isBlocked(endpoint("a", 2), Now));
    backoff.noteRetryAfter(endpoint("a", 2), Seconds(1), Now);
    EXPECT_FALSE(backoff.isLeaving(endpoint("a", 2)));
}

TEST(EndpointBackoffTest, TimeToTheFirstEndIsKnownIfAllAreBlocked)
{
    EndpointBackoff backoff;
    backoff.noteRetryAfter(A, Seconds(3), Now);
    EXPECT_FALSE(backoff.timeToEnd({ A, B }, Now));
    backoff.noteRetryAfter(B, Seconds(2), Now);
    EXPECT_EQ(backoff.timeToEnd({ A, B }, Now), Duration(Seconds(2)));
    backoff.noteLeaving(B);
    EXPECT_EQ(backoff.timeToEnd({ A, B }, Now), Duration(Seconds(3)));
    backoff.noteLeaving(A);
    EXPECT_FALSE(backoff.timeToEnd({ A, B }, Now));
}

TEST(EndpointBackoffTest, ExpiredEntriesAreDropped)
{
    EndpointBackoff backoff;
    backoff.noteRetryAfter(A, Seconds(1), Now);
    backoff.noteLeaving(B);
    backoff.dropExpired({ { B.m_id, B } }, Now + Seconds(1));
    EXPECT_TRUE(backoff.isLeaving(B));
    backoff.dropExpired({}, Now + Seconds(1));
    EXPECT_TRUE(backoff.empty());
}

} // namespace
} // namespace stackquay
