#include "core/metrics.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <mutex>
#include <variant>

#include <fmt/format.h>

#include "core/log.h"

namespace stackquay {

namespace {

using Metric =
    std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<Histogram>>;

constexpr std::array<std::string_view, 3> TypeNames = { "counter", "gauge", "histogram" };

struct Family {
    std::string m_help;
    size_t m_type = 0; ///< Index in Metric.
    std::map<MetricLabels, Metric> m_series;
};

std::string escapeLabel(std::string_view value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\\' || c == '"')
            escaped += '\\';
        escaped += c == '\n' ? std::string("\\n") : std::string(1, c);
    }
    return escaped;
}

/// '{a="1",b="2"}', or nothing without labels.
std::string labelText(const MetricLabels &labels)
{
    if (labels.empty())
        return {};
    std::string text;
    for (const MetricLabel &label : labels)
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", label.m_name,
                            escapeLabel(label.m_value));
    return "{" + text + "}";
}

std::string bucketLabels(MetricLabels labels, const std::string &edge)
{
    labels.push_back({ "le", edge });
    return labelText(labels);
}

void writeHistogram(std::string &out, const std::string &name, const MetricLabels &labels,
                    const HistogramSnapshot &snapshot)
{
    uint64_t total = 0;
    for (size_t i = 0; i < snapshot.m_edges.size(); ++i) {
        total += snapshot.m_counts[i];
        out += fmt::format("{}_bucket{} {}\n", name,
                           bucketLabels(labels, fmt::format("{:.6g}", snapshot.m_edges[i])), total);
    }
    total += snapshot.m_counts.back();
    out += fmt::format("{}_bucket{} {}\n", name, bucketLabels(labels, "+Inf"), total);
    out += fmt::format("{}_sum{} {}\n", name, labelText(labels), snapshot.m_sum);
    out += fmt::format("{}_count{} {}\n", name, labelText(labels), total);
}

void writeMetric(std::string &out, const std::string &name, const MetricLabels &labels,
                 const Metric &metric)
{
    if (const auto *counter = std::get_if<std::unique_ptr<Counter>>(&metric))
        out += fmt::format("{}{} {}\n", name, labelText(labels), (*counter)->value());
    else if (const auto *gauge = std::get_if<std::unique_ptr<Gauge>>(&metric))
        out += fmt::format("{}{} {}\n", name, labelText(labels), (*gauge)->value());
    else if (const auto *histogram = std::get_if<std::unique_ptr<Histogram>>(&metric))
        writeHistogram(out, name, labels, (*histogram)->snapshot());
}

} // namespace

struct MetricsRegistry::State {
    mutable std::mutex m_mutex;
    std::map<std::string, Family> m_families;
    std::vector<std::function<void()>> m_updates;

    /// The metric of type T with this name and labels; @p arguments make a new one.
    template<typename T, typename... Arguments>
    T &find(const std::string &name, const std::string &help, MetricLabels labels,
            Arguments... arguments)
    {
        const std::lock_guard lock(m_mutex);
        const size_t type = Metric(std::unique_ptr<T>()).index();
        const auto [family, isNew] =
            m_families.try_emplace(name, Family{ .m_help = help, .m_type = type, .m_series = {} });
        if (family->second.m_type != type) {
            log(LogPart::Main).critical("Metric has two types. name={}", name);
            std::abort();
        }
        std::sort(labels.begin(), labels.end());
        Metric &metric =
            family->second.m_series.try_emplace(std::move(labels), std::unique_ptr<T>())
                .first->second;
        auto &owner = std::get<std::unique_ptr<T>>(metric);
        if (!owner)
            owner = std::make_unique<T>(arguments...);
        return *owner;
    }
};

MetricsRegistry::MetricsRegistry()
    : m_state(std::make_unique<State>())
{ }

MetricsRegistry::~MetricsRegistry() = default;

Counter &MetricsRegistry::counter(const std::string &name, const std::string &help,
                                  MetricLabels labels)
{
    return m_state->find<Counter>(name, help, std::move(labels));
}

Gauge &MetricsRegistry::gauge(const std::string &name, const std::string &help, MetricLabels labels)
{
    return m_state->find<Gauge>(name, help, std::move(labels));
}

Histogram &MetricsRegistry::histogram(const std::string &name, const std::string &help,
                                      HistogramAxis axis, MetricLabels labels)
{
    return m_state->find<Histogram>(name, help, std::move(labels), axis);
}

void MetricsRegistry::onCollect(std::function<void()> update)
{
    const std::lock_guard lock(m_state->m_mutex);
    m_state->m_updates.push_back(std::move(update));
}

std::string MetricsRegistry::exposition() const
{
    std::vector<std::function<void()>> updates;
    {
        const std::lock_guard lock(m_state->m_mutex);
        updates = m_state->m_updates;
    }
    // Without the lock, as an update may make metrics.
    for (const auto &update : updates)
        update();
    const std::lock_guard lock(m_state->m_mutex);
    std::string out;
    for (const auto &[name, family] : m_state->m_families) {
        out += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, family.m_help, name,
                           TypeNames.at(family.m_type));
        for (const auto &[labels, metric] : family.m_series)
            writeMetric(out, name, labels, metric);
    }
    return out;
}

std::vector<HistogramSeries> MetricsRegistry::histograms(const std::string &name) const
{
    const std::lock_guard lock(m_state->m_mutex);
    std::vector<HistogramSeries> all;
    const auto family = m_state->m_families.find(name);
    if (family == m_state->m_families.end())
        return all;
    for (const auto &[labels, metric] : family->second.m_series) {
        if (const auto *histogram = std::get_if<std::unique_ptr<Histogram>>(&metric))
            all.push_back({ labels, (*histogram)->snapshot() });
    }
    return all;
}

std::vector<MetricDescription> MetricsRegistry::describe() const
{
    const std::lock_guard lock(m_state->m_mutex);
    std::vector<MetricDescription> all;
    for (const auto &[name, family] : m_state->m_families)
        all.push_back({ name, std::string(TypeNames.at(family.m_type)), family.m_help });
    return all;
}

std::string metricsMarkdown(const MetricsRegistry &registry)
{
    std::string text = "| metric | type | meaning |\n| --- | --- | --- |\n";
    for (const MetricDescription &metric : registry.describe())
        text += fmt::format("| `{}` | {} | {} |\n", metric.m_name, metric.m_type, metric.m_help);
    return text;
}

} // namespace stackquay
