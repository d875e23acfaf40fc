/// Distributions of measured values, on Boost.Histogram with a logarithmic axis.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include <msgpack.hpp>

#include "core/clock.h"
#include "core/error.h"

namespace stackquay {

/// The axis of a histogram. Values outside go to two further buckets.
struct HistogramAxis {
    double m_min = 1e-4;
    double m_max = 1e3;
    unsigned m_buckets = 70;
};

/// Times from 100 us to 1,000 s, ten buckets to a power of ten.
constexpr HistogramAxis SecondsAxis{};
/// Token counts from 1 to 10 million.
constexpr HistogramAxis TokensAxis{ 1, 1e7, 70 };

/// The counts of a histogram at one moment; can be sent to another VM and merged there.
struct HistogramSnapshot {
    std::vector<double> m_edges; ///< One more than there are buckets inside the axis.
    std::vector<uint64_t> m_counts; ///< Below the axis, each bucket, above the axis.
    double m_sum = 0;

    MSGPACK_DEFINE(m_edges, m_counts, m_sum)

    uint64_t count() const;
    /// The value below which the fraction @p q lies, interpolated in its bucket; 0 if empty.
    double quantile(double q) const;
    /// Adds @p other. InvalidArgument if the edges differ; an empty snapshot takes any.
    Status merge(const HistogramSnapshot &other);
    /// Whether counts and edges fit together, for snapshots that came from elsewhere.
    bool valid() const;
};

/// Records without a lock, from any thread.
class Histogram
{
public:
    explicit Histogram(HistogramAxis axis = SecondsAxis);
    ~Histogram();
    Histogram(const Histogram &) = delete;
    Histogram &operator=(const Histogram &) = delete;

    void record(double value);
    /// Records seconds.
    void record(Duration duration);
    HistogramSnapshot snapshot() const;
    uint64_t count() const { return snapshot().count(); }
    double quantile(double q) const { return snapshot().quantile(q); }

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace stackquay
