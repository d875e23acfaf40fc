#include "load/runner.h"

#include <future>

#include <boost/fiber/operations.hpp>
#include <fmt/format.h>

#include "load/client.h"

namespace stackquay {

namespace {

constexpr Millis DrainPoll{ 5 };

/// One thread of the run. All but the constructor and done() runs on m_thread.
class Worker
{
public:
    Worker(LoadShared &shared, size_t index)
        : m_shared(shared)
        , m_thread(fmt::format("load-{}", index))
        , m_plan(shared.m_options, index)
        , m_client(m_thread, shared, index)
        , m_index(index)
    { }

    void start()
    {
        m_thread.start();
        m_thread.post([this] { send(); });
    }

    /// Ready when every request has ended, or the drain time has.
    std::future<void> done() { return m_done.get_future(); }

    void stop()
    {
        m_thread.stop();
        m_thread.join();
    }

    void moveInto(LoadRun &run)
    {
        run.m_records.insert(run.m_records.end(), m_records.begin(), m_records.end());
        run.m_tokensWhileSending += m_client.tokensWhileSending();
        const auto &problems = m_client.problems();
        run.m_problems.insert(run.m_problems.end(), problems.begin(), problems.end());
    }

private:
    void send()
    {
        if (m_shared.m_options.m_closedLoops > 0)
            startClosedLoops();
        else
            sendArrivals();
        drain();
        m_done.set_value();
    }

    void sendArrivals()
    {
        PlannedRequest planned;
        while (m_plan.next(planned)) {
            const Duration early = m_shared.m_start + planned.m_arrival - Clock::now();
            if (early > Duration::zero()) {
                if (!sleepFor(m_thread.context(), early))
                    return;
            } else {
                boost::this_fiber::yield();
            }
            open(planned);
        }
    }

    void open(const PlannedRequest &planned)
    {
        const uint32_t limit = m_shared.m_options.m_skipAbove;
        if (limit > 0 && planned.m_promptTokens > limit)
            return;
        if (m_open >= m_shared.m_options.m_openLimit / m_shared.m_options.m_threads) {
            m_records.push_back(notSent(planned));
            return;
        }
        ++m_open;
        spawnFiber([this, planned] {
            m_records.push_back(m_client.run(planned));
            --m_open;
        });
    }

    void startClosedLoops()
    {
        const size_t threads = m_shared.m_options.m_threads;
        const size_t loops = m_shared.m_options.m_closedLoops;
        const size_t own = loops / threads + (m_index < loops % threads ? 1 : 0);
        for (size_t i = 0; i < own; ++i) {
            ++m_open;
            spawnFiber([this] {
                closedLoop();
                --m_open;
            });
        }
    }

    void closedLoop()
    {
        const TimePoint end = m_shared.m_start + planLength(m_shared.m_options);
        PlannedRequest planned;
        while (Clock::now() < end && m_plan.next(planned)) {
            m_records.push_back(m_client.run(planned));
            if (m_records.back().m_outcome == LoadOutcome::Complete)
                continue;
            // Refused at once: do not spin.
            if (!sleepFor(m_thread.context(), DrainPoll))
                return;
        }
    }

    void drain()
    {
        const TimePoint end =
            m_shared.m_start + planLength(m_shared.m_options) + m_shared.m_options.m_drainTimeout;
        while (m_open > 0 && Clock::now() < end) {
            if (!sleepFor(m_thread.context(), DrainPoll))
                return;
        }
    }

    static LoadRecord notSent(const PlannedRequest &planned)
    {
        LoadRecord record;
        record.m_class = planned.m_class;
        record.m_outcome = LoadOutcome::NotSent;
        record.m_priority = planned.m_priority;
        record.m_phase = planned.m_phase;
        record.m_customer = planned.m_customer;
        record.m_promptTokens = planned.m_promptTokens;
        record.m_arrival = std::chrono::duration_cast<Micros>(planned.m_arrival);
        return record;
    }

    LoadShared &m_shared;
    FiberThread m_thread;
    LoadPlan m_plan;
    LoadClient m_client;
    size_t m_index;
    size_t m_open = 0;
    std::vector<LoadRecord> m_records;
    std::promise<void> m_done;
};

} // namespace

Result<LoadRun> runLoad(const LoadOptions &options)
{
    if (const Status checked = checkOptions(options); !checked)
        return tl::unexpected(checked.error());
    LoadShared shared{ options, {}, {}, Clock::now() };
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::future<void>> done;
    for (size_t i = 0; i < options.m_threads; ++i) {
        workers.push_back(std::make_unique<Worker>(shared, i));
        done.push_back(workers.back()->done());
    }
    for (const auto &worker : workers)
        worker->start();
    for (std::future<void> &future : done)
        future.wait();
    shared.m_cutOff = true;
    LoadRun run;
    run.m_sending = planLength(options);
    run.m_elapsed = Clock::now() - shared.m_start;
    for (const auto &worker : workers) {
        worker->stop();
        worker->moveInto(run);
    }
    return run;
}

} // namespace stackquay
