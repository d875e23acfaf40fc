#include <gtest/gtest.h>

#include "control/control.h"

namespace stackquay {
namespace {

MetricLabels labels(const std::string &customer, const std::string &length)
{
    return { { "customer", customer }, { "model", "m" }, { "length", length } };
}

/// Ten buckets of a second each, from 0 to 10.
HistogramSnapshot snapshot(uint64_t fast, uint64_t slow)
{
    HistogramSnapshot result;
    for (int edge = 0; edge <= 10; ++edge)
        result.m_edges.push_back(edge);
    result.m_counts.assign(12, 0);
    result.m_counts[1] = fast; // Up to a second.
    result.m_counts[6] = slow; // Five to six seconds.
    return result;
}

Intent objectives()
{
    Intent intent;
    intent.m_revision = 9;
    Objective quick;
    quick.m_name = "quick";
    quick.m_lengthClass = LengthClass::Short;
    quick.m_ttft = Millis(2000);
    quick.m_target = 0.9;
    Objective ann = quick;
    ann.m_name = "ann-only";
    ann.m_customer = CustomerId("ann");
    intent.m_objectives = { quick, ann };
    return intent;
}

std::vector<WindowSeries> windows(const HistogramSnapshot &ann, const HistogramSnapshot &bob)
{
    std::vector<WindowSeries> result;
    for (const uint64_t seconds : { 300, 3600, 21600 })
        result.push_back({ seconds,
                           seconds,
                           { { labels("ann", "short"), ann },
                             { labels("bob", "short"), bob },
                             { labels("bob", "long"), snapshot(0, 1000) } } });
    return result;
}

TEST(BurnReport, countsLateRequestsAgainstTheBudget)
{
    const BurnInput input{ "d", "now", { "a" }, {}, windows(snapshot(90, 10), snapshot(100, 0)) };
    const BurnReport report = makeBurnReport(objectives(), input);
    ASSERT_EQ(report.m_objectives.size(), 2u);
    const BurnRow &quick = report.m_objectives[0];
    EXPECT_EQ(quick.m_cells[0].m_requests, 200u);
    EXPECT_NEAR(quick.m_cells[0].m_late, 10, 1e-9);
    EXPECT_NEAR(quick.m_cells[0].m_burnRate, 0.5, 1e-9);
    EXPECT_NEAR(quick.m_budgetLeft, 0.5, 1e-9);
    EXPECT_EQ(quick.m_state, BurnState::Ok);
    EXPECT_NEAR(report.m_objectives[1].m_cells[2].m_burnRate, 1.0, 1e-9);
    ASSERT_EQ(report.m_causes.size(), 2u);
    EXPECT_EQ(report.m_causes[0].m_customer, "ann");
}

TEST(BurnReport, statesFollowTheWindows)
{
    const BurnInput fast{ "d", "now", { "a" }, {}, windows(snapshot(0, 10), snapshot(0, 10)) };
    Intent intent = objectives();
    intent.m_objectives[0].m_target = 0.95;
    EXPECT_EQ(makeBurnReport(intent, fast).m_objectives[0].m_state, BurnState::Fast);
    BurnInput slow = fast;
    slow.m_windows[0].m_series.clear();
    EXPECT_EQ(makeBurnReport(intent, slow).m_objectives[0].m_state, BurnState::Slow);
    const BurnInput spent{ "d", "now", { "a" }, {}, windows(snapshot(90, 10), snapshot(90, 10)) };
    EXPECT_EQ(makeBurnReport(intent, spent).m_objectives[0].m_state, BurnState::Overdrawn);
    EXPECT_EQ(makeBurnReport(intent, {}).m_objectives[0].m_state, BurnState::Idle);
}

TEST(BurnReport, interpolatesInTheBucket)
{
    EXPECT_NEAR(countAtMost(snapshot(4, 10), 5.5), 9, 1e-9);
    EXPECT_EQ(countAtMost(snapshot(4, 10), 100), 14);
    EXPECT_EQ(countAtMost(HistogramSnapshot(), 1), 0);
}

TEST(BurnReport, namesMissingNodesInEveryForm)
{
    const BurnInput input{
        "d<1>", "now", { "a" }, { "vm-7" }, windows(snapshot(9, 1), snapshot(9, 1))
    };
    const BurnReport report = makeBurnReport(objectives(), input);
    EXPECT_NE(renderText(report).find("missing: vm-7"), std::string::npos);
    EXPECT_EQ(renderJson(report)["missing"][0], "vm-7");
    const std::string page = renderHtml(report);
    EXPECT_NE(page.find("Missing: vm-7."), std::string::npos);
    EXPECT_NE(page.find("d&lt;1&gt;"), std::string::npos);
    EXPECT_NE(page.find("<svg"), std::string::npos);
    EXPECT_EQ(page.find("<script"), std::string::npos);
}

TEST(BurnHistory, windowsHoldWhatCameInThem)
{
    BurnHistory history;
    TimePoint now{};
    const auto record = [&](uint64_t fast) {
        history.record(now, { { labels("ann", "short"), snapshot(fast, 0) } });
    };
    record(0);
    for (int step = 1; step <= 40; ++step) { // Twenty minutes, ten requests in each half minute.
        now += Seconds(30);
        record(step * 10);
    }
    const std::vector<WindowSeries> windows = history.windows();
    ASSERT_EQ(windows.size(), 3u);
    EXPECT_EQ(windows[0].m_series[0].m_snapshot.count(), 100u);
    EXPECT_EQ(windows[0].m_coveredSeconds, 300u);
    EXPECT_EQ(windows[1].m_series[0].m_snapshot.count(), 400u);
    EXPECT_EQ(windows[1].m_coveredSeconds, 1200u);
}

TEST(BurnHistory, mergesNodesAndRefusesOtherEdges)
{
    std::vector<WindowSeries> merged;
    ASSERT_TRUE(mergeWindows(merged, windows(snapshot(1, 0), snapshot(2, 0))));
    ASSERT_TRUE(mergeWindows(merged, windows(snapshot(3, 1), snapshot(0, 0))));
    EXPECT_EQ(merged[0].m_series[0].m_snapshot.count(), 5u);
    EXPECT_EQ(merged[0].m_series[1].m_snapshot.count(), 2u);
    std::vector<WindowSeries> other = windows(snapshot(1, 0), snapshot(1, 0));
    other[0].m_series[0].m_snapshot.m_edges[3] = 3.5;
    EXPECT_FALSE(mergeWindows(merged, other));
}

} // namespace
} // namespace stackquay
