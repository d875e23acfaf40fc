/// Simulates overload of the fair queue and the admission in virtual time: one steward, one pool of
/// slots, and callers that retry after the given delay. Prints its measurements; run it alone by
/// `test_policy --gtest_filter='Overload.*'`.
#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <queue>

#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

constexpr double Capacity = 100'000; ///< Tokens per second of the whole pool.
constexpr size_t Slots = 4;
constexpr double LongCost = 10'000; ///< Requests of at least this cost count as long.
const TimePoint Start{ Seconds(10'000) };

struct Caller {
    const char *m_name;
    double m_load; ///< Fraction of the offered load.
    double m_weight;
    int m_priority;
};

/// "flood" offers three fifths of the load; "urgent" has priority.
constexpr std::array<Caller, 4> Callers = { {
    { "flood", 0.6, 1, 0 },
    { "large", 0.2, 2, 0 },
    { "small", 0.1, 1, 0 },
    { "urgent", 0.1, 1, 1 },
} };

struct CallerResult {
    double m_offered = 0; ///< Tokens, first attempts only.
    double m_done = 0; ///< Tokens of requests that finished in time.
    int m_requests = 0;
    int m_refused = 0;
    double m_shortDone = 0; ///< The part of m_done from short requests.
    std::vector<double> m_waits;
};

struct OverloadResult {
    std::array<CallerResult, Callers.size()> m_callers;
    double m_done = 0; ///< Tokens of requests that finished in time.
    int m_admitted = 0;
    int m_late = 0; ///< Started, but ended after the deadline.
    int m_expired = 0; ///< Admitted, but not started in time.
    double m_longestRefusal =
        0; ///< Seconds from the latest start of an expired request to its refusal.
    std::vector<double> m_backlog; ///< Queued tokens at each second.
};

enum class OverloadPolicy {
    Present, ///< The fair queue and the admission of the product.
    Fifo, ///< First come, first served, without bounds or deadlines.
};

class OverloadSim
{
public:
    OverloadSim(OverloadPolicy policy, uint64_t seed)
        : m_policy(policy)
        , m_random(seed)
        , m_queue(FairQueueSettings{ .m_capacity = 600 })
    { }

    /// Offers @p factor times the capacity until @p until seconds.
    void offer(double factor, double until)
    {
        m_factor = factor;
        if (m_nextArrival < m_now)
            m_nextArrival = m_now;
        while (m_now < until)
            step(until);
    }

    OverloadResult &result() { return m_result; }
    double now() const { return m_now; }

private:
    struct Job {
        size_t m_caller = 0;
        double m_cost = 0;
        double m_arrived = 0;
        double m_deadline = 0;
        int m_attempts = 1;
        Duration m_predicted{};
    };
    struct Running {
        double m_end = 0;
        Job m_job;
        bool operator<(const Running &other) const { return m_end > other.m_end; }
    };
    struct Retry {
        double m_time = 0;
        Job m_job;
        bool operator<(const Retry &other) const { return m_time > other.m_time; }
    };

    static TimePoint at(double seconds)
    {
        return Start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }
    static double runTime(const Job &job) { return job.m_cost / (Capacity / Slots); }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void step(double until)
    {
        double next = std::min(until, m_nextArrival);
        if (!m_running.empty())
            next = std::min(next, m_running.top().m_end);
        if (!m_retries.empty())
            next = std::min(next, m_retries.top().m_time);
        if (const auto expiry = m_queue.nextExpiry(); expiry && m_policy == OverloadPolicy::Present)
            next = std::min(next, std::chrono::duration<double>(*expiry - Start).count() + 1e-6);
        next = std::max(next, m_now);
        while (m_result.m_backlog.size() <= next)
            m_result.m_backlog.push_back(m_queue.costAhead(0) + m_fifoCost);
        m_now = next;
        expire();
        while (!m_running.empty() && m_running.top().m_end <= m_now)
            finish();
        while (!m_retries.empty() && m_retries.top().m_time <= m_now) {
            const Job job = m_retries.top().m_job;
            m_retries.pop();
            arrive(job);
        }
        if (m_nextArrival <= m_now)
            arriveNew();
        serve();
    }

    void arriveNew()
    {
        constexpr double MeanCost = 0.95 * 1'000 + 0.05 * 30'000;
        std::exponential_distribution<double> gap(m_factor * Capacity / MeanCost);
        m_nextArrival = m_now + gap(m_random);
        Job job;
        double pick = uniform();
        while (job.m_caller + 1 < Callers.size() && pick >= Callers[job.m_caller].m_load)
            pick -= Callers[job.m_caller++].m_load;
        const bool isLong = uniform() < 0.05;
        job.m_cost = isLong ? LongCost + 40'000 * uniform() : 500 + 1'000 * uniform();
        job.m_arrived = m_now;
        job.m_deadline = m_now + (isLong ? 60 : 10);
        CallerResult &caller = m_result.m_callers[job.m_caller];
        caller.m_offered += job.m_cost;
        caller.m_requests += 1;
        arrive(job);
    }

    void arrive(const Job &job)
    {
        if (m_policy == OverloadPolicy::Fifo) {
            m_fifo.push(job);
            m_fifoCost += job.m_cost;
            return;
        }
        const WaitingRequest waiting = makeWaiting(job);
        const double ahead = m_queue.fairCostAhead(waiting) + runningCost();
        const Duration predicted = at(ahead / Capacity) - Start;
        const Duration wait = correctedWait(m_corrections[job.m_caller], predicted);
        const TimePrediction prediction{ wait, at(runTime(job)) - Start };
        const auto refusal = refuseIfDeadlineUnmeetable(m_deadlines, at(job.m_deadline), prediction,
                                                        at(m_now), m_random);
        if (refusal)
            return refuse(job, refusal->m_retryAfter);
        const PushResult pushed = m_queue.push(waiting);
        if (pushed.m_displaced)
            refuseQueued(*pushed.m_displaced);
        if (!pushed.m_accepted)
            return refuse(job, jitteredRetryAfter(m_deadlines, Seconds(1), m_random));
        m_result.m_admitted += 1;
        m_jobs[waiting.m_id] = job;
        m_jobs[waiting.m_id].m_predicted = predicted;
    }

    WaitingRequest makeWaiting(const Job &job)
    {
        const Caller &caller = Callers[job.m_caller];
        WaitingRequest waiting;
        waiting.m_id = RequestId(std::to_string(++m_lastId));
        waiting.m_customer = CustomerId(caller.m_name);
        waiting.m_priority = caller.m_priority;
        waiting.m_weight = caller.m_weight;
        waiting.m_cost = job.m_cost;
        waiting.m_arrived = at(m_now);
        waiting.m_deadline = at(job.m_deadline);
        waiting.m_startBy = at(job.m_deadline - runTime(job));
        return waiting;
    }

    void expire()
    {
        for (const WaitingRequest &expired : m_queue.expire(at(m_now))) {
            m_result.m_expired += 1;
            const double decided = std::chrono::duration<double>(expired.m_startBy - Start).count();
            m_result.m_longestRefusal = std::max(m_result.m_longestRefusal, m_now - decided);
            recordWait(m_jobs.at(expired.m_id));
            refuseQueued(expired);
        }
    }

    void recordWait(const Job &job)
    {
        updateWaitCorrection(m_corrections[job.m_caller], job.m_predicted,
                             at(m_now) - at(job.m_arrived));
    }

    void refuseQueued(const WaitingRequest &waiting)
    {
        const Job job = m_jobs.at(waiting.m_id);
        m_jobs.erase(waiting.m_id);
        refuse(job, jitteredRetryAfter(m_deadlines, Seconds(1), m_random));
    }

    /// Most callers retry after the given delay, up to a number of attempts, with a new deadline.
    void refuse(Job job, Duration retryAfter)
    {
        if (job.m_attempts >= 3 || uniform() > 0.7) {
            m_result.m_callers[job.m_caller].m_refused += 1;
            return;
        }
        const double allowed = job.m_deadline - job.m_arrived;
        const double wait = std::max(1.0, std::chrono::duration<double>(retryAfter).count());
        job.m_attempts += 1;
        job.m_arrived = m_now + wait;
        job.m_deadline = job.m_arrived + allowed;
        m_retries.push({ job.m_arrived, job });
    }

    double runningCost() const { return m_running.size() < Slots ? 0 : m_runningCost / 2; }

    void serve()
    {
        while (m_running.size() < Slots) {
            Job job;
            if (m_policy == OverloadPolicy::Fifo) {
                if (m_fifo.empty())
                    return;
                job = m_fifo.front();
                m_fifo.pop();
                m_fifoCost -= job.m_cost;
            } else {
                const auto next = m_queue.pop();
                if (!next)
                    return;
                job = m_jobs.at(next->m_id);
                m_jobs.erase(next->m_id);
                recordWait(job);
            }
            m_result.m_callers[job.m_caller].m_waits.push_back(m_now - job.m_arrived);
            m_runningCost += job.m_cost;
            m_running.push({ m_now + runTime(job), job });
        }
    }

    void finish()
    {
        const Job job = m_running.top().m_job;
        m_running.pop();
        m_runningCost -= job.m_cost;
        if (m_now > job.m_deadline) {
            m_result.m_late += 1;
            return;
        }
        m_result.m_done += job.m_cost;
        CallerResult &caller = m_result.m_callers[job.m_caller];
        caller.m_done += job.m_cost;
        caller.m_shortDone += job.m_cost < LongCost ? job.m_cost : 0;
    }

    OverloadPolicy m_policy;
    RandomEngine m_random;
    DeadlineSettings m_deadlines;
    FairQueue m_queue;
    std::array<WaitCorrection, Callers.size()> m_corrections;
    std::queue<Job> m_fifo;
    double m_fifoCost = 0;
    std::unordered_map<RequestId, Job> m_jobs;
    std::priority_queue<Running> m_running;
    std::priority_queue<Retry> m_retries;
    double m_runningCost = 0;
    double m_now = 0;
    double m_nextArrival = 0;
    double m_factor = 0;
    uint64_t m_lastId = 0;
    OverloadResult m_result;
};

constexpr double SweepSeconds = 600;

OverloadResult runAt(OverloadPolicy policy, double factor, uint64_t seed)
{
    OverloadSim sim(policy, seed);
    sim.offer(factor, SweepSeconds);
    return sim.result();
}

double doneFraction(const OverloadResult &result)
{
    return result.m_done / (Capacity * SweepSeconds);
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(fraction * static_cast<double>(values.size() - 1))];
}

constexpr std::array<uint64_t, 3> Seeds = { 1, 2, 3 };

TEST(Overload, GoodputStaysNearItsPeak)
{
    double worst = 1;
    for (const uint64_t seed : Seeds) {
        double peak = 0;
        double atTwice = 0;
        for (const double factor : { 0.6, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0 }) {
            const OverloadResult now = runAt(OverloadPolicy::Present, factor, seed);
            const OverloadResult fifo = runAt(OverloadPolicy::Fifo, factor, seed);
            std::printf("overload: seed=%d load=%.1f done=%.3f fifo_done=%.3f "
                        "admitted=%d late=%d "
                        "expired=%d\n",
                        static_cast<int>(seed), factor, doneFraction(now), doneFraction(fifo),
                        now.m_admitted, now.m_late, now.m_expired);
            peak = std::max(peak, doneFraction(now));
            atTwice = factor == 2.0 ? doneFraction(now) : atTwice;
        }
        worst = std::min(worst, atTwice / peak);
    }
    std::printf("overload: done_at_twice/peak worst=%.3f\n", worst);
    EXPECT_GE(worst, 0.95);
}

TEST(Overload, AdmittedRequestsFinishAndRefusalsAreImmediate)
{
    for (const uint64_t seed : Seeds) {
        const OverloadResult result = runAt(OverloadPolicy::Present, 2, seed);
        EXPECT_LE(result.m_longestRefusal, 0.05);
        EXPECT_EQ(result.m_late, 0);
        std::printf("overload: seed=%d expired/admitted=%.4f longest_refusal_ms=%.3f\n",
                    static_cast<int>(seed),
                    static_cast<double>(result.m_expired) / result.m_admitted,
                    result.m_longestRefusal * 1'000);
        EXPECT_LE(result.m_expired, 0.06 * result.m_admitted);
    }
}

TEST(Overload, EachCallerGetsItsFairShare)
{
    for (const uint64_t seed : Seeds) {
        const OverloadResult result = runAt(OverloadPolicy::Present, 2, seed);
        for (size_t i = 0; i < Callers.size(); ++i) {
            const CallerResult &caller = result.m_callers[i];
            std::printf("overload: seed=%d caller=%s offered=%.3f done=%.3f "
                        "short=%.3f refused=%.3f "
                        "wait_p50=%.2f wait_p95=%.2f\n",
                        static_cast<int>(seed), Callers[i].m_name,
                        caller.m_offered / (Capacity * SweepSeconds),
                        caller.m_done / (Capacity * SweepSeconds),
                        caller.m_shortDone / (Capacity * SweepSeconds),
                        static_cast<double>(caller.m_refused) / caller.m_requests,
                        percentile(caller.m_waits, 0.5), percentile(caller.m_waits, 0.95));
        }
        // At twice the capacity, the priority caller takes 0.2 of it. Of the remaining 0.8, all
        // callers but the flood offer no more than their fair share by weight (large 0.4 of 0.4,
        // small 0.2 of 0.2).
        for (const size_t i : { 1, 2, 3 }) {
            const CallerResult &caller = result.m_callers[i];
            EXPECT_GE(caller.m_done, 0.9 * caller.m_offered) << Callers[i].m_name;
        }
    }
}

TEST(Overload, HighPriorityIsServedFirst)
{
    for (const uint64_t seed : Seeds) {
        const OverloadResult result = runAt(OverloadPolicy::Present, 2, seed);
        const CallerResult &urgent = result.m_callers[3];
        EXPECT_LE(urgent.m_refused, 0.01 * urgent.m_requests);
        EXPECT_LT(percentile(urgent.m_waits, 0.95),
                  0.25 * percentile(result.m_callers[0].m_waits, 0.5));
    }
}

TEST(Overload, BacklogDrainsWithoutGrowingAgain)
{
    for (const uint64_t seed : Seeds) {
        OverloadSim sim(OverloadPolicy::Present, seed);
        sim.offer(2, 300);
        sim.offer(0.7, 600);
        const std::vector<double> &backlog = sim.result().m_backlog;
        const double overload = *std::max_element(backlog.begin() + 200, backlog.begin() + 300);
        size_t drained = 300;
        while (drained < backlog.size() && backlog[drained] > 0.1 * overload)
            drained += 1;
        // The load leaves 0.3 of the capacity to drain the backlog. Retries need as much again.
        const double due = 2 * overload / (0.3 * Capacity);
        ASSERT_LT(static_cast<double>(drained - 300), due);
        const double later =
            *std::max_element(backlog.begin() + static_cast<long>(drained), backlog.end());
        std::printf("overload: seed=%d backlog=%.0f drained_after_s=%d "
                    "later_max/backlog=%.3f\n",
                    static_cast<int>(seed), overload, static_cast<int>(drained - 300),
                    later / overload);
        EXPECT_LT(later, 0.35 * overload);
    }
}

} // namespace
} // namespace stackquay
