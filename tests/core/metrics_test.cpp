#include <cmath>
#include <thread>

#include <gtest/gtest.h>

#include "core/core.h"

namespace stackquay {
namespace {

TEST(Histogram, QuantilesAreWithinOneBucket)
{
    Histogram histogram({ 1, 1000, 300 });
    for (int i = 1; i <= 1000; ++i)
        histogram.record(static_cast<double>(i));
    const double bucket = std::pow(1000.0, 1.0 / 300) * (1 + 1e-9); // Edges included.
    for (const double q : { 0.01, 0.5, 0.9, 0.99 }) {
        EXPECT_LT(histogram.quantile(q), 1000 * q * bucket);
        EXPECT_GT(histogram.quantile(q), 1000 * q / bucket);
    }
}

TEST(Histogram, KeepsValuesOutsideTheAxis)
{
    Histogram histogram({ 1, 10, 5 });
    for (const double value : { -1.0, 0.0, 0.5, 11.0, 1e9 })
        histogram.record(value);
    const HistogramSnapshot snapshot = histogram.snapshot();
    EXPECT_EQ(snapshot.count(), 5u);
    EXPECT_EQ(snapshot.m_counts.front(), 3u);
    EXPECT_EQ(snapshot.m_counts.back(), 2u);
    EXPECT_EQ(snapshot.quantile(0), 1);
    EXPECT_NEAR(snapshot.quantile(1), 10, 1e-9);
    EXPECT_EQ(Histogram().quantile(0.5), 0);
}

TEST(Histogram, LosesNothingUnderConcurrentRecording)
{
    constexpr int Threads = 8;
    constexpr int Records = 50'000;
    Histogram histogram;
    std::vector<std::thread> threads;
    for (int i = 0; i < Threads; ++i) {
        threads.emplace_back([&histogram] {
            for (int n = 0; n < Records; ++n)
                histogram.record(Millis(1 + n % 100));
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    const HistogramSnapshot snapshot = histogram.snapshot();
    EXPECT_EQ(snapshot.count(), uint64_t{ Threads } * Records);
    EXPECT_NEAR(snapshot.m_sum, Threads * (Records / 100) * 5.05, 1e-3);
}

TEST(Histogram, SnapshotsMergeAfterTheWire)
{
    Histogram first;
    Histogram second;
    first.record(Millis(10));
    second.record(Millis(20));
    second.record(Millis(30));
    const auto sent = unpackMessage<HistogramSnapshot>(packMessage(second.snapshot()));
    ASSERT_TRUE(sent);
    HistogramSnapshot merged;
    ASSERT_TRUE(merged.merge(first.snapshot()));
    ASSERT_TRUE(merged.merge(*sent));
    EXPECT_EQ(merged.count(), 3u);
    EXPECT_NEAR(merged.m_sum, 0.06, 1e-9);

    EXPECT_FALSE(merged.merge(Histogram(TokensAxis).snapshot()));
    HistogramSnapshot damaged = first.snapshot();
    damaged.m_counts.pop_back();
    EXPECT_FALSE(merged.merge(damaged));
    EXPECT_EQ(merged.count(), 3u);
}

TEST(Metrics, SameNameAndLabelsAreOneMetric)
{
    MetricsRegistry registry;
    Counter &counter = registry.counter("a_total", "A.", { { "x", "1" }, { "y", "2" } });
    counter.add(3);
    for (int i = 0; i < 1000; ++i)
        registry.counter("b_total", "B.", { { "i", std::to_string(i) } });
    EXPECT_EQ(&registry.counter("a_total", "A.", { { "y", "2" }, { "x", "1" } }), &counter);
    EXPECT_EQ(counter.value(), 3u);
    EXPECT_DEATH(registry.gauge("a_total", "A."), "two types");
}

TEST(Metrics, ExpositionIsPrometheusText)
{
    MetricsRegistry registry;
    registry.counter("requests_total", "Requests.", { { "path", "a\"b\\c\nd" } }).add(2);
    Gauge &gauge = registry.gauge("memory_bytes", "Memory.");
    registry.onCollect([&gauge] { gauge.set(1.5); });
    Histogram &histogram = registry.histogram("wait", "Wait.", { 1, 100, 2 });
    for (const double value : { 0.5, 5.0, 50.0, 500.0 })
        histogram.record(value);
    EXPECT_EQ(registry.exposition(), "# HELP memory_bytes Memory.\n"
                                     "# TYPE memory_bytes gauge\n"
                                     "memory_bytes 1.5\n"
                                     "# HELP requests_total Requests.\n"
                                     "# TYPE requests_total counter\n"
                                     "requests_total{path=\"a\\\"b\\\\c\\nd\"} 2\n"
                                     "# HELP wait Wait.\n"
                                     "# TYPE wait histogram\n"
                                     "wait_bucket{le=\"1\"} 1\n"
                                     "wait_bucket{le=\"10\"} 2\n"
                                     "wait_bucket{le=\"100\"} 3\n"
                                     "wait_bucket{le=\"+Inf\"} 4\n"
                                     "wait_sum 555.5\n"
                                     "wait_count 4\n");
    EXPECT_EQ(registry.histograms("wait").size(), 1u);
    EXPECT_TRUE(registry.histograms("memory_bytes").empty());
    EXPECT_NE(metricsMarkdown(registry).find("| `wait` | histogram | Wait. |"), std::string::npos);
}

} // namespace
} // namespace stackquay
