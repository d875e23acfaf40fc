// Requests with a part that crashes engines, on fleets of different sizes, in virtual time.
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

constexpr uint64_t SharedPart = 1;
constexpr uint64_t CrashingPart = 1'000;
constexpr uint64_t Customers = 4;
constexpr uint64_t Subjects = 40; ///< Parts that sound requests list besides the shared one.
constexpr Millis Contact{ 3'000 };
constexpr size_t CountedCrashes = 5;

struct FleetLoad {
    size_t m_vms = 9;
    double m_requestsPerSecond = 40;
    double m_crashingPerSecond = 8;
    double m_lostMessages = 0.05;
    size_t m_crashingParts = 1;
    /// VMs in two halves that hear each other only through the store.
    bool m_cut = false;
    /// Every fifth engine exits at this time.
    Millis m_massExit{ 0 };
    uint64_t m_seed = 1;
};

/// VMs, engines and messages. Every VM hears every other one.
class PartFleet
{
public:
    explicit PartFleet(const FleetLoad &load)
        : m_load(load)
        , m_random(load.m_seed)
        , m_vms(load.m_vms)
        , m_engines(std::max<size_t>(18, load.m_vms * 18 / 20))
    { }

    void run(Duration time)
    {
        m_end = m_now + time;
        scheduleArrivals(false);
        if (m_load.m_crashingPerSecond > 0)
            scheduleArrivals(true);
        if (m_load.m_massExit > Millis(0))
            at(m_now + m_load.m_massExit, [this] { exitMany(); });
        while (!m_events.empty() && m_events.begin()->first < m_end) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto act = std::move(first->second);
            m_events.erase(first);
            act();
        }
    }

    /// Requests with a crashing part that were sent later than the contact time after the fifth
    /// crash of the part.
    size_t sentLate() const
    {
        size_t late = 0;
        for (const auto &[part, crashes] : m_crashes) {
            if (crashes.size() < CountedCrashes)
                continue;
            const TimePoint from = crashes[CountedCrashes - 1] + Contact;
            const auto &sent = m_sent.at(part);
            late += static_cast<size_t>(std::count_if(sent.begin(), sent.end(),
                                                      [from](TimePoint at) { return at > from; }));
        }
        return late;
    }

    size_t crashes() const
    {
        size_t all = 0;
        for (const auto &[part, crashes] : m_crashes)
            all += crashes.size();
        return all;
    }

    size_t m_soundRequests = 0;
    size_t m_soundRefused = 0;

private:
    struct Request {
        size_t m_vm = 0;
        PromptParts m_prompt;
        uint64_t m_id = 0;
        uint64_t m_crashing = 0; ///< The crashing part; zero: none.
        bool m_answered = false;
    };

    struct Vm {
        PartTable m_table;
        std::multiset<uint64_t> m_answered; ///< Parts of the answers in progress.
    };

    struct Engine {
        uint64_t m_process = 0;
        bool m_up = true;
        std::vector<std::shared_ptr<Request>> m_requests;
    };

    using Action = std::function<void()>;

    void at(TimePoint when, Action action) { m_events.emplace(when, std::move(action)); }

    size_t draw(size_t count)
    {
        return std::uniform_int_distribution<size_t>(0, count - 1)(m_random);
    }

    Millis between(int least, int most)
    {
        return Millis(std::uniform_int_distribution<int>(least, most)(m_random));
    }

    bool hears(size_t from, size_t to) const
    {
        return !m_load.m_cut || (from < m_vms.size() / 2) == (to < m_vms.size() / 2);
    }

    void scheduleArrivals(bool crashing)
    {
        const double rate = crashing ? m_load.m_crashingPerSecond : m_load.m_requestsPerSecond;
        const auto gap =
            std::chrono::duration<double>(std::exponential_distribution<>(rate)(m_random));
        at(m_now + std::chrono::duration_cast<Duration>(gap), [this, crashing] {
            arrive(crashing);
            scheduleArrivals(crashing);
        });
    }

    void arrive(bool crashing)
    {
        auto request = std::make_shared<Request>();
        request->m_vm = draw(m_vms.size());
        request->m_id = ++m_ids;
        request->m_prompt = { { SharedPart, 10 + draw(Subjects) }, 1 + draw(Customers) };
        if (crashing) {
            request->m_crashing = CrashingPart + draw(m_load.m_crashingParts);
            request->m_prompt.m_parts.push_back(request->m_crashing);
        }
        const PartTable &table = m_vms[request->m_vm].m_table;
        const bool allowed = decidePrompt(table, request->m_prompt, false, m_now).m_allowed;
        if (!crashing) {
            ++m_soundRequests;
            m_soundRefused += allowed ? 0 : 1;
        }
        if (allowed)
            send(request);
    }

    void send(const std::shared_ptr<Request> &request)
    {
        const size_t index = draw(m_engines.size());
        Engine &engine = m_engines[index];
        if (!engine.m_up)
            return;
        if (request->m_crashing > 0)
            m_sent[request->m_crashing].push_back(m_now);
        engine.m_requests.push_back(request);
        at(m_now + between(30, 200), [this, request, index, process = engine.m_process] {
            if (m_engines[index].m_process == process && m_engines[index].m_up)
                begin(request, index);
        });
    }

    void begin(const std::shared_ptr<Request> &request, size_t index)
    {
        if (request->m_crashing > 0) {
            m_crashes[request->m_crashing].push_back(m_now);
            exit(index);
            return;
        }
        request->m_answered = true;
        Vm &vm = m_vms[request->m_vm];
        for (const uint64_t part : request->m_prompt.m_parts)
            vm.m_answered.insert(part);
        at(m_now + between(500, 2'000), [this, request, index] {
            std::erase(m_engines[index].m_requests, request);
            finish(*request);
        });
    }

    void finish(const Request &request)
    {
        Vm &vm = m_vms[request.m_vm];
        for (const uint64_t part : request.m_prompt.m_parts) {
            vm.m_answered.erase(vm.m_answered.find(part));
            recordAnswer(vm.m_table.m_answered, part, m_now);
        }
        clear(request.m_vm, suspectKeysOf(vm.m_table, request.m_prompt));
    }

    void exit(size_t index)
    {
        Engine &engine = m_engines[index];
        const uint64_t process = index * 1'000'000 + engine.m_process + 1;
        for (const auto &request : std::exchange(engine.m_requests, {})) {
            if (!request->m_answered)
                noteCrash(*request, process);
        }
        engine.m_up = false;
        ++engine.m_process;
        at(m_now + Seconds(2), [this, index] { m_engines[index].m_up = true; });
    }

    void exitMany()
    {
        for (size_t i = 0; i < m_engines.size(); i += 5)
            exit(i);
    }

    void noteCrash(const Request &request, uint64_t process)
    {
        Vm &vm = m_vms[request.m_vm];
        std::vector<PartKey> changed;
        for (const uint64_t part : request.m_prompt.m_parts) {
            if (vm.m_answered.count(part) > 0)
                continue;
            const PartKey key{ part, request.m_prompt.m_customer };
            const PartCrash crash{ process, request.m_id, m_now };
            if (recordPartCrash(vm.m_table, key, crash, m_now) != PartChange::None)
                changed.push_back(key);
        }
        const auto reports = partReports(vm.m_table, changed, m_now);
        const size_t from = request.m_vm;
        for (const Millis again : { Millis(0), Millis(150), Millis(450) })
            at(m_now + again, [this, from, reports] { tell(from, reports); });
        if (!vm.m_table.m_quarantines.empty())
            store(from);
    }

    void tell(size_t from, const std::vector<PartReport> &reports)
    {
        for (size_t to = 0; to < m_vms.size(); ++to) {
            if (to == from || !hears(from, to)
                || std::bernoulli_distribution(m_load.m_lostMessages)(m_random))
                continue;
            at(m_now + between(1, 8), [this, to, reports] { receive(to, reports); });
        }
    }

    void receive(size_t to, const std::vector<PartReport> &reports)
    {
        Vm &vm = m_vms[to];
        bool changed = false;
        for (const PartReport &report : reports)
            changed = mergePartReport(vm.m_table, report, m_now) != PartChange::None || changed;
        if (!changed)
            return;
        clear(to, answeredKeys(vm));
        // The VM on duty of each half reads what the other half has stored.
        if (m_load.m_cut && to % (m_vms.size() / 2) == 0)
            at(m_now + Millis(10), [this, to] { load(to); });
    }

    static std::vector<PartKey> answeredKeys(const Vm &vm)
    {
        std::vector<PartKey> keys;
        for (const auto &[key, suspect] : vm.m_table.m_suspects) {
            if (vm.m_answered.count(key.m_part) > 0)
                keys.push_back(key);
        }
        return keys;
    }

    void clear(size_t from, const std::vector<PartKey> &keys)
    {
        const auto reports = partReports(m_vms[from].m_table, keys, m_now);
        clearAt(from, reports);
        for (size_t to = 0; !reports.empty() && to < m_vms.size(); ++to) {
            if (to != from && hears(from, to))
                at(m_now + between(1, 8), [this, to, reports] { clearAt(to, reports); });
        }
    }

    void clearAt(size_t vm, const std::vector<PartReport> &reports)
    {
        for (const PartReport &report : reports) {
            std::vector<uint64_t> processes;
            for (const PartCrashReport &crash : report.m_crashes)
                processes.push_back(crash.m_process);
            clearPart(m_vms[vm].m_table, report.m_key, processes, m_now);
        }
    }

    void store(size_t from)
    {
        const PartTable &table = m_vms[from].m_table;
        m_stored = partReports(table, quarantinedPartKeys(table), m_now);
    }

    void load(size_t to)
    {
        for (size_t vm = 0; vm < m_vms.size(); ++vm) {
            if (hears(to, vm))
                at(m_now + between(1, 8), [this, vm, stored = m_stored] { receive(vm, stored); });
        }
    }

    const FleetLoad m_load;
    std::mt19937_64 m_random;
    std::vector<Vm> m_vms;
    std::vector<Engine> m_engines;
    std::multimap<TimePoint, Action> m_events;
    TimePoint m_now{ Seconds(1'000) };
    TimePoint m_end{};
    uint64_t m_ids = 0;
    std::map<uint64_t, std::vector<TimePoint>> m_crashes; ///< By part.
    std::map<uint64_t, std::vector<TimePoint>> m_sent;
    std::vector<PartReport> m_stored;
};

constexpr size_t MaxSentLate = 3;
/// Of all sound requests, those that may be refused by mistake, one in so many.
constexpr size_t SoundPerRefused = 200;

class PartFleetTest : public testing::TestWithParam<size_t>
{
protected:
    static FleetLoad loadOf(size_t vms, uint64_t seed)
    {
        FleetLoad load;
        load.m_vms = vms;
        load.m_requestsPerSecond = std::max<double>(40, static_cast<double>(vms) / 6);
        load.m_seed = seed;
        return load;
    }

    static void expectKept(const FleetLoad &load, size_t sides = 1)
    {
        PartFleet fleet(load);
        fleet.run(Seconds(15));
        const std::string name =
            std::to_string(load.m_vms) + " VMs, seed " + std::to_string(load.m_seed);
        EXPECT_GT(fleet.crashes(), 0u) << name;
        EXPECT_LE(fleet.sentLate(), MaxSentLate * load.m_crashingParts) << name;
        EXPECT_LE(fleet.m_soundRefused, fleet.m_soundRequests / SoundPerRefused * sides) << name;
    }
};

TEST_P(PartFleetTest, CrashingPartIsSentThreeTimesMoreAtMost)
{
    for (uint64_t seed = 1; seed <= 3; ++seed)
        expectKept(loadOf(GetParam(), seed));
}

TEST_P(PartFleetTest, RareRequestsWithTheCrashingPart)
{
    FleetLoad load = loadOf(GetParam(), 4);
    load.m_crashingPerSecond = 1;
    expectKept(load);
}

TEST_P(PartFleetTest, TwoCrashingPartsAtOnce)
{
    FleetLoad load = loadOf(GetParam(), 5);
    load.m_crashingParts = 2;
    expectKept(load);
}

TEST_P(PartFleetTest, HalvesThatHearEachOtherThroughTheStoreOnly)
{
    FleetLoad load = loadOf(GetParam(), 6);
    load.m_cut = true;
    expectKept(load);
}

TEST_P(PartFleetTest, ManyExitsAtOnceQuarantineNothing)
{
    for (uint64_t seed = 1; seed <= (GetParam() > 900 ? 1 : 10); ++seed) {
        FleetLoad load = loadOf(GetParam(), seed);
        load.m_crashingPerSecond = 0;
        load.m_massExit = Seconds(3);
        PartFleet fleet(load);
        fleet.run(Seconds(6));
        EXPECT_EQ(fleet.m_soundRefused, 0u) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, PartFleetTest, testing::Values(9, 72, 985, 1'970));

} // namespace
} // namespace stackquay
