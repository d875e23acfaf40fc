#include "control/burn_report.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace stackquay {

namespace {

constexpr double FastBurn = 10;
constexpr double SlowBurn = 3;
constexpr size_t ListedCauses = 10;
constexpr double ShownParts = 1000; ///< Figures are shown to a thousandth.

std::string_view label(const HistogramSeries &series, std::string_view name)
{
    for (const MetricLabel &label : series.m_labels) {
        if (label.m_name == name)
            return label.m_value;
    }
    return {};
}

bool matches(const Objective &objective, const HistogramSeries &series)
{
    if (objective.m_customer && objective.m_customer->str() != label(series, "customer"))
        return false;
    if (objective.m_model && objective.m_model->str() != label(series, "model"))
        return false;
    return !objective.m_lengthClass
           || lengthClassName(*objective.m_lengthClass) == label(series, "length");
}

void addSeries(BurnCell &cell, const HistogramSeries &series, const Objective &objective)
{
    const uint64_t requests = series.m_snapshot.count();
    const double limit = std::chrono::duration<double>(objective.m_ttft).count();
    cell.m_requests += requests;
    cell.m_late += std::max(0.0, requests - countAtMost(series.m_snapshot, limit));
    const double allowed = cell.m_requests * (1 - objective.m_target);
    cell.m_burnRate = allowed > 0 ? cell.m_late / allowed : 0;
}

BurnState stateOf(const std::vector<BurnCell> &cells)
{
    if (cells.empty() || cells.back().m_requests == 0)
        return BurnState::Idle;
    const auto above = [&](size_t first, size_t second, double rate) {
        return second < cells.size() && cells[first].m_burnRate > rate
               && cells[second].m_burnRate > rate;
    };
    if (above(0, 1, FastBurn))
        return BurnState::Fast;
    if (above(1, 2, SlowBurn))
        return BurnState::Slow;
    return cells.back().m_burnRate > 1 ? BurnState::Overdrawn : BurnState::Ok;
}

void finish(BurnRow &row)
{
    row.m_state = stateOf(row.m_cells);
    row.m_budgetLeft = row.m_cells.empty() ? 1 : 1 - row.m_cells.back().m_burnRate;
}

BurnRow emptyRow(const Objective &objective, const std::vector<WindowSeries> &windows)
{
    BurnRow row;
    row.m_objective = objective.m_name;
    row.m_ttft = objective.m_ttft;
    row.m_target = objective.m_target;
    for (const WindowSeries &window : windows)
        row.m_cells.push_back(
            { Seconds(window.m_windowSeconds), Seconds(window.m_coveredSeconds) });
    return row;
}

bool sameCause(const BurnRow &row, const HistogramSeries &series)
{
    return row.m_customer == label(series, "customer") && row.m_model == label(series, "model")
           && row.m_length == label(series, "length");
}

/// One row for each customer, model and class that the objective covers.
std::vector<BurnRow> causesOf(const Objective &objective, const std::vector<WindowSeries> &windows)
{
    std::vector<BurnRow> rows;
    for (size_t index = 0; index < windows.size(); ++index) {
        for (const HistogramSeries &series : windows[index].m_series) {
            if (!matches(objective, series))
                continue;
            auto row = std::find_if(rows.begin(), rows.end(), [&](const BurnRow &candidate) {
                return sameCause(candidate, series);
            });
            if (row == rows.end()) {
                row = rows.insert(rows.end(), emptyRow(objective, windows));
                row->m_customer = label(series, "customer");
                row->m_model = label(series, "model");
                row->m_length = label(series, "length");
            }
            addSeries(row->m_cells[index], series, objective);
        }
    }
    return rows;
}

double lateOf(const BurnRow &row)
{
    return row.m_cells.empty() ? 0 : row.m_cells.back().m_late;
}

double rounded(double value)
{
    return std::round(value * ShownParts) / ShownParts;
}

std::string windowName(Seconds window)
{
    constexpr Seconds Hour = std::chrono::hours(1);
    constexpr Seconds Minute = std::chrono::minutes(1);
    if (window >= Hour)
        return fmt::format("{}h", window / Hour);
    return fmt::format("{}m", window / Minute);
}

std::string orAll(const std::string &name)
{
    return name.empty() ? "all" : name;
}

Table toTable(const std::vector<BurnRow> &rows)
{
    Table table{ "burn",
                 { { "objective" },
                   { "customer" },
                   { "model" },
                   { "length" },
                   { "ttft_ms", CellType::Number },
                   { "target", CellType::Number },
                   { "requests", CellType::Number },
                   { "late", CellType::Number } },
                 {} };
    for (const BurnCell &cell : rows.empty() ? std::vector<BurnCell>() : rows.front().m_cells)
        table.m_columns.push_back({ "burn_" + windowName(cell.m_window), CellType::Number });
    table.m_columns.push_back({ "budget_left", CellType::Number });
    table.m_columns.push_back({ "state" });
    for (const BurnRow &row : rows) {
        const BurnCell longest = row.m_cells.empty() ? BurnCell() : row.m_cells.back();
        Row cells{ row.m_objective,
                   orAll(row.m_customer),
                   orAll(row.m_model),
                   orAll(row.m_length),
                   static_cast<int64_t>(row.m_ttft.count()),
                   row.m_target,
                   static_cast<int64_t>(longest.m_requests),
                   longest.m_late };
        for (const BurnCell &cell : row.m_cells)
            cells.emplace_back(rounded(cell.m_burnRate));
        cells.emplace_back(rounded(row.m_budgetLeft));
        cells.emplace_back(std::string(burnStateName(row.m_state)));
        table.m_rows.push_back(std::move(cells));
    }
    return table;
}

} // namespace

