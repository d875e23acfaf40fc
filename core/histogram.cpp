#include "core/histogram.h"

#include <algorithm>
#include <numeric>

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace stackquay {

namespace {

namespace histogram = boost::histogram;

using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
using AtomicStorage = histogram::dense_storage<histogram::accumulators::thread_safe<uint64_t>>;
using LogHistogram = histogram::histogram<std::tuple<LogAxis>, AtomicStorage>;

constexpr size_t OutsideBuckets = 2; ///< Below and above the axis.

} // namespace

struct Histogram::State {
    LogHistogram m_histogram;
    std::atomic<double> m_sum{ 0 };

    explicit State(HistogramAxis axis)
        : m_histogram(histogram::make_histogram_with(
            AtomicStorage(), LogAxis(axis.m_buckets, axis.m_min, axis.m_max)))
    { }
};

Histogram::Histogram(HistogramAxis axis)
    : m_state(std::make_unique<State>(axis))
{ }

Histogram::~Histogram() = default;

void Histogram::record(double value)
{
    // The logarithm of a value at or below zero is no number; it belongs below the axis.
    const int index = value > 0 ? m_state->m_histogram.axis().index(value) : -1;
    ++m_state->m_histogram.at(index);
    m_state->m_sum.fetch_add(value, std::memory_order_relaxed);
}

void Histogram::record(Duration duration)
{
    record(std::chrono::duration<double>(duration).count());
}

HistogramSnapshot Histogram::snapshot() const
{
    const LogAxis &axis = m_state->m_histogram.axis();
    HistogramSnapshot snapshot;
    for (int i = 0; i <= axis.size(); ++i)
        snapshot.m_edges.push_back(axis.value(i));
    for (int i = -1; i <= axis.size(); ++i)
        snapshot.m_counts.push_back(m_state->m_histogram.at(i).load());
    snapshot.m_sum = m_state->m_sum.load(std::memory_order_relaxed);
    return snapshot;
}

uint64_t HistogramSnapshot::count() const
{
    return std::accumulate(m_counts.begin(), m_counts.end(), uint64_t{ 0 });
}

bool HistogramSnapshot::valid() const
{
    if (m_edges.empty())
        return m_counts.empty();
    return m_counts.size() == m_edges.size() - 1 + OutsideBuckets
           && std::is_sorted(m_edges.begin(), m_edges.end());
}

double HistogramSnapshot::quantile(double q) const
{
    const uint64_t total = count();
    if (total == 0 || !valid())
        return 0;
    const double rank = std::clamp(q, 0.0, 1.0) * static_cast<double>(total);
    double before = static_cast<double>(m_counts.front());
    if (rank <= before && before > 0)
        return m_edges.front();
    for (size_t i = 1; i < m_edges.size(); ++i) {
        const auto inside = static_cast<double>(m_counts[i]);
        if (inside > 0 && rank <= before + inside) {
            const double fraction = (rank - before) / inside;
            return m_edges[i - 1] + fraction * (m_edges[i] - m_edges[i - 1]);
        }
        before += inside;
    }
    return m_edges.back();
}

Status HistogramSnapshot::merge(const HistogramSnapshot &other)
{
    if (!other.valid())
        return makeError(ErrorCode::InvalidArgument, "histogram counts do not fit its edges");
    if (other.m_edges.empty())
        return {};
    if (m_edges.empty()) {
        *this = other;
        return {};
    }
    if (m_edges != other.m_edges)
        return makeError(ErrorCode::InvalidArgument, "histograms have different edges");
    for (size_t i = 0; i < m_counts.size(); ++i)
        m_counts[i] += other.m_counts[i];
    m_sum += other.m_sum;
    return {};
}

} // namespace stackquay
