#include <deque>
#include <random>

#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(1'000);

EndpointRecord endpoint(const char *id)
{
    EndpointRecord record;
    record.m_id = EndpointId(id);
    return record;
}

TEST(EjectionTest, TwoFailuresInARowOrOneTellingEject)
{
    EjectionTable table;
    EXPECT_FALSE(recordFailure(table, EndpointId("a"), FailureWeight::Chance, Start));
    recordSuccess(table, EndpointId("a"));
    EXPECT_FALSE(recordFailure(table, EndpointId("a"), FailureWeight::Chance, Start));
    EXPECT_TRUE(recordFailure(table, EndpointId("a"), FailureWeight::Chance, Start));
    EXPECT_TRUE(recordFailure(table, EndpointId("b"), FailureWeight::Telling, Start));
    EXPECT_FALSE(recordFailure(table, EndpointId("c"), FailureWeight::None, Start));
    EXPECT_TRUE(isEjected(table, EndpointId("a"), Start));
    EXPECT_TRUE(isEjected(table, EndpointId("b"), Start));
    EXPECT_FALSE(isEjected(table, EndpointId("c"), Start));
}

TEST(EjectionTest, EndsByItselfAndGrowsUpToItsMost)
{
    EjectionTable table;
    TimePoint now = Start;
    Duration longest{};
    for (int i = 0; i < 10; ++i) {
        ASSERT_TRUE(recordFailure(table, EndpointId("a"), FailureWeight::Telling, now));
        const Duration time = table.m_endpoints[EndpointId("a")].m_ejectedUntil - now;
        EXPECT_GE(time, longest);
        EXPECT_LE(time, table.m_settings.m_max);
        longest = time;
        now += time + Millis(1);
        EXPECT_FALSE(isEjected(table, EndpointId("a"), now));
    }
    EXPECT_EQ(longest, table.m_settings.m_max);
}

// A data centre of three that is cut off reaches a third of the endpoints, and uses just these.
TEST(EjectionTest, LeavesAPartOfEachPoolIn)
{
    EjectionTable table;
    std::vector<EndpointRecord> pool;
    for (const char *id : { "a", "b", "c", "d", "e", "f" })
        pool.push_back(endpoint(id));
    for (const char *id : { "a", "b", "c", "d" })
        recordFailure(table, EndpointId(id), FailureWeight::Telling, Start);
    EXPECT_EQ(healthyOf(table, pool, Start).size(), 2u);
    recordFailure(table, EndpointId("e"), FailureWeight::Telling, Start);
    EXPECT_EQ(healthyOf(table, pool, Start).size(), 6u);
}

const EndpointId Bad("bad");

/// Of so many endpoints.
constexpr size_t Pool = 60;

TEST(SharedFailureTest, ThreeVmsInARowEjectAndOneDoesNot)
{
    EjectionTable table;
    TimePoint now = Start;
    for (int i = 0; i < 100; ++i)
        EXPECT_FALSE(recordSharedFailure(table, Bad, Pool, 1, now += Millis(10)));
    EXPECT_FALSE(recordSharedFailure(table, Bad, Pool, 2, now += Millis(10)));
    EXPECT_TRUE(recordSharedFailure(table, Bad, Pool, 3, now += Millis(10)));
    EXPECT_TRUE(isEjected(table, Bad, now));
}

// It answers others: the failures are of some callers' ways there, or of chance.
TEST(SharedFailureTest, SuccessOfAnyVmBeginsAnew)
{
    EjectionTable table;
    TimePoint now = Start;
    for (uint64_t vm = 1; vm < 50; ++vm) {
        EXPECT_FALSE(recordSharedFailure(table, Bad, Pool, vm, now += Millis(20)));
        if (vm % 2 == 0)
            recordSharedSuccess(table, Bad);
    }
    // What this VM saw itself stays.
    EXPECT_FALSE(recordFailure(table, Bad, FailureWeight::Chance, now));
    recordSharedSuccess(table, Bad);
    EXPECT_TRUE(recordFailure(table, Bad, FailureWeight::Chance, now));
}

