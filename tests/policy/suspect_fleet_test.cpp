// Requests that are popular, or that crash their endpoints, on fleets of VMs, in virtual time.
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const Fingerprint Subject{ 1, 1, 2 };
constexpr Millis Work{ 60 };
constexpr Millis CrashAfter{ 20 };
constexpr Millis RestartAfter{ 4'500 };
constexpr Millis EntryExpiry{ 3'600 }; ///< Then the store shows that the process is gone.
constexpr Millis CallerPause{ 40 }; ///< After an answer.
constexpr Millis CallerRetryDelay{ 500 }; ///< After a refusal.
constexpr uint32_t MaxAttempts = 2;

struct SuspectLoad {
    size_t m_vms = 3;
    size_t m_workers = 3;
    size_t m_callers = 36;
    bool m_crashes = false; ///< The request crashes each worker that runs it.
    /// Another service shows that the VMs' paths work while all workers of this one are down.
    bool m_hasOtherService = true;
    /// All workers fail, the last one this much later than the first; nothing: none fails.
    std::optional<Millis> m_outageSpread;
    uint64_t m_seed = 1;
};

/// VMs, the workers of one service, and callers that all send the same request.
class SuspectFleet
{
public:
    explicit SuspectFleet(const SuspectLoad &load)
        : m_load(load)
        , m_random(load.m_seed)
        , m_vms(load.m_vms)
        , m_workers(load.m_workers)
    {
        for (size_t vm = 0; vm < load.m_vms; ++vm) {
            for (size_t peer = 0; peer < load.m_vms; ++peer) {
                if (peer != vm)
                    m_vms[vm].m_peers.push_back(nameOf(peer));
            }
        }
        for (size_t i = 0; i < load.m_callers; ++i)
            at(m_now + between(0, 100), [this] { arrive(); });
    }

    void failAll(Duration after)
    {
        for (size_t i = 0; i < m_workers.size(); ++i) {
            const auto part =
                *m_load.m_outageSpread * i / std::max<size_t>(m_workers.size() - 1, 1);
            at(m_now + after + part, [this, i] {
                if (m_workers[i].m_up)
                    exit(i);
            });
        }
    }

    void run(Duration time)
    {
        const TimePoint end = m_now + time;
        while (!m_events.empty() && m_events.begin()->first < end) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto act = std::move(first->second);
            m_events.erase(first);
            act();
        }
        m_now = end;
    }

    /// Requests that arrived since the last call, and those of them that were refused.
    std::pair<size_t, size_t> takeArrivals()
    {
        return { std::exchange(m_arrived, 0), std::exchange(m_refused, 0) };
    }

    size_t exits() const { return m_exits; }
    Duration longestRetryDelay() const { return m_longestRetryDelay; }

private:
    using Action = std::function<void()>;

    struct Run {
        size_t m_vm = 0;
        uint32_t m_attempts = 0;
    };

    struct Attempt {
        std::shared_ptr<Run> m_run;
        LoadKey m_key;
        TimePoint m_begun{};
    };

    struct Vm {
        SuspectTable m_table;
        uint64_t m_sequence = 0;
        std::vector<VmId> m_peers;
    };

    struct Worker {
        uint64_t m_process = 1;
        bool m_up = true;
        std::vector<std::shared_ptr<Attempt>> m_attempts;
    };

    void at(TimePoint when, Action action) { m_events.emplace(when, std::move(action)); }

    size_t draw(size_t count)
    {
        return std::uniform_int_distribution<size_t>(0, count - 1)(m_random);
    }

    Millis between(int least, int most)
    {
        return Millis(std::uniform_int_distribution<int>(least, most)(m_random));
    }

    /// Runs @p receive at all VMs but @p from, after some time each.
    void tell(size_t from, const std::function<void(SuspectTable &table)> &receive)
    {
        for (size_t to = 0; to < m_vms.size(); ++to) {
            if (to != from)
                at(m_now + between(1, 4), [this, to, receive] { receive(m_vms[to].m_table); });
        }
    }

    SuspectDecision decide(size_t vm, const LoadKey &own)
    {
        const SuspectTable &table = m_vms[vm].m_table;
        const bool mayProbe =
            mayProbeSuspect(table, Subject, nameOf(vm), m_vms[vm].m_peers, {}, m_now);
        return decideAttempt(table, Subject, own, mayProbe, m_now);
    }

    static VmId nameOf(size_t vm) { return VmId("vm-" + std::to_string(vm)); }

    void arrive()
    {
        ++m_arrived;
        place(std::make_shared<Run>(Run{ draw(m_vms.size()) }));
    }

    void refuse(Duration retryAfter)
    {
        ++m_refused;
        m_longestRetryDelay = std::max(m_longestRetryDelay, retryAfter);
        at(m_now + CallerRetryDelay, [this] { arrive(); });
    }

    void place(const std::shared_ptr<Run> &run)
    {
        const SuspectDecision decision = decide(run->m_vm, {});
        std::vector<size_t> up;
        for (size_t i = 0; i < m_workers.size(); ++i) {
            if (m_workers[i].m_up)
                up.push_back(i);
        }
        if (!decision.isAllowed() || up.empty() || run->m_attempts >= MaxAttempts)
            return refuse(decision.m_nextTryAfter);
        const size_t worker = up[draw(up.size())];
        auto attempt = std::make_shared<Attempt>();
        attempt->m_run = run;
        attempt->m_key = { run->m_vm + 1, ++m_vms[run->m_vm].m_sequence };
        if (decision.m_handling != SuspectHandling::None)
            announce(*attempt);
        // Opening a connection takes a while, in which others may place the same request.
        at(m_now + between(1, 3), [this, attempt, worker, process = m_workers[worker].m_process] {
            send(attempt, worker, process);
        });
    }

    void announce(const Attempt &attempt)
    {
        const auto begin = [this, key = attempt.m_key](SuspectTable &table) {
            beginSuspectAttempt(table, Subject, key, m_now + Seconds(4), m_now);
        };
        begin(m_vms[attempt.m_run->m_vm].m_table);
        tell(attempt.m_run->m_vm, begin);
    }

    void end(const Attempt &attempt)
    {
        const auto finish = [key = attempt.m_key](SuspectTable &table) {
            endSuspectAttempt(table, key);
        };
        finish(m_vms[attempt.m_run->m_vm].m_table);
        tell(attempt.m_run->m_vm, finish);
    }

    void send(const std::shared_ptr<Attempt> &attempt, size_t index, uint64_t process)
    {
        Worker &worker = m_workers[index];
        const SuspectDecision decision = decide(attempt->m_run->m_vm, attempt->m_key);
        if (!decision.isAllowed() || !worker.m_up || worker.m_process != process) {
            end(*attempt);
            return refuse(decision.m_nextTryAfter);
        }
        ++attempt->m_run->m_attempts;
        attempt->m_begun = m_now;
        worker.m_attempts.push_back(attempt);
        at(m_now + (m_load.m_crashes ? CrashAfter : Work), [this, attempt, index, process] {
            if (!m_workers[index].m_up || m_workers[index].m_process != process)
                return;
            if (m_load.m_crashes)
                exit(index);
            else
                complete(attempt, index);
        });
    }

    void complete(const std::shared_ptr<Attempt> &attempt, size_t index)
    {
        std::erase(m_workers[index].m_attempts, attempt);
        end(*attempt);
        const size_t vm = attempt->m_run->m_vm;
        SuspectTable &table = m_vms[vm].m_table;
        recordAnswer(table.m_answered, Subject.m_low, m_now);
        std::vector<uint64_t> crashes;
        if (table.m_suspects.count(Subject) > 0) {
            for (const SuspectCrash &crash : table.m_suspects.at(Subject).m_crashes)
                crashes.push_back(crash.m_process);
            const auto clear = [this, crashes](SuspectTable &one) {
                markCleared(one, Subject, crashes, m_now);
            };
            clear(table);
            tell(vm, clear);
        }
        at(m_now + CallerPause, [this] { arrive(); });
    }

    void exit(size_t index)
    {
        Worker &worker = m_workers[index];
        const uint64_t process = (index + 1) * 1'000'000 + worker.m_process++;
        worker.m_up = false;
        m_exits += m_load.m_crashes ? 1 : 0;
        at(m_now + RestartAfter, [this, index] { m_workers[index].m_up = true; });
        for (const auto &attempt : std::exchange(worker.m_attempts, {}))
            at(m_now + between(0, 8), [this, attempt, process] { breakOff(attempt, process); });
    }

    void note(size_t vm, const SuspectCrash &crash)
    {
        SuspectTable &table = m_vms[vm].m_table;
        if (recordCrash(table, Subject, crash, m_now) == SuspectChange::None || !crash.m_confirmed)
            return;
        const SuspectReport report = suspectReport(table, Subject, m_now);
        tell(vm, [this, report](SuspectTable &other) { mergeSuspectReport(other, report, m_now); });
    }

    void breakOff(const std::shared_ptr<Attempt> &attempt, uint64_t process)
    {
        const size_t vm = attempt->m_run->m_vm;
        const bool anyUp = std::any_of(m_workers.begin(), m_workers.end(),
                                       [](const Worker &worker) { return worker.m_up; });
        const bool confirmed = anyUp || m_load.m_hasOtherService;
        const SuspectCrash crash{ process, attempt->m_begun, m_now, confirmed };
        note(vm, crash);
        if (!confirmed)
            at(m_now + EntryExpiry, [this, vm, crash] {
                note(vm, { crash.m_process, crash.m_begun, crash.m_at });
            });
        end(*attempt);
        at(m_now + between(5, 35), [this, run = attempt->m_run] { place(run); });
    }

    const SuspectLoad m_load;
    std::mt19937_64 m_random;
    std::vector<Vm> m_vms;
    std::vector<Worker> m_workers;
    std::multimap<TimePoint, Action> m_events;
    TimePoint m_now{ Seconds(1'000) };
    size_t m_arrived = 0;
    size_t m_refused = 0;
    size_t m_exits = 0;
    Duration m_longestRetryDelay{};
};

constexpr uint64_t Seeds = 6;

std::string describe(const SuspectLoad &load)
{
    return std::to_string(load.m_vms) + " VMs, " + std::to_string(load.m_workers) + " workers, "
           + std::to_string(load.m_callers) + " callers, seed " + std::to_string(load.m_seed);
}

struct FleetSize {
    size_t m_vms;
    size_t m_workers;
};

class SuspectFleetTest : public testing::TestWithParam<FleetSize>
{
protected:
    static SuspectLoad loadOf(size_t callers, uint64_t seed)
    {
        SuspectLoad load;
        load.m_vms = GetParam().m_vms;
        load.m_workers = GetParam().m_workers;
        load.m_callers = callers;
        load.m_seed = seed;
        return load;
    }
};

// The failure: all workers of a service failed together, each with the same popular request in
// progress, which was then refused for ten minutes or for a day.
TEST_P(SuspectFleetTest, PopularRequestIsServedAfterAllItsWorkersFailed)
{
    for (const int spread : { 0, 30, 300, 1'000, 3'000 }) {
        for (uint64_t seed = 1; seed <= (GetParam().m_vms > 8 ? 1 : Seeds); ++seed) {
            SuspectLoad load = loadOf(36, seed);
            load.m_outageSpread = Millis(spread);
            load.m_hasOtherService = seed % 2 == 0;
            SuspectFleet fleet(load);
            fleet.failAll(Seconds(5));
            fleet.run(Seconds(5) + Millis(spread) + RestartAfter + Seconds(6));
            fleet.takeArrivals();
            fleet.run(Seconds(20));
            const auto [arrived, refused] = fleet.takeArrivals();
            EXPECT_GT(arrived, 0u);
            EXPECT_EQ(refused, 0u) << describe(load) << ", spread " << spread;
            EXPECT_LE(fleet.longestRetryDelay(), Seconds(2)) << describe(load);
        }
    }
}

// A request that crashes its workers ends three of them. Copies that are in flight when the first
// one ends cannot be recalled; then a probe may follow.
TEST_P(SuspectFleetTest, CrashingRequestEndsFewWorkers)
{
    constexpr size_t MaxExits = 3;
    for (const size_t callers : { 1u, 12u, 36u }) {
        for (uint64_t seed = 1; seed <= Seeds; ++seed) {
            SuspectLoad load = loadOf(callers, seed);
            load.m_crashes = true;
            load.m_hasOtherService = seed % 2 == 0;
            SuspectFleet fleet(load);
            fleet.run(Seconds(1));
            const size_t atOnce = std::max(fleet.exits(), MaxExits);
            fleet.run(Seconds(120));
            EXPECT_GE(fleet.exits(), MaxExits) << describe(load);
            EXPECT_LE(fleet.exits(), atOnce + 1) << describe(load);
        }
    }
}

// A single caller's attempts follow each other, so that each end is known before the next one.
TEST_P(SuspectFleetTest, CrashingRequestOfOneCallerEndsThreeWorkers)
{
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        SuspectLoad load = loadOf(1, seed);
        load.m_crashes = true;
        SuspectFleet fleet(load);
        fleet.run(Seconds(120));
        EXPECT_EQ(fleet.exits(), 3u) << describe(load);
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, SuspectFleetTest,
                         testing::Values(FleetSize{ 3, 3 }, FleetSize{ 8, 18 },
                                         FleetSize{ 72, 60 }),
                         [](const auto &info) {
                             return std::to_string(info.param.m_vms) + "Vms"
                                    + std::to_string(info.param.m_workers) + "Workers";
                         });

} // namespace
} // namespace stackquay
