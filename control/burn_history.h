/// Time-to-first-token histograms of the recent past on one node, for the burn report's windows.
///
/// Keeps cumulative snapshots, finer for the short windows than for the long ones, so that memory
/// stays bounded: about thirty snapshots of all series.
#pragma once

#include <deque>

#include "core/core.h"

namespace stackquay {

/// A window of the report, and how finely its start can be found.
struct BurnWindow {
    Seconds m_length;
    Seconds m_step;
};

/// Short, middle and long.
const std::vector<BurnWindow> &burnWindows();

/// What one node or several saw in a window.
struct WindowSeries {
    uint64_t m_windowSeconds = 0;
    uint64_t m_coveredSeconds = 0; ///< Less than the window on a young node.
    std::vector<HistogramSeries> m_series;

    MSGPACK_DEFINE(m_windowSeconds, m_coveredSeconds, m_series)
};

class BurnHistory
{
public:
    /// Takes the histograms' present state. Call about as often as the finest step.
    void record(TimePoint now, std::vector<HistogramSeries> series);
    /// What was recorded in each window up to the last record().
    std::vector<WindowSeries> windows() const;

private:
    struct Snapshot {
        TimePoint m_at;
        std::shared_ptr<const std::vector<HistogramSeries>> m_series;
    };

    WindowSeries window(const std::deque<Snapshot> &ring, const BurnWindow &window) const;

    std::vector<std::deque<Snapshot>> m_rings; ///< One for each window, oldest first.
    Snapshot m_latest{};
};

/// Adds the series of another node. InvalidArgument if a histogram's edges differ.
Status mergeWindows(std::vector<WindowSeries> &into, const std::vector<WindowSeries> &from);

} // namespace stackquay
