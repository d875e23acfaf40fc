/// Counters, gauges and histograms of a process, served in the Prometheus text format.
///
///     Counter &requests = registry.counter("stackquay_requests_total", "Requests admitted.");
///     requests.add();
///
/// Get the references once and keep them: lookup takes a lock, recording does not.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/histogram.h"

namespace stackquay {

struct MetricLabel {
    std::string m_name;
    std::string m_value;

    auto operator<=>(const MetricLabel &) const = default;
    MSGPACK_DEFINE(m_name, m_value)
};

using MetricLabels = std::vector<MetricLabel>;

/// Only grows.
class Counter
{
public:
    void add(uint64_t count = 1) { m_value.fetch_add(count, std::memory_order_relaxed); }
    /// For totals that are counted elsewhere, such as by the operating system.
    void set(uint64_t value) { m_value.store(value, std::memory_order_relaxed); }
    uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> m_value{ 0 };
};

/// Goes up and down.
class Gauge
{
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    void add(double change) { m_value.fetch_add(change, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value{ 0 };
};

/// One histogram of a family, with what tells it from the others.
struct HistogramSeries {
    MetricLabels m_labels;
    HistogramSnapshot m_snapshot;

    MSGPACK_DEFINE(m_labels, m_snapshot)
};

/// What a family is, for the metrics page.
struct MetricDescription {
    std::string m_name;
    std::string m_type; ///< "counter", "gauge" or "histogram".
    std::string m_help;
};

/// Owns all metrics of a process. May be used from any thread.
class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry &) = delete;
    MetricsRegistry &operator=(const MetricsRegistry &) = delete;

    /// The metric of this name and labels, made at the first call. The reference stays valid for
    /// the registry's life. One name has one type; another one is a broken invariant.
    Counter &counter(const std::string &name, const std::string &help, MetricLabels labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, MetricLabels labels = {});
    Histogram &histogram(const std::string &name, const std::string &help,
                         HistogramAxis axis = SecondsAxis, MetricLabels labels = {});

    /// Runs @p update before each exposition, for values that are only read then.
    void onCollect(std::function<void()> update);
    /// All metrics as text.
    std::string exposition() const;
    /// The histograms of one name, for a report over several VMs.
    std::vector<HistogramSeries> histograms(const std::string &name) const;
    /// All families by name.
    std::vector<MetricDescription> describe() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// A section of the metrics page.
std::string metricsMarkdown(const MetricsRegistry &registry);

} // namespace stackquay