TEST(SharedFailureTest, FailuresFarApartAreNotOfOneFault)
{
    EjectionTable table;
    TimePoint now = Start;
    for (uint64_t vm = 1; vm < 50; ++vm) {
        EXPECT_FALSE(recordSharedFailure(table, Bad, Pool, vm, now));
        now += table.m_sharedSettings.m_memory + Millis(1);
    }
}

// All connections of eight VMs are reset within some milliseconds.
TEST(SharedFailureTest, ResetOfAllConnectionsEjectsNoEndpoint)
{
    constexpr uint64_t Vms = 8;
    constexpr size_t Engines = 18;
    EjectionTable table;
    for (uint64_t vm = 1; vm <= Vms; ++vm) {
        for (size_t engine = 0; engine < Engines; ++engine) {
            const EndpointId id(std::to_string(engine));
            EXPECT_FALSE(recordSharedFailure(table, id, Engines, vm, Start + Millis(vm)));
        }
    }
}

// For seconds, answers of every endpoint break off: whatever it is, it is not one of them.
TEST(SharedFailureTest, WhatHappensEverywhereEjectsNoEndpoint)
{
    constexpr size_t Engines = 18;
    EjectionTable table;
    std::mt19937_64 random(1);
    for (TimePoint now = Start; now < Start + Seconds(2); now += Millis(5)) {
        const EndpointId id(std::to_string(random() % Engines));
        EXPECT_FALSE(recordSharedFailure(table, id, Engines, random() % 8, now));
    }
}

/// A fleet of @p vms that is asked @p perSecond times a second for 6 s, with one endpoint that
/// resets each request after 10 ms. It has nothing in flight, so that each VM that does not leave
/// it out takes it. A VM hears of another's failure after 5 ms. Returns the failed attempts.
size_t failuresOnBlackHole(size_t vms, double perSecond)
{
    struct News {
        TimePoint m_at{};
        uint64_t m_vm = 0;
    };
    constexpr Millis ResetAfter{ 10 };
    constexpr Millis Travel{ 5 };
    std::vector<EjectionTable> tables(vms);
    std::deque<News> failures;
    std::deque<News> news;
    std::mt19937_64 random(vms);
    size_t failed = 0;
    double due = 0;
    for (TimePoint now = Start; now < Start + Seconds(6); now += Millis(1)) {
        for (; !failures.empty() && failures.front().m_at <= now; failures.pop_front()) {
            const uint64_t vm = failures.front().m_vm;
            ++failed;
            recordFailure(tables[vm], Bad, FailureWeight::Chance, now);
            recordSharedFailure(tables[vm], Bad, Pool, vm, now);
            news.push_back({ now + Travel, vm });
        }
        for (; !news.empty() && news.front().m_at <= now; news.pop_front()) {
            for (uint64_t vm = 0; vm < vms; ++vm) {
                if (vm != news.front().m_vm)
                    recordSharedFailure(tables[vm], Bad, Pool, news.front().m_vm, now);
            }
        }
        for (due += perSecond / 1'000; due >= 1; --due) {
            const uint64_t vm = random() % vms;
            if (!isEjected(tables[vm], Bad, now))
                failures.push_back({ now + ResetAfter, vm });
        }
    }
    return failed;
}

/// Failed attempts on one such endpoint, in all.
constexpr size_t MostFailures = 20;

TEST(SharedFailureTest, BlackHoleCostsAsLittleInALargeFleetAsInASmallOne)
{
    EXPECT_LE(failuresOnBlackHole(6, 45), MostFailures);
    EXPECT_LE(failuresOnBlackHole(72, 106), MostFailures);
    EXPECT_LE(failuresOnBlackHole(300, 266), MostFailures);
}

} // namespace
} // namespace stackquay