std::string_view burnStateName(BurnState state)
{
    switch (state) {
    case BurnState::Idle:
        return "idle";
    case BurnState::Ok:
        return "ok";
    case BurnState::Overdrawn:
        return "overdrawn";
    case BurnState::Slow:
        return "slow burn";
    case BurnState::Fast:
        return "fast burn";
    }
    std::abort();
}

double countAtMost(const HistogramSnapshot &snapshot, double limit)
{
    const std::vector<double> &edges = snapshot.m_edges;
    if (edges.empty() || snapshot.m_counts.size() != edges.size() + 1)
        return 0;
    if (limit < edges.front())
        return 0;
    double count = static_cast<double>(snapshot.m_counts.front());
    for (size_t bucket = 0; bucket + 1 < edges.size(); ++bucket) {
        const double inside = static_cast<double>(snapshot.m_counts[bucket + 1]);
        if (limit >= edges[bucket + 1]) {
            count += inside;
            continue;
        }
        return count + inside * (limit - edges[bucket]) / (edges[bucket + 1] - edges[bucket]);
    }
    return count;
}

BurnReport makeBurnReport(const Intent &intent, const BurnInput &input)
{
    BurnReport report{
        input.m_scope, input.m_at, intent.m_revision, input.m_nodes, input.m_missing, {}, {}
    };
    for (const Objective &objective : intent.m_objectives) {
        BurnRow whole = emptyRow(objective, input.m_windows);
        whole.m_customer = objective.m_customer.value_or(CustomerId()).str();
        whole.m_model = objective.m_model.value_or(ModelId()).str();
        if (objective.m_lengthClass)
            whole.m_length = lengthClassName(*objective.m_lengthClass);
        for (size_t index = 0; index < input.m_windows.size(); ++index) {
            for (const HistogramSeries &series : input.m_windows[index].m_series) {
                if (matches(objective, series))
                    addSeries(whole.m_cells[index], series, objective);
            }
        }
        finish(whole);
        report.m_objectives.push_back(std::move(whole));
        for (BurnRow &cause : causesOf(objective, input.m_windows)) {
            finish(cause);
            if (lateOf(cause) > 0)
                report.m_causes.push_back(std::move(cause));
        }
    }
    std::stable_sort(
        report.m_causes.begin(), report.m_causes.end(),
        [](const BurnRow &left, const BurnRow &right) { return lateOf(left) > lateOf(right); });
    if (report.m_causes.size() > ListedCauses)
        report.m_causes.resize(ListedCauses);
    return report;
}

std::string renderText(const BurnReport &report)
{
    std::string text =
        fmt::format("Burn report of {} at {}, revision {}, from {} nodes\n", report.m_scope,
                    report.m_at, report.m_revision, report.m_nodes.size());
    if (!report.m_missing.empty())
        text += fmt::format("missing: {}\n", fmt::join(report.m_missing, ", "));
    text += "\nObjectives\n" + renderText(toTable(report.m_objectives));
    text += "\nWhat burns most\n";
    text += report.m_causes.empty() ? "nothing\n" : renderText(toTable(report.m_causes));
    return text;
}

IntentJson renderJson(const BurnReport &report)
{
    return { { "scope", report.m_scope },
             { "at", report.m_at },
             { "revision", report.m_revision },
             { "nodes", report.m_nodes },
             { "missing", report.m_missing },
             { "objectives", renderJson(toTable(report.m_objectives))["rows"] },
             { "causes", renderJson(toTable(report.m_causes))["rows"] } };
}

} // namespace stackquay
