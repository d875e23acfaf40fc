/// Tests the places of callers that were told when to come back, on one VM and across the VMs of a
/// cell.
#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "pool_loads.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(1'000);

Fingerprint printOf(uint64_t number)
{
    return { 0, 0, number };
}

ReturnPlace placeOf(uint64_t number, Millis due, double workMs = 100)
{
    return { printOf(number), Start, Start + due, Start + due + ReturnGrace, workMs };
}

/// Work of the places that are due at @p by at the latest.
double workDue(const ReturnSchedule &places, TimePoint by)
{
    double work = 0;
    for (const DueWork &due : places.dueWork())
        work += due.m_dueAt <= by ? due.m_workMs : 0;
    return work;
}

// Guards against places that are found after they expired, or after their request came back.
TEST(ReturnScheduleTest, FindsPlacesUntilTheyExpireOrAreReleased)
{
    ReturnSchedule places;
    places.keep(placeOf(1, Millis(500)));
    EXPECT_EQ(places.find(printOf(2), Start), nullptr);
    ASSERT_NE(places.find(printOf(1), Start), nullptr);
    EXPECT_NE(places.find(printOf(1), Start + Millis(1'499)), nullptr);
    EXPECT_EQ(places.find(printOf(1), Start + Millis(1'500)), nullptr);
    places.release(printOf(1));
    EXPECT_EQ(places.find(printOf(1), Start), nullptr);
    EXPECT_EQ(places.size(), 0u);
}

// Guards against work that counts twice if the message of a place comes twice.
TEST(ReturnScheduleTest, ThePlaceOfARequestIsReplaced)
{
    ReturnSchedule places;
    places.keep(placeOf(1, Millis(500), 100));
    places.keep(placeOf(1, Millis(700), 300));
    EXPECT_EQ(places.size(), 1u);
    EXPECT_DOUBLE_EQ(workDue(places, Start + Millis(600)), 0);
    EXPECT_DOUBLE_EQ(workDue(places, Start + Millis(700)), 300);
}

// Guards against work that is due later being counted as work ahead.
TEST(ReturnScheduleTest, WorkIsOrderedByItsDueTime)
{
    ReturnSchedule places;
    places.keep(placeOf(1, Millis(900), 1));
    places.keep(placeOf(2, Millis(300), 2));
    places.keep(placeOf(3, Millis(600), 4));
    EXPECT_DOUBLE_EQ(workDue(places, Start + Millis(299)), 0);
    EXPECT_DOUBLE_EQ(workDue(places, Start + Millis(600)), 6);
    const auto due = places.dueWork();
    ASSERT_EQ(due.size(), 3u);
    EXPECT_DOUBLE_EQ(due[0].m_workMs, 2);
    EXPECT_DOUBLE_EQ(due[1].m_workMs, 4);
    EXPECT_DOUBLE_EQ(due[2].m_workMs, 1);
}

// Guards against unbounded memory under a flood of refusals, and a full schedule that can't be
// updated any more.
TEST(ReturnScheduleTest, KeepsABoundedNumberOfPlaces)
{
    ReturnSchedule places;
    for (uint64_t i = 0; i < MaxPlaces + 10; ++i)
        places.keep(placeOf(i, Millis(500)));
    EXPECT_EQ(places.size(), MaxPlaces);
    EXPECT_EQ(places.find(printOf(MaxPlaces), Start), nullptr);
    places.keep(placeOf(0, Millis(800)));
    EXPECT_EQ(places.find(printOf(0), Start)->m_dueAt, Start + Millis(800));
    places.dropExpired(Start + Millis(1'500));
    EXPECT_EQ(places.size(), 1u);
}

ReturnQuery queryOf(Millis turn, Millis left, Millis toComplete = Millis(1'000))
{
    return { Start, Start + left, turn, toComplete };
}

// Guards against callers that are told to come back when it is too late for their deadline.
TEST(AdviseReturnTest, TellsNothingIfTheTurnIsTooLate)
{
    EXPECT_FALSE(adviseReturn({}, queryOf(Millis(5'001), Millis(6'000))).m_delay);
    EXPECT_FALSE(adviseReturn({}, queryOf(Millis(5'001), Millis(6'000))).m_keepsPlace);
    EXPECT_TRUE(adviseReturn({}, queryOf(Millis(5'000), Millis(6'000))).m_delay);
}

// Guards against delays that callers do not honour, and against a place for a time at which the
// turn has not come.
TEST(AdviseReturnTest, TellsAtMostAThirdOfTheTimeLeft)
{
    const ReturnAdvice soon = adviseReturn({}, queryOf(Millis(3'000), Millis(9'000)));
    EXPECT_EQ(soon.m_delay, Duration(Millis(3'000)));
    EXPECT_TRUE(soon.m_keepsPlace);
    const ReturnAdvice later = adviseReturn({}, queryOf(Millis(3'100), Millis(9'000)));
    ASSERT_TRUE(later.m_delay);
    EXPECT_LE(*later.m_delay, Duration(Millis(3'000)));
    EXPECT_GT(*later.m_delay, Duration(Millis(2'999)));
    EXPECT_FALSE(later.m_keepsPlace);
}

// Guards against callers that return at once, and against a maximum below the minimum.
TEST(AdviseReturnTest, TheMinimumTakesPrecedence)
{
    EXPECT_EQ(adviseReturn({}, queryOf(Millis(10), Millis(9'000))).m_delay, Duration(Millis(250)));
    const ReturnAdvice advice = adviseReturn({}, queryOf(Millis(100), Millis(600), Millis(100)));
    EXPECT_EQ(advice.m_delay, Duration(Millis(250)));
    EXPECT_TRUE(advice.m_keepsPlace);
}

/// How a run of CellSim differs from an undisturbed one.
struct CellSettings {
    size_t m_vms = 0;
    double m_lost = 0; ///< Probability that a message to one VM is lost.
    bool m_partitioned = false; ///< Half of the cell is cut off in the middle third of the run.
    bool m_restarts = false; ///< Each 500 ms a VM ends, and another one starts in its stead.
    double m_early = 0; ///< Fraction of the callers that first come back in half of the time.
    bool m_keepsPlaces = true; ///< Part C.
};

struct CellResult {
    size_t m_arrivals = 0;
    size_t m_served = 0;
    size_t m_told = 0; ///< Came back when due, after being told a time with a place.
    size_t m_toldServed = 0;
    size_t m_early = 0;
    size_t m_earlyServed = 0; ///< Started at an early return.
    size_t m_earlyMoved = 0; ///< Were told another time than before.
    Duration m_longestWait{};
    /// Requests that waited longer than they may without places: until their latest start.
    size_t m_waitedTooLong = 0;

    void add(const CellResult &other)
    {
        m_arrivals += other.m_arrivals;
        m_served += other.m_served;
        m_told += other.m_told;
        m_toldServed += other.m_toldServed;
        m_early += other.m_early;
        m_earlyServed += other.m_earlyServed;
        m_earlyMoved += other.m_earlyMoved;
        m_longestWait = std::max(m_longestWait, other.m_longestWait);
        m_waitedTooLong += other.m_waitedTooLong;
    }
};

/// One cell in virtual time. Each VM has its own places, and each half its own queue while the cell
/// is partitioned. Engines complete work at a constant rate. A return reaches any VM of the cell.
class CellSim
{
public:
    CellSim(const CellSettings &settings, uint64_t seed)
        : m_settings(settings)
        , m_random(seed)
        , m_arrivals(seed)
        , m_places(settings.m_vms)
        // The ratio of the second deployment: 54 engines for 86 VMs.
        , m_engines(std::max(1.0, std::round(static_cast<double>(settings.m_vms) * 54 / 86)))
    { }

    CellResult play()
    {
        double nextArrival = 0;
        for (m_now = Start; m_now < Start + Length || !m_waiting.empty(); m_now += Step) {
            const double at = FloatMillis(m_now - Start).count();
            for (; m_now < Start + Length && nextArrival <= at; nextArrival += drawGap(at))
                arrive(drawRequest());
            deliver();
            if (m_settings.m_restarts && (m_now - Start) % RestartInterval < Duration(Step))
                restartOne();
            for (ReturnSchedule &places : m_places)
                places.dropExpired(m_now);
            complete();
            startNext();
        }
        return m_result;
    }

private:
    static constexpr Seconds Length{ 60 };
    static constexpr Seconds Phase{ 10 };
    static constexpr Millis Step{ 10 };
    static constexpr Millis RestartInterval{ 500 };
    static constexpr Millis Patience{ 3'000 };
    static constexpr Millis Deadline{ 15'000 };
    static constexpr Millis AnswerTime{ 2'500 };
    static constexpr double MeanWorkMs = 3'400;
    static constexpr double LimitMsPerEngine = 750;
    /// Phases in which 1.5 times as much work arrives as is completed, and phases of a third.
    static constexpr double HighLoad = 1.5;
    static constexpr double LowLoad = 0.33;

    struct Request {
        uint64_t m_id = 0;
        double m_tokens = 0;
        double m_workMs = 0;
        TimePoint m_arrival{};
        TimePoint m_firstArrival{};
        TimePoint m_deadline{};
        TimePoint m_dueAt{};
        size_t m_vm = 0;
        bool m_told = false;
        bool m_tooEarly = false; ///< Comes back before it is due.
        bool m_hasPlace = false; ///< It came back and took its place.
        uint32_t m_refusals = 0;
    };

    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    size_t drawVm()
    {
        return std::uniform_int_distribution<size_t>(0, m_places.size() - 1)(m_random);
    }

    double drawGap(double atMs)
    {
        const bool high = static_cast<int64_t>(atMs) / Millis(Phase).count() % 2 == 0;
        const double perMs =
            (high ? HighLoad : LowLoad) * m_engines * InitialRateShare / MeanWorkMs;
        return std::exponential_distribution<double>(perMs)(m_arrivals);
    }

    Request drawRequest()
    {
        constexpr double Spread = 0.55;
        constexpr double MeanTokens = 190'000;
        constexpr double MaxTokens = 600'000;
        Request request;
        request.m_id = ++m_lastId;
        request.m_tokens = std::min(
            MaxTokens, std::lognormal_distribution<double>(
                           std::log(MeanTokens) - Spread * Spread / 2, Spread)(m_arrivals));
        request.m_workMs = prefillDuration(m_costs, request.m_tokens).count();
        request.m_arrival = request.m_firstArrival = m_now;
        request.m_deadline = m_now + Deadline;
        ++m_result.m_arrivals;
        return request;
    }

    bool isPartitioned() const
    {
        return m_settings.m_partitioned && m_now >= Start + Length / 3
               && m_now < Start + Length * 2 / 3;
    }
    size_t halfOf(size_t vm) const { return isPartitioned() ? vm % 2 : 0; }
    bool reaches(size_t from, size_t to) const { return !isPartitioned() || from % 2 == to % 2; }

    ModelRequest modelRequestOf(const Request &request, bool hasPlace) const
    {
        ModelRequest model;
        model.m_promptTokens = request.m_tokens;
        model.m_gapLimitMs = 1'000;
        model.m_answerTokens = static_cast<double>(m_costs.m_usualAnswerTokens);
        model.m_arrival = request.m_arrival;
        model.m_leavesAt = request.m_arrival + Patience;
        model.m_deadline = request.m_deadline;
        if (hasPlace)
            model.m_returnOf = request.m_firstArrival;
        return model;
    }

    QueuedRequest entryOf(const Request &request, bool hasPlace) const
    {
        return queuedRequestOf({}, m_costs, modelRequestOf(request, hasPlace), poolSize());
    }

    /// Longest wait without places.
    Duration maxWait(const Request &request) const
    {
        const QueuedRequest entry = entryOf(request, false);
        return std::max(entry.m_latestStart - request.m_arrival, Duration::zero());
    }

    /// Polls a waiting request; @p starts is whether the engines take it now.
    DispatchDecision decide(const Request &request, bool starts)
    {
        const ModelRequest model = modelRequestOf(request, request.m_hasPlace);
        GangPlan plan;
        plan.m_firstEvent = expectedFirstEvent({}, m_costs, model, poolSize());
        plan.m_completion = expectedCompletion({}, m_costs, model, poolSize());
        return decideStart(
            {}, m_costs, model, entryOf(request, request.m_hasPlace), starts, turnOf(request),
            [&](DisruptionPolicy) { return starts ? std::optional<GangPlan>(plan) : std::nullopt; },
            m_now);
    }

    PoolSize poolSize() const
    {
        return { static_cast<size_t>(m_engines), FloatMillis(LimitMsPerEngine / 2) };
    }

    bool hasRoom(const Request &request)
    {
        return m_inProgress[halfOf(request.m_vm)] < LimitMsPerEngine * m_engines;
    }

    /// What the VM of @p request knows of the work before it.
    Duration turnOf(const Request &request)
    {
        TurnLoad load;
        load.m_servers = load.m_expectedServers = m_engines;
        double excessMs = -LimitMsPerEngine * m_engines;
        for (const auto &[half, work] : m_inProgress)
            excessMs += half == halfOf(request.m_vm) || !isPartitioned() ? work : 0;
        load.m_blockedFor =
            std::chrono::duration_cast<Duration>(FloatMillis(std::max(excessMs, 0.0) / m_engines));
        for (const auto &[order, other] : m_waiting) {
            if (order < request.m_firstArrival && reaches(request.m_vm, other.m_vm))
                load.m_aheadMs += other.m_workMs;
        }
        if (request.m_hasPlace)
            return predictTurn(load, InitialRateShare);
        return forecastTurn(load, m_places[request.m_vm], InitialRateShare, m_now);
    }

    void arrive(Request request)
    {
        request.m_vm = drawVm();
        request.m_arrival = m_now;
        ReturnSchedule &places = m_places[request.m_vm];
        if (const ReturnPlace *place = places.find(printOf(request.m_id), m_now)) {
            if (m_now + ReturnTolerance < place->m_dueAt) {
                m_result.m_earlyMoved += place->m_dueAt != request.m_dueAt;
                m_returns.emplace(place->m_dueAt, request);
                return;
            }
            request.m_hasPlace = true;
            for (size_t vm = 0; vm < m_places.size(); ++vm) {
                if (vm == request.m_vm
                    || (reaches(request.m_vm, vm) && draw() >= m_settings.m_lost))
                    m_places[vm].release(printOf(request.m_id));
            }
        } else {
            request.m_firstArrival = m_now;
        }
        if (decide(request, false).m_tooLate)
            refuse(request);
        else
            m_waiting.emplace(request.m_firstArrival, request);
    }

    void recordWait(const Request &request)
    {
        const Duration waited = m_now - request.m_arrival;
        m_result.m_longestWait = std::max(m_result.m_longestWait, waited);
        m_result.m_waitedTooLong += waited > maxWait(request) + Step;
    }

    void refuse(Request request)
    {
        recordWait(request);
        if (++request.m_refusals > 1 || !m_settings.m_keepsPlaces)
            return;
        request.m_arrival = m_now;
        request.m_firstArrival = m_now;
        const Duration toComplete = Patience - maxWait(request) + AnswerTime;
        const ReturnAdvice advice =
            adviseReturn({}, { m_now, request.m_deadline, turnOf(request), toComplete });
        if (!advice.m_keepsPlace)
            return;
        request.m_told = true;
        request.m_dueAt = m_now + *advice.m_delay;
        const ReturnPlace place{ printOf(request.m_id), m_now, request.m_dueAt,
                                 request.m_dueAt + ReturnGrace, request.m_workMs };
        m_places[request.m_vm].keep(place);
        send(request.m_vm, place);
        m_repeats.emplace(m_now + *advice.m_delay / 2, std::make_pair(request.m_vm, place));
        request.m_tooEarly = draw() < m_settings.m_early;
        m_returns.emplace(request.m_tooEarly ? m_now + *advice.m_delay / 2 : request.m_dueAt,
                          request);
    }

    void send(size_t from, const ReturnPlace &place)
    {
        for (size_t vm = 0; vm < m_places.size(); ++vm) {
            if (vm != from && reaches(from, vm) && draw() >= m_settings.m_lost)
                m_places[vm].keep(place);
        }
    }

    /// Delivers the repeated messages and the returns that are due.
    void deliver()
    {
        for (; !m_repeats.empty() && m_repeats.begin()->first <= m_now;
             m_repeats.erase(m_repeats.begin())) {
            const auto &[from, place] = m_repeats.begin()->second;
            if (m_places[from].find(place.m_request, m_now))
                send(from, place);
        }
        while (!m_returns.empty() && m_returns.begin()->first <= m_now) {
            Request request = m_returns.begin()->second;
            m_returns.erase(m_returns.begin());
            if (std::exchange(request.m_tooEarly, false)) {
                ++m_result.m_early;
                const size_t waiting = m_waiting.size();
                arrive(request);
                m_result.m_earlyServed += m_waiting.size() > waiting;
            } else {
                ++m_result.m_told;
                arrive(request);
            }
        }
    }

    /// The VM in its stead gets the places of another VM, as sendState() does.
    void restartOne()
    {
        const size_t ended = drawVm();
        const size_t other = (ended + 2) % m_places.size();
        m_places[ended] = reaches(ended, other) ? m_places[other] : ReturnSchedule{};
    }

    void complete()
    {
        double all = 0;
        for (const auto &[half, work] : m_inProgress)
            all += work;
        const double done = m_engines * InitialRateShare * FloatMillis(Step).count();
        for (auto &[half, work] : m_inProgress)
            work -= all > 0 ? std::min(1.0, done / all) * work : 0;
    }

    void startNext()
    {
        for (auto next = m_waiting.begin(); next != m_waiting.end();) {
            const Request request = next->second;
            const DispatchDecision decision = decide(request, hasRoom(request));
            if (decision.m_tooLate) {
                next = m_waiting.erase(next);
                refuse(request);
                continue;
            }
            if (!decision.m_plan) {
                ++next;
                continue;
            }
            m_inProgress[halfOf(request.m_vm)] += request.m_workMs;
            recordWait(request);
            ++m_result.m_served;
            m_result.m_toldServed += request.m_told;
            next = m_waiting.erase(next);
        }
    }

    const CellSettings m_settings;
    const EngineCosts m_costs = declaredCosts(12, 48);
    std::mt19937_64 m_random;
    std::mt19937_64 m_arrivals; ///< Of its own, so that the arrivals are the same in each setting.
    std::vector<ReturnSchedule> m_places;
    double m_engines;
    TimePoint m_now{};
    uint64_t m_lastId = 0;
    std::multimap<TimePoint, Request> m_waiting; ///< By first arrival.
    std::multimap<TimePoint, Request> m_returns; ///< Callers that come back.
    std::multimap<TimePoint, std::pair<size_t, ReturnPlace>> m_repeats;
    std::map<size_t, double> m_inProgress; ///< By half of the cell.
    CellResult m_result;
};

constexpr size_t MaxCellVms = 128;
constexpr double MinToldServed = 0.9;

/// Plays a fleet of @p settings.m_vms VMs as cells of at most MaxCellVms.
CellResult playFleet(const char *name, const CellSettings &settings, uint64_t seed)
{
    const size_t cells = (settings.m_vms + MaxCellVms - 1) / MaxCellVms;
    CellResult fleet;
    for (size_t cell = 0; cell < cells; ++cell) {
        CellSettings own = settings;
        own.m_vms = settings.m_vms / cells + (cell < settings.m_vms % cells);
        fleet.add(CellSim(own, seed * 100 + cell).play());
    }
    fmt::print("returns: {} vms={} seed={} arrivals={} served={:.3f} told={} told_served={:.3f} "
               "early={} longest_wait_ms={:.0f}\n",
               name, settings.m_vms, seed, fleet.m_arrivals,
               static_cast<double>(fleet.m_served) / static_cast<double>(fleet.m_arrivals),
               fleet.m_told,
               static_cast<double>(fleet.m_toldServed)
                   / std::max<double>(1, static_cast<double>(fleet.m_told)),
               fleet.m_early, FloatMillis(fleet.m_longestWait).count());
    return fleet;
}

class ReturnFleetTest : public testing::TestWithParam<size_t>
{
protected:
    /// More runs of a small fleet, as few of its callers are told a time.
    static uint64_t seeds() { return GetParam() < MaxCellVms / 2 ? 16 : 2; }
};

// Guards against callers that come back when told to and are refused again, with a fifth of the
// messages lost.
TEST_P(ReturnFleetTest, CallersThatReturnWhenToldAreServed)
{
    CellResult all;
    for (uint64_t seed = 1; seed <= seeds(); ++seed)
        all.add(playFleet("lossy", { GetParam(), 0.2 }, seed));
    ASSERT_GT(all.m_told, 20u);
    EXPECT_GE(static_cast<double>(all.m_toldServed),
              MinToldServed * static_cast<double>(all.m_told));
}

// Guards against places that are lost with the VM that announced them.
TEST_P(ReturnFleetTest, PlacesOutliveTheVmThatAnnouncedThem)
{
    CellResult all;
    for (uint64_t seed = 1; seed <= seeds(); ++seed)
        all.add(playFleet("restarts", { GetParam(), 0.2, false, true }, seed));
    ASSERT_GT(all.m_told, 20u);
    EXPECT_GE(static_cast<double>(all.m_toldServed),
              MinToldServed * static_cast<double>(all.m_told));
}

// Guards against callers that gain by coming back before they were told to. Without losses, each VM
// has the place, so that the same time is told again.
TEST_P(ReturnFleetTest, EarlyReturnsGainNothing)
{
    CellResult all;
    for (uint64_t seed = 1; seed <= seeds(); ++seed)
        all.add(playFleet("early", { GetParam(), 0, false, false, 0.5 }, seed));
    ASSERT_GT(all.m_early, 10u);
    EXPECT_EQ(all.m_earlyServed, 0u);
    EXPECT_EQ(all.m_earlyMoved, 0u);
}

// Guards against requests that wait longer because of places that only one half of a partitioned
// cell knows, while VMs end and start and messages are lost. Without places, a request waits until
// its latest start; with them none may wait longer from an arrival to its start or refusal.
TEST_P(ReturnFleetTest, NoRequestWaitsLongerInAPartitionedCell)
{
    CellResult with;
    CellResult without;
    for (uint64_t seed = 1; seed <= seeds(); ++seed) {
        CellSettings settings{ GetParam(), 0.2, true, true, 0.1 };
        with.add(playFleet("partitioned", settings, seed));
        settings.m_keepsPlaces = false;
        without.add(playFleet("partitioned without places", settings, seed));
    }
    EXPECT_EQ(with.m_arrivals, without.m_arrivals);
    EXPECT_EQ(without.m_waitedTooLong, 0u);
    EXPECT_EQ(with.m_waitedTooLong, 0u) << "of " << with.m_arrivals;
}

INSTANTIATE_TEST_SUITE_P(Vms, ReturnFleetTest, testing::Values(6, 86, 1'000),
                         [](const auto &info) { return std::to_string(info.param); });

} // namespace
} // namespace stackquay
