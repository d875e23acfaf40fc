#include "control/burn_history.h"

#include <algorithm>
#include <memory>

namespace stackquay {

namespace {

const HistogramSeries *findSeries(const std::vector<HistogramSeries> &list,
                                  const MetricLabels &labels)
{
    for (const HistogramSeries &series : list) {
        if (series.m_labels == labels)
            return &series;
    }
    return nullptr;
}

/// What came after @p earlier; both are cumulative.
HistogramSnapshot difference(HistogramSnapshot later, const HistogramSnapshot &earlier)
{
    if (earlier.m_counts.size() != later.m_counts.size())
        return later;
    for (size_t index = 0; index < later.m_counts.size(); ++index)
        later.m_counts[index] -= std::min(later.m_counts[index], earlier.m_counts[index]);
    later.m_sum -= earlier.m_sum;
    return later;
}

uint64_t secondsOf(Duration duration)
{
    return std::chrono::duration_cast<Seconds>(duration).count();
}

Status mergeSeries(std::vector<HistogramSeries> &into, const HistogramSeries &series)
{
    for (HistogramSeries &present : into) {
        if (present.m_labels == series.m_labels)
            return present.m_snapshot.merge(series.m_snapshot);
    }
    into.push_back(series);
    return {};
}

} // namespace

const std::vector<BurnWindow> &burnWindows()
{
    static const std::vector<BurnWindow> windows{
        { std::chrono::minutes(5), Seconds(30) },
        { std::chrono::hours(1), std::chrono::minutes(5) },
        { std::chrono::hours(6), std::chrono::minutes(30) },
    };
    return windows;
}

void BurnHistory::record(TimePoint now, std::vector<HistogramSeries> series)
{
    m_latest = { now, std::make_shared<const std::vector<HistogramSeries>>(std::move(series)) };
    const std::vector<BurnWindow> &windows = burnWindows();
    m_rings.resize(windows.size());
    for (size_t index = 0; index < windows.size(); ++index) {
        std::deque<Snapshot> &ring = m_rings[index];
        if (ring.empty() || now - ring.back().m_at >= windows[index].m_step)
            ring.push_back(m_latest);
        // The newest snapshot that is as old as the window is where it starts.
        while (ring.size() > 1 && now - ring[1].m_at >= windows[index].m_length)
            ring.pop_front();
    }
}

std::vector<WindowSeries> BurnHistory::windows() const
{
    std::vector<WindowSeries> result;
    for (size_t index = 0; index < m_rings.size(); ++index)
        result.push_back(window(m_rings[index], burnWindows()[index]));
    return result;
}

WindowSeries BurnHistory::window(const std::deque<Snapshot> &ring, const BurnWindow &window) const
{
    const Snapshot &start = ring.front();
    WindowSeries result{ secondsOf(window.m_length), secondsOf(m_latest.m_at - start.m_at), {} };
    for (const HistogramSeries &latest : *m_latest.m_series) {
        const HistogramSeries *earlier = findSeries(*start.m_series, latest.m_labels);
        result.m_series.push_back(
            { latest.m_labels,
              earlier ? difference(latest.m_snapshot, earlier->m_snapshot) : latest.m_snapshot });
    }
    return result;
}

Status mergeWindows(std::vector<WindowSeries> &into, const std::vector<WindowSeries> &from)
{
    for (const WindowSeries &window : from) {
        const auto present = std::find_if(into.begin(), into.end(), [&](const WindowSeries &other) {
            return other.m_windowSeconds == window.m_windowSeconds;
        });
        if (present == into.end()) {
            into.push_back(window);
            continue;
        }
        present->m_coveredSeconds = std::max(present->m_coveredSeconds, window.m_coveredSeconds);
        for (const HistogramSeries &series : window.m_series) {
            if (!series.m_snapshot.valid())
                return makeError(ErrorCode::InvalidArgument, "malformed histogram");
            if (const Status merged = mergeSeries(present->m_series, series); !merged)
                return merged;
        }
    }
    return {};
}

} // namespace stackquay
