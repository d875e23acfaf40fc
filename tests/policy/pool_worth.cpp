/// Value earned in a simulated pool, and an upper bound for any schedule.
#include <algorithm>
#include <cmath>

#include "pool_sim.h"

namespace stackquay {

namespace {

/// Fraction of a prompt's value that does not depend on its size, as in the users' specification.
constexpr double SizeIndependentShare = 0.3;
constexpr double MaxSizeFactor = 4;

/// Time step of the upper bound.
constexpr Millis Grid{ 200 };

/// Work that earns its value if it is done between two grid points.
struct Job {
    size_t m_from = 0;
    size_t m_to = 0;
    double m_seconds = 0; ///< Of engine time.
    double m_worth = 0;
};

/// Free engine time between any two grid points.
class FreeTime
{
public:
    FreeTime(size_t moments, double perStep)
        : m_moments(moments)
        , m_free(moments * moments)
    {
        for (size_t from = 0; from < moments; ++from) {
            for (size_t to = from; to < moments; ++to)
                m_free[from * moments + to] = perStep * static_cast<double>(to - from);
        }
    }

    /// Schedules as much of @p job as fits beside the earlier jobs, and returns that fraction of
    /// it.
    double take(const Job &job)
    {
        double least = job.m_seconds;
        forEachAround(job, [&least](double &free) { least = std::min(least, free); });
        forEachAround(job, [least](double &free) { free -= least; });
        return least / job.m_seconds;
    }

private:
    template<typename Visit>
    void forEachAround(const Job &job, Visit visit)
    {
        for (size_t from = 0; from <= job.m_from; ++from) {
            for (size_t to = job.m_to; to < m_moments; ++to)
                visit(m_free[from * m_moments + to]);
        }
    }

    size_t m_moments;
    std::vector<double> m_free;
};

} // namespace

double worthOf(const PromptKind &kind, double tokens, bool inTime)
{
    const double size =
        std::min(SizeIndependentShare + (1 - SizeIndependentShare) * tokens / kind.m_meanTokens,
                 MaxSizeFactor);
    return size * (inTime ? kind.m_worth : kind.m_lateWorth);
}

double earnedShare(const PoolLoad &load, const std::vector<PromptOutcome> &outcomes)
{
    double owed = 0;
    double earned = 0;
    for (const PromptOutcome &outcome : outcomes) {
        const PromptKind &kind = load.m_kinds[outcome.m_kind];
        owed += worthOf(kind, outcome.m_tokens, true);
        earned += outcome.m_served ? worthOf(kind, outcome.m_tokens, outcome.m_inTarget) : 0;
    }
    return owed > 0 ? earned / owed : 1;
}

double maxEarnedShare(const PoolLoad &load, const std::vector<PromptOutcome> &outcomes)
{
    if (outcomes.empty())
        return 1;
    const TimePoint start = outcomes.front().m_arrival;
    const auto momentOf = [start](TimePoint at) {
        return static_cast<size_t>((at - start) / Grid);
    };
    std::vector<Job> jobs;
    double owed = 0;
    double earned = 0;
    size_t last = 0;
    for (const PromptOutcome &outcome : outcomes) {
        const PromptKind &kind = load.m_kinds[outcome.m_kind];
        const double late = worthOf(kind, outcome.m_tokens, false);
        const double full = worthOf(kind, outcome.m_tokens, true);
        owed += full;
        // The bound assumes that late answers need no engine time.
        earned += late;
        // Rounded outwards, so that no job has a shorter interval than its prompt.
        const Job job{ momentOf(outcome.m_arrival),
                       momentOf(outcome.m_arrival + kind.m_latencyTarget) + 1,
                       prefillDuration(load.m_costs, outcome.m_tokens) / FloatMillis(Seconds(1)),
                       full - late };
        last = std::max(last, job.m_to);
        jobs.push_back(job);
    }
    // The feasible sets form a polymatroid, so the greedy order by value per time is optimal.
    std::sort(jobs.begin(), jobs.end(), [](const Job &left, const Job &right) {
        return left.m_worth * right.m_seconds > right.m_worth * left.m_seconds;
    });
    const double perStep =
        static_cast<double>(load.m_engines) * (FloatMillis(Grid) / FloatMillis(Seconds(1)));
    FreeTime free(last + 1, perStep);
    for (const Job &job : jobs)
        earned += job.m_worth * free.take(job);
    return owed > 0 ? earned / owed : 1;
}

} // namespace stackquay
