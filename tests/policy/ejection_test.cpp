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

TEST(EjectionTest, TwoConsecutiveWeakFailuresOrOneStrongEject)
{
    EjectionTable table;
    EXPECT_FALSE(recordFailure(table, EndpointId("a"), FailureWeight::Weak, Start));
    recordSuccess(table, EndpointId("a"));
    EXPECT_FALSE(recordFailure(table, EndpointId("a"), FailureWeight::Weak, Start));
    EXPECT_TRUE(recordFailure(table, EndpointId("a"), FailureWeight::Weak, Start));
    EXPECT_TRUE(recordFailure(table, EndpointId("b"), FailureWeight::Strong, Start));
    EXPECT_FALSE(recordFailure(table, EndpointId("c"), FailureWeight::None, Start));
    EXPECT_TRUE(isEjected(table, EndpointId("a"), Start));
    EXPECT_TRUE(isEjected(table, EndpointId("b"), Start));
    EXPECT_FALSE(isEjected(table, EndpointId("c"), Start));
}

TEST(EjectionTest, EjectionEndsByItselfAndGrowsUpToTheLimit)
{
    EjectionTable table;
    TimePoint now = Start;
    Duration longest{};
    for (int i = 0; i < 10; ++i) {
        ASSERT_TRUE(recordFailure(table, EndpointId("a"), FailureWeight::Strong, now));
        const Duration time = table.m_endpoints[EndpointId("a")].m_ejectedUntil - now;
        EXPECT_GE(time, longest);
        EXPECT_LE(time, table.m_settings.m_max);
        longest = time;
        now += time + Millis(1);
        EXPECT_FALSE(isEjected(table, EndpointId("a"), now));
    }
    EXPECT_EQ(longest, table.m_settings.m_max);
}

// One of three data centres that is cut off reaches a third of the endpoints and uses only these.
TEST(EjectionTest, UsesTheWholePoolIfTooFewAreHealthy)
{
    EjectionTable table;
    std::vector<EndpointRecord> pool;
    for (const char *id : { "a", "b", "c", "d", "e", "f" })
        pool.push_back(endpoint(id));
    for (const char *id : { "a", "b", "c", "d" })
        recordFailure(table, EndpointId(id), FailureWeight::Strong, Start);
    EXPECT_EQ(healthyEndpoints(table, pool, Start).size(), 2u);
    recordFailure(table, EndpointId("e"), FailureWeight::Strong, Start);
    EXPECT_EQ(healthyEndpoints(table, pool, Start).size(), 6u);
}

const EndpointId Bad("bad");

constexpr size_t EndpointCount = 60;

TEST(PeerFailureTest, FailuresOfThreeVmsEjectAndOfOneDoNot)
{
    EjectionTable table;
    TimePoint now = Start;
    for (int i = 0; i < 100; ++i)
        EXPECT_FALSE(recordPeerFailure(table, Bad, EndpointCount, 1, now += Millis(10)));
    EXPECT_FALSE(recordPeerFailure(table, Bad, EndpointCount, 2, now += Millis(10)));
    EXPECT_TRUE(recordPeerFailure(table, Bad, EndpointCount, 3, now += Millis(10)));
    EXPECT_TRUE(isEjected(table, Bad, now));
}

// The endpoint answers other VMs: the failures are due to the network path of some VMs, or
// isolated.
TEST(PeerFailureTest, SuccessOfAnyVmResetsTheFailures)
{
    EjectionTable table;
    TimePoint now = Start;
    for (uint64_t vm = 1; vm < 50; ++vm) {
        EXPECT_FALSE(recordPeerFailure(table, Bad, EndpointCount, vm, now += Millis(20)));
        if (vm % 2 == 0)
            recordPeerSuccess(table, Bad);
    }
    // Failures of this VM's own requests are not reset.
    EXPECT_FALSE(recordFailure(table, Bad, FailureWeight::Weak, now));
    recordPeerSuccess(table, Bad);
    EXPECT_TRUE(recordFailure(table, Bad, FailureWeight::Weak, now));
}

TEST(PeerFailureTest, FailuresFarApartDoNotEject)
{
    EjectionTable table;
    TimePoint now = Start;
    for (uint64_t vm = 1; vm < 50; ++vm) {
        EXPECT_FALSE(recordPeerFailure(table, Bad, EndpointCount, vm, now));
        now += table.m_peerSettings.m_window + Millis(1);
    }
}

// All connections of eight VMs are reset within a few milliseconds.
TEST(PeerFailureTest, ResetOfAllConnectionsEjectsNoEndpoint)
{
    constexpr uint64_t Vms = 8;
    constexpr size_t Engines = 18;
    EjectionTable table;
    for (uint64_t vm = 1; vm <= Vms; ++vm) {
        for (size_t engine = 0; engine < Engines; ++engine) {
            const EndpointId id(std::to_string(engine));
            EXPECT_FALSE(recordPeerFailure(table, id, Engines, vm, Start + Millis(vm)));
        }
    }
}

// Answers of all endpoints are interrupted for seconds: the cause is not a single endpoint.
TEST(PeerFailureTest, FailuresOfAllEndpointsEjectNone)
{
    constexpr size_t Engines = 18;
    EjectionTable table;
    std::mt19937_64 random(1);
    for (TimePoint now = Start; now < Start + Seconds(2); now += Millis(5)) {
        const EndpointId id(std::to_string(random() % Engines));
        EXPECT_FALSE(recordPeerFailure(table, id, Engines, random() % 8, now));
    }
}

/// Simulates a fleet of @p vms VMs with @p perSecond requests per second for 6 s, with one endpoint
/// that resets each request after 10 ms. Having nothing in flight, it looks idle, so each VM that
/// has not ejected it sends its requests there. Reports of failures reach other VMs after 5 ms.
/// Returns the number of failed attempts.
size_t failuresOnResettingEndpoint(size_t vms, double perSecond)
{
    struct Report {
        TimePoint m_at{};
        uint64_t m_vm = 0;
    };
    constexpr Millis ResetAfter{ 10 };
    constexpr Millis ReportDelay{ 5 };
    std::vector<EjectionTable> tables(vms);
    std::deque<Report> failures;
    std::deque<Report> reports;
    std::mt19937_64 random(vms);
    size_t failed = 0;
    double due = 0;
    for (TimePoint now = Start; now < Start + Seconds(6); now += Millis(1)) {
        for (; !failures.empty() && failures.front().m_at <= now; failures.pop_front()) {
            const uint64_t vm = failures.front().m_vm;
            ++failed;
            recordFailure(tables[vm], Bad, FailureWeight::Weak, now);
            recordPeerFailure(tables[vm], Bad, EndpointCount, vm, now);
            reports.push_back({ now + ReportDelay, vm });
        }
        for (; !reports.empty() && reports.front().m_at <= now; reports.pop_front()) {
            for (uint64_t vm = 0; vm < vms; ++vm) {
                if (vm != reports.front().m_vm)
                    recordPeerFailure(tables[vm], Bad, EndpointCount, reports.front().m_vm, now);
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

/// Limit for the failed attempts of the whole fleet.
constexpr size_t MaxFailures = 20;

TEST(PeerFailureTest, ResettingEndpointCostsFewRequestsInAnyFleetSize)
{
    EXPECT_LE(failuresOnResettingEndpoint(6, 45), MaxFailures);
    EXPECT_LE(failuresOnResettingEndpoint(72, 106), MaxFailures);
    EXPECT_LE(failuresOnResettingEndpoint(300, 266), MaxFailures);
}

} // namespace
} // namespace stackquay
