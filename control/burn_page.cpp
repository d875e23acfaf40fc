#include <algorithm>
#include <cmath>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "control/burn_report.h"

namespace stackquay {

namespace {

constexpr int ChartWidth = 720;
constexpr int LabelWidth = 190;
constexpr int BarHeight = 12;
constexpr int BarGap = 3;
constexpr int GroupGap = 12;
constexpr int AxisHeight = 22;
constexpr double LeastScale = 2; ///< Burn rates up to this always fit.

constexpr std::string_view Head = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Burn report</title>
<meta name="viewport" content="width=device-width, initial-scale=1">
<style>
body{font:15px/1.45 system-ui,sans-serif;margin:24px auto;max-width:1080px;padding:0 16px;color:#1c2430}
h1{font-size:22px;margin:0 0 4px}h2{font-size:17px;margin:28px 0 8px}
p{margin:4px 0}.muted{color:#5b6675}.missing{background:#fdecea;border-left:4px solid #c0392b;padding:8px 12px}
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}
th,td{padding:5px 8px;border-bottom:1px solid #e3e7ec;text-align:left;white-space:nowrap}
td.n,th.n{text-align:right}.wide{overflow-x:auto}
.state{padding:1px 8px;border-radius:9px;background:#e8f5ec;color:#1d6b3a}
.state.fast{background:#fdecea;color:#a5281b}.state.slow{background:#fff4df;color:#8a5a00}
.state.idle{background:#eef1f4;color:#5b6675}
svg text{font:12px system-ui,sans-serif;fill:#1c2430}svg .muted{fill:#5b6675}
</style></head><body>
)";

std::string escaped(std::string_view text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

std::string_view stateClass(BurnState state)
{
    switch (state) {
    case BurnState::Fast:
        return "fast";
    case BurnState::Slow:
    case BurnState::Overdrawn:
        return "slow";
    case BurnState::Idle:
        return "idle";
    case BurnState::Ok:
        break;
    }
    return "ok";
}

std::string windowLabel(Seconds window)
{
    constexpr Seconds Hour = std::chrono::hours(1);
    return window >= Hour ? fmt::format("{} h", window / Hour)
                          : fmt::format("{} min", window / Seconds(std::chrono::minutes(1)));
}

std::string orAll(const std::string &name)
{
    return name.empty() ? "all" : escaped(name);
}

std::string rowHtml(const BurnRow &row)
{
    const BurnCell longest = row.m_cells.empty() ? BurnCell() : row.m_cells.back();
    std::string html = fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td class=n>{} ms</td>"
        "<td class=n>{:.4g}%</td><td class=n>{}</td><td class=n>{:.0f}</td>",
        escaped(row.m_objective), orAll(row.m_customer), orAll(row.m_model), orAll(row.m_length),
        row.m_ttft.count(), row.m_target * 100, longest.m_requests, longest.m_late);
    for (const BurnCell &cell : row.m_cells)
        html += fmt::format("<td class=n>{:.2f}</td>", cell.m_burnRate);
    html +=
        fmt::format("<td class=n>{:.0f}%</td><td><span class=\"state {}\">{}</span></td></tr>\n",
                    row.m_budgetLeft * 100, stateClass(row.m_state), burnStateName(row.m_state));
    return html;
}

std::string tableHtml(const std::vector<BurnRow> &rows)
{
    if (rows.empty())
        return "<p class=muted>Nothing.</p>\n";
    std::string html = "<div class=wide><table><tr><th>Objective</th><th>Customer</th>"
                       "<th>Model</th><th>Length</th><th class=n>First token</th>"
                       "<th class=n>Target</th><th class=n>Requests</th><th class=n>Late</th>";
    for (const BurnCell &cell : rows.front().m_cells)
        html += fmt::format("<th class=n>Burn {}</th>", windowLabel(cell.m_window));
    html += "<th class=n>Budget left</th><th>State</th></tr>\n";
    for (const BurnRow &row : rows)
        html += rowHtml(row);
    return html + "</table></div>\n";
}

constexpr std::string_view barColour(double rate)
{
    if (rate > 10)
        return "#c0392b";
    return rate > 1 ? "#e0992b" : "#3a8f5c";
}

double chartScale(const std::vector<BurnRow> &rows)
{
    double highest = LeastScale;
    for (const BurnRow &row : rows) {
        for (const BurnCell &cell : row.m_cells)
            highest = std::max(highest, cell.m_burnRate);
    }
    return highest;
}

std::string barSvg(const BurnCell &cell, int y, double scale)
{
    constexpr int Space = ChartWidth - LabelWidth - 110;
    const double width = std::max(1.0, Space * cell.m_burnRate / scale);
    return fmt::format(
        "<rect x=\"{}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" rx=\"2\" "
        "fill=\"{}\"/><text x=\"{:.1f}\" y=\"{}\" class=\"muted\">{:.2f} · {}</text>\n",
        LabelWidth, y, width, BarHeight, barColour(cell.m_burnRate), LabelWidth + width + 6,
        y + BarHeight - 2, cell.m_burnRate, windowLabel(cell.m_window));
}

/// Horizontal bars: one group an objective, one bar a window, and a line where the burn rate is 1.
std::string chartSvg(const std::vector<BurnRow> &rows)
{
    if (rows.empty())
        return "";
    const double scale = chartScale(rows);
    const int windows = static_cast<int>(rows.front().m_cells.size());
    const int group = windows * (BarHeight + BarGap) + GroupGap;
    const int height = static_cast<int>(rows.size()) * group + AxisHeight;
    const double one = LabelWidth + (ChartWidth - LabelWidth - 110) / scale;
    std::string svg =
        fmt::format("<svg role=\"img\" aria-label=\"Burn rates\" viewBox=\"0 0 {} {}\" "
                    "width=\"100%\" style=\"max-width:{}px\">\n",
                    ChartWidth, height, ChartWidth);
    for (size_t index = 0; index < rows.size(); ++index) {
        const int top = static_cast<int>(index) * group + AxisHeight;
        svg += fmt::format("<text x=\"0\" y=\"{}\">{}</text>\n", top + BarHeight - 1,
                           escaped(rows[index].m_objective));
        for (int bar = 0; bar < windows; ++bar)
            svg += barSvg(rows[index].m_cells[bar], top + bar * (BarHeight + BarGap), scale);
    }
    svg +=
        fmt::format("<line x1=\"{0:.1f}\" x2=\"{0:.1f}\" y1=\"{1}\" y2=\"{2}\" stroke=\"#1c2430\" "
                    "stroke-dasharray=\"3 3\"/><text x=\"{0:.1f}\" y=\"12\" "
                    "text-anchor=\"middle\">1 = budget just used up</text>\n",
                    one, AxisHeight - 6, height);
    return svg + "</svg>\n";
}

} // namespace

std::string renderHtml(const BurnReport &report)
{
    std::string html(Head);
    html +=
        fmt::format("<h1>Burn report: {}</h1><p class=muted>{} · revision {} · {} nodes: {}</p>\n",
                    escaped(report.m_scope), report.m_at, report.m_revision, report.m_nodes.size(),
                    escaped(fmt::format("{}", fmt::join(report.m_nodes, ", "))));
    if (!report.m_missing.empty())
        html += fmt::format("<p class=missing>Missing: {}. Their requests are not counted.</p>\n",
                            escaped(fmt::format("{}", fmt::join(report.m_missing, ", "))));
    html += "<h2>Burn rate by objective and window</h2>\n" + chartSvg(report.m_objectives);
    html += "<h2>Objectives</h2>\n" + tableHtml(report.m_objectives);
    html += "<h2>What burns most</h2>\n" + tableHtml(report.m_causes);
    return html + "</body></html>\n";
}

} // namespace stackquay
