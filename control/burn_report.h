/// How fast the declared objectives' error budgets burn, from merged histograms. Pure.
#pragma once

#include "control/burn_history.h"
#include "control/table.h"

namespace stackquay {

/// What an objective or a part of it did in one window.
struct BurnCell {
    Seconds m_window{ 0 };
    Seconds m_covered{ 0 };
    uint64_t m_requests = 0;
    double m_late = 0; ///< Requests over the objective's time, interpolated in their bucket.
    /// Late fraction over the allowed fraction: at 1 the budget is just used up over the window.
    double m_burnRate = 0;
};

enum class BurnState {
    Idle, ///< No requests.
    Ok,
    Overdrawn, ///< Used more than its budget over the longest window, at no alarming rate now.
    Slow, ///< Burns above 3 over both longer windows.
    Fast, ///< Burns above 10 over both shorter windows.
};

std::string_view burnStateName(BurnState state);

struct BurnRow {
    std::string m_objective;
    std::string m_customer; ///< Empty in the row of the whole objective; so the next two.
    std::string m_model;
    std::string m_length;
    Millis m_ttft{ 0 };
    double m_target = 0;
    std::vector<BurnCell> m_cells; ///< Shortest window first.
    double m_budgetLeft = 1; ///< Of the longest window; below 0: overdrawn.
    BurnState m_state = BurnState::Idle;
};

struct BurnReport {
    std::string m_scope; ///< Such as the data centre.
    std::string m_at; ///< Wall time.
    uint64_t m_revision = 0; ///< Of the intent that declares the objectives.
    std::vector<std::string> m_nodes; ///< That reported.
    std::vector<std::string> m_missing; ///< That did not.
    std::vector<BurnRow> m_objectives;
    std::vector<BurnRow> m_causes; ///< Customer, model and class, those that burn most first.
};

struct BurnInput {
    std::string m_scope;
    std::string m_at;
    std::vector<std::string> m_nodes;
    std::vector<std::string> m_missing;
    /// Merged over the nodes; labels "customer", "model" and "length", values in seconds.
    std::vector<WindowSeries> m_windows;
};

BurnReport makeBurnReport(const Intent &intent, const BurnInput &input);

/// Requests whose value is at most @p limit, interpolated in the bucket around it.
double countAtMost(const HistogramSnapshot &snapshot, double limit);

std::string renderText(const BurnReport &report);
IntentJson renderJson(const BurnReport &report);
/// One page without other files, with its charts as inline SVG.
std::string renderHtml(const BurnReport &report);

} // namespace stackquay
