#include <map>

#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start{ Seconds(1'000) };

WaitingRequest request(int id, const std::string &customer, double cost = 1, int priority = 0)
{
    WaitingRequest result;
    result.m_id = RequestId(std::to_string(1'000 + id));
    result.m_customer = CustomerId(customer);
    result.m_priority = priority;
    result.m_cost = cost;
    result.m_arrived = Start + Millis(id);
    result.m_deadline = result.m_arrived + Seconds(30);
    result.m_startBy = result.m_deadline;
    return result;
}

TEST(FairQueue, HigherPriorityFirst)
{
    FairQueue queue;
    queue.push(request(1, "a", 1, 0));
    queue.push(request(2, "a", 1, 5));
    queue.push(request(3, "b", 1, 2));
    EXPECT_EQ(queue.pop()->m_priority, 5);
    EXPECT_EQ(queue.pop()->m_priority, 2);
    EXPECT_EQ(queue.pop()->m_priority, 0);
    EXPECT_FALSE(queue.pop());
}

TEST(FairQueue, ServedCostFollowsWeights)
{
    FairQueueSettings settings;
    settings.m_capacity = 100'000;
    FairQueue queue(settings);
    RandomEngine random(1);
    const std::map<std::string, double> weights = { { "big", 3 }, { "mid", 2 }, { "small", 1 } };
    int id = 0;
    for (const auto &[customer, weight] : weights) {
        for (int i = 0; i < 5'000; ++i) {
            WaitingRequest waiting =
                request(++id, customer, 1 + static_cast<double>(random() % 1'000));
            waiting.m_weight = weight;
            queue.push(waiting);
        }
    }
    std::map<std::string, double> served;
    for (int i = 0; i < 6'000; ++i) {
        const WaitingRequest next = *queue.pop();
        served[next.m_customer.str()] += next.m_cost;
    }
    const double unit = served["small"];
    EXPECT_NEAR(served["big"] / unit, 3, 0.02);
    EXPECT_NEAR(served["mid"] / unit, 2, 0.02);
}

TEST(FairQueue, LargeBacklogDelaysOnlyItsOwnCustomer)
{
    FairQueue queue;
    for (int i = 0; i < 2'000; ++i)
        queue.push(request(i, "flood"));
    for (int i = 0; i < 100; ++i)
        queue.pop();
    queue.push(request(5'000, "quiet"));
    int before = 0;
    while (queue.pop()->m_customer != CustomerId("quiet"))
        before += 1;
    EXPECT_LE(before, 1);
}

TEST(FairQueue, IdleCustomerGainsNoCredit)
{
    FairQueue queue;
    for (int i = 0; i < 1'000; ++i)
        queue.push(request(i, "busy"));
    for (int i = 0; i < 500; ++i)
        queue.pop();
    for (int i = 2'000; i < 2'500; ++i)
        queue.push(request(i, "idle"));
    int idle = 0;
    for (int i = 0; i < 100; ++i)
        idle += queue.pop()->m_customer == CustomerId("idle") ? 1 : 0;
    EXPECT_NEAR(idle, 50, 1);
}

TEST(FairQueue, EarliestDeadlineFirstWithinACustomer)
{
    FairQueue queue;
    WaitingRequest late = request(1, "a");
    late.m_deadline = Start + Seconds(600);
    queue.push(late);
    queue.push(request(2, "a"));
    EXPECT_EQ(queue.pop()->m_id, RequestId("1002"));
}

TEST(FairQueue, AgingServesRequestsWithLateDeadlines)
{
    FairQueue queue;
    WaitingRequest late = request(0, "a");
    late.m_deadline = Start + Seconds(600);
    late.m_startBy = late.m_deadline;
    queue.push(late);
    // Without aging, the short request that arrives after each served one would always go first.
    for (int second = 0;; ++second) {
        ASSERT_LT(second, 300);
        WaitingRequest next = request(second + 1, "a");
        next.m_arrived = Start + Seconds(second);
        next.m_deadline = next.m_arrived + Seconds(10);
        queue.push(next);
        if (queue.pop()->m_id == late.m_id)
            break;
    }
}

TEST(FairQueue, ExpireReturnsRequestsThatCannotStartInTime)
{
    FairQueue queue;
    WaitingRequest first = request(1, "a");
    first.m_startBy = Start + Seconds(5);
    WaitingRequest second = request(2, "b", 1, 3);
    second.m_startBy = Start + Seconds(7);
    queue.push(second);
    queue.push(first);
    EXPECT_EQ(queue.nextExpiry(), Start + Seconds(5));
    EXPECT_TRUE(queue.expire(Start + Seconds(5)).empty());
    const auto expired = queue.expire(Start + Seconds(6));
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].m_id, first.m_id);
    EXPECT_EQ(queue.expire(Start + Seconds(60)).size(), 1U);
    EXPECT_TRUE(queue.empty());
    EXPECT_FALSE(queue.nextExpiry());
}

TEST(FairQueue, RemoveById)
{
    FairQueue queue;
    queue.push(request(1, "a", 5));
    queue.push(request(2, "a", 7));
    EXPECT_FALSE(queue.push(request(2, "a", 7)).m_accepted);
    EXPECT_EQ(queue.remove(RequestId("1001"))->m_cost, 5);
    EXPECT_FALSE(queue.remove(RequestId("1001")));
    EXPECT_EQ(queue.costAhead(0), 7);
    EXPECT_EQ(queue.size(), 1U);
}

TEST(FairQueue, PopIfSkipsWithoutCharging)
{
    FairQueue queue;
    queue.push(request(1, "a", 100));
    queue.push(request(2, "b", 1));
    const auto small = [](const WaitingRequest &waiting) { return waiting.m_cost < 50; };
    EXPECT_EQ(queue.popIf(small)->m_customer, CustomerId("b"));
    EXPECT_FALSE(queue.popIf(small));
    queue.push(request(3, "b", 1));
    EXPECT_EQ(queue.pop()->m_customer, CustomerId("a"));
}

TEST(FairQueue, FullQueueDisplacesTheLargestBacklogOnly)
{
    FairQueue queue({ .m_capacity = 10 });
    for (int i = 0; i < 8; ++i)
        queue.push(request(i, "flood"));
    queue.push(request(8, "b"));
    queue.push(request(9, "b"));
    EXPECT_FALSE(queue.push(request(10, "flood")).m_accepted);
    const PushResult result = queue.push(request(11, "c"));
    EXPECT_TRUE(result.m_accepted);
    ASSERT_TRUE(result.m_displaced);
    EXPECT_EQ(result.m_displaced->m_id, RequestId("1007"));
    EXPECT_EQ(queue.size(), 10U);
}

TEST(FairQueue, FullQueueMakesRoomForHigherPriority)
{
    FairQueue queue({ .m_capacity = 2 });
    queue.push(request(1, "a", 1, 1));
    queue.push(request(2, "b", 1, 2));
    EXPECT_EQ(queue.push(request(3, "c", 9, 2)).m_displaced->m_id, RequestId("1001"));
    EXPECT_FALSE(queue.push(request(4, "d", 1, 1)).m_accepted);
}

TEST(FairQueue, EstimatesTheCostAheadOfANewRequest)
{
    FairQueue queue;
    for (int i = 0; i < 100; ++i)
        queue.push(request(i, "flood", 10));
    queue.push(request(200, "a", 4));
    queue.push(request(201, "vip", 3, 1));
    EXPECT_EQ(queue.costAhead(0), 1'007);
    EXPECT_EQ(queue.fairCostAhead(request(300, "new")), 3);
    EXPECT_EQ(queue.fairCostAhead(request(300, "a")), 3 + 4 + 4);
    EXPECT_EQ(queue.fairCostAhead(request(300, "flood")), 1'007);
    // An earlier deadline goes before the customer's own requests with later ones.
    WaitingRequest urgent = request(300, "flood");
    urgent.m_deadline = Start;
    EXPECT_EQ(queue.fairCostAhead(urgent), 3);
}

struct Trace {
    std::vector<std::string> m_removedIds;
    size_t m_pushed = 0;
    size_t m_remaining = 0;
};

/// Makes random calls. Checks after each call that no request is lost and the capacity holds.
Trace randomCalls(uint64_t seed)
{
    RandomEngine random(seed);
    FairQueue queue({ .m_capacity = 40 });
    Trace trace;
    size_t refused = 0;
    TimePoint now = Start;
    for (int i = 0; i < 1'000; ++i) {
        now += Millis(random() % 50);
        const auto choice = random() % 10;
        if (choice < 5) {
            WaitingRequest next =
                request(i, std::string(1, 'a' + random() % 5), 1 + random() % 100, random() % 3);
            next.m_weight = 1 + random() % 3;
            next.m_startBy = now + Millis(random() % 3'000);
            const PushResult result = queue.push(next);
            trace.m_pushed += 1;
            refused += result.m_accepted ? 0 : 1;
            if (result.m_displaced)
                trace.m_removedIds.push_back("d" + result.m_displaced->m_id.str());
        } else if (choice < 8) {
            if (const auto next = queue.pop())
                trace.m_removedIds.push_back("p" + next->m_id.str());
        } else if (choice < 9) {
            if (const auto removed =
                    queue.remove(RequestId(std::to_string(1'000 + random() % 1'000))))
                trace.m_removedIds.push_back("r" + removed->m_id.str());
        } else {
            for (const WaitingRequest &expired : queue.expire(now))
                trace.m_removedIds.push_back("e" + expired.m_id.str());
        }
        EXPECT_LE(queue.size(), 40U);
        EXPECT_EQ(trace.m_pushed, refused + trace.m_removedIds.size() + queue.size());
    }
    trace.m_remaining = queue.size();
    while (queue.pop())
        trace.m_remaining -= 1;
    return trace;
}

TEST(FairQueue, RandomCallsLoseNothingAndAreDeterministic)
{
    for (uint64_t seed = 0; seed < 100; ++seed) {
        const Trace first = randomCalls(seed);
        EXPECT_EQ(first.m_remaining, 0U);
        ASSERT_EQ(first.m_removedIds, randomCalls(seed).m_removedIds) << "seed " << seed;
    }
}

} // namespace
} // namespace stackquay
