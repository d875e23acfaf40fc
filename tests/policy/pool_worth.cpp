/// What the prompts of a simulated pool earn, and the most that any schedule could.
#include <algorithm>
#include <cmath>

#include "pool_sim.h"

namespace stackquay {

namespace {

/// Of a prompt's worth this part is the same for all sizes (the users' pages).
constexpr double SizelessShare = 0.3;
constexpr double MostSizes = 4;

/// Moments at which the bound looks.
constexpr Millis Grid{ 200 };

/// Work that has to be done between two moments of the grid, to earn its worth.
struct Job {
    size_t m_from = 0;
    size_t m_to = 0;
    double m_seconds = 0; ///< Of one engine.
    double m_worth = 0;
};

/// Engine time that is still free between any two moments of the grid.
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

    /// Takes as much of @p job as fits beside what was taken before, and returns it as a share.
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
        std::min(SizelessShare + (1 - SizelessShare) * tokens / kind.m_meanTokens, MostSizes);
    return size * (inTime ? kind.m_worth : kind.m_lateWorth);
}

double earnedShare(const PoolLoad &load, const std::vector<PromptFate> &fates)
{
    double owed = 0;
    double earned = 0;
    for (const PromptFate &fate : fates) {
        const PromptKind &kind = load.m_kinds[fate.m_kind];
        owed += worthOf(kind, fate.m_tokens, true);
        earned += fate.m_served ? worthOf(kind, fate.m_tokens, fate.m_inAim) : 0;
    }
    return owed > 0 ? earned / owed : 1;
}

double mostEarnedShare(const PoolLoad &load, const std::vector<PromptFate> &fates)
{
    if (fates.empty())
        return 1;
    const TimePoint start = fates.front().m_arrival;
    const auto momentOf = [start](TimePoint at) {
        return static_cast<size_t>((at - start) / Grid);
    };
    std::vector<Job> jobs;
    double owed = 0;
    double earned = 0;
    size_t last = 0;
    for (const PromptFate &fate : fates) {
        const PromptKind &kind = load.m_kinds[fate.m_kind];
        const double late = worthOf(kind, fate.m_tokens, false);
        const double full = worthOf(kind, fate.m_tokens, true);
        owed += full;
        // As if being late cost nothing of the engines' time.
        earned += late;
        // Rounded outwards, so that no job has less time than its prompt.
        const Job job{ momentOf(fate.m_arrival), momentOf(fate.m_arrival + kind.m_aim) + 1,
                       readTime(load.m_costs, fate.m_tokens) / FloatMillis(Seconds(1)),
                       full - late };
        last = std::max(last, job.m_to);
        jobs.push_back(job);
    }
    // What can be done together is a polymatroid: taking the dearest first is best.
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
