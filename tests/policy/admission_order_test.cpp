#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <random>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start{ Seconds(1'000) };

/// Bounds of docs/design/admission.md: nothing is served less than a quarter as often as all
/// requests, and customers with equal demand get equal shares.
constexpr double MinServedRatio = 0.25;
constexpr double ShareTolerance = 0.1;

const std::vector<uint32_t> Ranks{ 0, 1, 2 };
constexpr size_t Customers = 24;
constexpr uint64_t DrawnLoads = 20;

double between(std::mt19937_64 &random, double least, double most)
{
    return std::uniform_real_distribution<double>(least, most)(random);
}

/// A server that prefills 200,000 tokens a second, without attention, so that time and tokens are
/// proportional.
EngineCosts serverCosts()
{
    EngineCosts costs;
    costs.m_prefillTokensPerSecond = 200'000;
    costs.m_memoryTokens = 400'000;
    return costs;
}

/// A request of the drawn loads.
struct Arrival {
    TimePoint m_at{};
    double m_tokens = 0;
    uint32_t m_rank = 0;
    size_t m_customer = 0;
    size_t m_class = 0;
    Duration m_patience{}; ///< Its caller leaves after this silence.
    bool m_served = false;
};

struct Overload {
    std::vector<Arrival> m_arrivals; ///< By time.
    size_t m_vms = 1; ///< Arrivals alternate between them.
    double m_lostUses = 0; ///< Fraction of the uses that each VM does not hear of.
};

/// Plays an overload on one server in virtual time. The server takes requests from a DispatchQueue
/// in its order. A request that is too late is refused; its caller returns once, 250 ms later, and
/// is ordered by its first arrival, see ReturnSchedule.
class Playback
{
public:
    Playback(Overload &load, uint64_t seed)
        : m_load(load)
        , m_random(seed)
        , m_usages(load.m_vms)
    { }

    void run()
    {
        TimePoint now = Start;
        while (m_next < m_load.m_arrivals.size() || !m_queue.empty() || !m_returns.empty()) {
            enqueueUntil(now);
            refuseLate(now);
            const auto first = std::find_if(m_queue.begin(), m_queue.end(), [&](const auto &entry) {
                return positionOf(m_queue, entry.first, now).m_requestsAhead == 0;
            });
            if (first == m_queue.end()) {
                now = nextEvent();
                continue;
            }
            const size_t index = first->first.m_sequence;
            m_queue.erase(first);
            now += serve(index, now);
        }
    }

private:
    struct Return {
        TimePoint m_at{};
        size_t m_index = 0;
    };

    TimePoint nextEvent() const
    {
        TimePoint next = TimePoint::max();
        if (m_next < m_load.m_arrivals.size())
            next = m_load.m_arrivals[m_next].m_at;
        return m_returns.empty() ? next : std::min(next, m_returns.front().m_at);
    }

    void enqueueUntil(TimePoint now)
    {
        while (m_next < m_load.m_arrivals.size() && m_load.m_arrivals[m_next].m_at <= now) {
            enqueue(m_next, m_load.m_arrivals[m_next].m_at, std::nullopt);
            ++m_next;
        }
        while (!m_returns.empty() && m_returns.front().m_at <= now) {
            const Return back = m_returns.front();
            m_returns.pop_front();
            enqueue(back.m_index, back.m_at, m_load.m_arrivals[back.m_index].m_at);
        }
    }

    void enqueue(size_t index, TimePoint at, std::optional<TimePoint> returnOf)
    {
        const Arrival &arrival = m_load.m_arrivals[index];
        ModelRequest request;
        request.m_promptTokens = arrival.m_tokens;
        request.m_arrival = at;
        request.m_leavesAt = at + arrival.m_patience;
        request.m_deadline = at + Seconds(60);
        request.m_returnOf = returnOf;
        QueuedRequest queued = queuedRequestOf({}, serverCosts(), request, {});
        CustomerUsage &usage = m_usages[index % m_load.m_vms];
        delayInOrder(queued, queued.m_latestStart - at,
                     { arrival.m_rank, Ranks, usage.ratio(arrival.m_customer, at) });
        m_queue[{ returnOf ? 1u : 0u, index }] = queued;
    }

    void refuseLate(TimePoint now)
    {
        std::vector<size_t> returning;
        std::erase_if(m_queue, [&](const auto &entry) {
            const bool late = now > entry.second.m_latestStart;
            if (late && entry.first.m_origin == 0)
                returning.push_back(entry.first.m_sequence);
            return late;
        });
        std::sort(returning.begin(), returning.end());
        for (const size_t index : returning)
            m_returns.push_back({ now + ReturnSettings{}.m_shortest, index });
    }

    Duration serve(size_t index, TimePoint now)
    {
        Arrival &arrival = m_load.m_arrivals[index];
        arrival.m_served = true;
        const FloatMillis time = prefillDuration(serverCosts(), arrival.m_tokens);
        for (CustomerUsage &usage : m_usages) {
            if (between(m_random, 0, 1) >= m_load.m_lostUses)
                usage.record(arrival.m_customer, time.count(), now);
        }
        return std::chrono::duration_cast<Duration>(time);
    }

    Overload &m_load;
    std::mt19937_64 m_random;
    std::vector<CustomerUsage> m_usages;
    DispatchQueue m_queue;
    std::deque<Return> m_returns; ///< By time.
    size_t m_next = 0;
};

/// Draws 300 s of arrivals with 1.15 to 1.6 times the work of the server, three ranks, two classes
/// and 24 customers, of which the two largest send 0.34 of the requests, as measured.
Overload randomOverload(uint64_t seed)
{
    std::mt19937_64 random(seed);
    const double factor = between(random, 1.15, 1.6);
    std::discrete_distribution<uint32_t> ranks(
        { between(random, 0.5, 1.5), between(random, 0.5, 1.5), between(random, 0.5, 1.5) });
    std::vector<double> weights(Customers, 0.66 / (Customers - 2));
    weights[0] = weights[1] = 0.17;
    std::discrete_distribution<size_t> customers(weights.begin(), weights.end());
    std::lognormal_distribution<double> sizes(std::log(60'000), 0.5);
    constexpr double MeanTokens = 68'000; // Mean of the distribution of sizes.
    std::exponential_distribution<double> gaps(factor * 200'000 / MeanTokens);
    Overload load;
    for (double at = gaps(random); at < 300; at += gaps(random)) {
        Arrival arrival;
        arrival.m_at = Start + std::chrono::duration_cast<Duration>(FloatMillis(at * 1'000));
        arrival.m_tokens = std::clamp(sizes(random), 10'000.0, 260'000.0);
        arrival.m_rank = ranks(random);
        arrival.m_customer = customers(random);
        arrival.m_class = std::bernoulli_distribution(0.5)(random) ? 1 : 0;
        arrival.m_patience = arrival.m_class == 1 ? Seconds(6) : Seconds(3);
        load.m_arrivals.push_back(arrival);
    }
    return load;
}

/// The same for two VMs that each hear of 80 in 100 of the uses.
Overload lossyOverload(uint64_t seed)
{
    Overload load = randomOverload(seed);
    load.m_vms = 2;
    load.m_lostUses = 0.2;
    return load;
}

using ServedKey = std::function<size_t(const Arrival &)>;

size_t rankOf(const Arrival &arrival)
{
    return arrival.m_rank;
}

size_t customerOf(const Arrival &arrival)
{
    return arrival.m_customer;
}

size_t classOf(const Arrival &arrival)
{
    return arrival.m_class;
}

std::map<size_t, double> servedShares(const Overload &load, const ServedKey &key)
{
    std::map<size_t, std::pair<double, double>> counts;
    for (const Arrival &arrival : load.m_arrivals) {
        auto &[served, all] = counts[key(arrival)];
        served += arrival.m_served ? 1 : 0;
        all += 1;
    }
    std::map<size_t, double> shares;
    for (const auto &[group, count] : counts)
        shares[group] = count.first / count.second;
    return shares;
}

/// Expects that each group is served at least a quarter as often as all requests.
void expectNoneStarved(const Overload &load, std::string_view name, uint64_t seed,
                       const ServedKey &key)
{
    const double all = servedShares(load, [](const Arrival &) { return 0; }).at(0);
    for (const auto &[group, share] : servedShares(load, key)) {
        EXPECT_GE(share, MinServedRatio * all)
            << name << " " << group << ", load " << seed << ", of all " << all;
    }
}

/// The tenth of its class by size that a request belongs to.
ServedKey sizeTenths(const Overload &load)
{
    std::array<std::vector<double>, 2> sizes;
    for (const Arrival &arrival : load.m_arrivals)
        sizes.at(arrival.m_class).push_back(arrival.m_tokens);
    for (auto &of : sizes)
        std::sort(of.begin(), of.end());
    return [sizes](const Arrival &arrival) {
        const auto &of = sizes.at(arrival.m_class);
        const auto before = static_cast<size_t>(
            std::lower_bound(of.begin(), of.end(), arrival.m_tokens) - of.begin());
        return arrival.m_class * 10 + before * 10 / of.size();
    };
}

/// Served tokens by customer.
std::map<size_t, double> servedTokens(const Overload &load)
{
    std::map<size_t, double> tokens;
    for (const Arrival &arrival : load.m_arrivals)
        tokens[arrival.m_customer] += arrival.m_served ? arrival.m_tokens : 0;
    return tokens;
}

/// 600 s of requests of one rank. Customer i of six sends prompts of (i + 1) x 15,000 tokens, and
/// each requests a quarter of the server's tokens; customer 0 requests @p firstFactor times that.
Overload customerLoad(double firstFactor, uint64_t seed)
{
    std::mt19937_64 random(seed);
    Overload load;
    for (size_t customer = 0; customer < 6; ++customer) {
        const double tokens = 15'000 * static_cast<double>(customer + 1);
        const double factor = customer == 0 ? firstFactor : 1;
        std::exponential_distribution<double> gaps(factor * 0.25 * 200'000 / tokens);
        for (double at = gaps(random); at < 600; at += gaps(random)) {
            const TimePoint arrivesAt =
                Start + std::chrono::duration_cast<Duration>(FloatMillis(at * 1'000));
            load.m_arrivals.push_back({ arrivesAt, tokens, 0, customer, 0, Seconds(6) });
        }
    }
    std::sort(load.m_arrivals.begin(), load.m_arrivals.end(),
              [](const Arrival &left, const Arrival &right) { return left.m_at < right.m_at; });
    return load;
}

QueuedRequest queuedAt(TimePoint latestStart)
{
    QueuedRequest queued;
    queued.m_latestStart = latestStart;
    queued.m_order = latestStart;
    return queued;
}

/// The keys of @p queue in its order.
std::vector<uint64_t> orderOf(const DispatchQueue &queue, TimePoint now)
{
    std::vector<uint64_t> keys(queue.size());
    for (const auto &[key, queued] : queue)
        keys.at(positionOf(queue, key, now).m_requestsAhead) = key.m_sequence;
    return keys;
}

// Guards against a less urgent request that starts before an urgent one of about the same age.
TEST(AdmissionOrderTest, UrgentRequestsStartFirst)
{
    DispatchQueue queue;
    for (uint32_t rank = 0; rank < 3; ++rank) {
        QueuedRequest queued = queuedAt(Start + Seconds(6) + Millis(3 - rank));
        delayInOrder(queued, Seconds(6), { 2 - rank, Ranks, 0 });
        queue[{ 0, 2 - rank }] = queued;
    }
    EXPECT_EQ(orderOf(queue, Start), (std::vector<uint64_t>{ 0, 1, 2 }));
}

// Guards against a less urgent request that is passed by urgent ones until its caller leaves,
// although its caller came back when it was told to.
TEST(AdmissionOrderTest, WaitingLongerThanTheRankDelayGoesFirst)
{
    const Duration patience = Seconds(6);
    const auto order = [&](Duration waited) {
        ModelRequest returned;
        returned.m_promptTokens = 60'000;
        returned.m_arrival = Start;
        returned.m_leavesAt = Start + patience;
        returned.m_deadline = Start + Seconds(60);
        ModelRequest urgent = returned;
        returned.m_returnOf = Start - waited;
        DispatchQueue queue;
        queue[{ 0, 0 }] = queuedRequestOf({}, serverCosts(), urgent, {});
        queue[{ 0, 1 }] = queuedRequestOf({}, serverCosts(), returned, {});
        delayInOrder(queue[{ 0, 1 }], patience, { 1, Ranks, 0 });
        return orderOf(queue, Start);
    };
    const Duration delay = patience / 3;
    EXPECT_EQ(order(delay + Millis(1)), (std::vector<uint64_t>{ 1, 0 }));
    EXPECT_EQ(order(delay - Millis(1)), (std::vector<uint64_t>{ 0, 1 }));
}

// Guards against requests that are passed by later ones until their callers leave, and against
// delays without ranks or use.
TEST(AdmissionOrderTest, EveryRequestPrecedesLaterOnesForAPartOfItsTime)
{
    EXPECT_DOUBLE_EQ(precedence({ 0, { 1, 3 }, 0 }), 1);
    EXPECT_DOUBLE_EQ(precedence({ 1, { 1, 3 }, 0 }), 1);
    EXPECT_DOUBLE_EQ(precedence({ 3, { 1, 3 }, 0 }), 0.5);
    EXPECT_DOUBLE_EQ(precedence({ 1'000'000, { 1, 3 }, 0 }), 0.5);
    EXPECT_DOUBLE_EQ(precedence({ 9, { 0, 1, 9 }, 0 }), 1.0 / 3);
    EXPECT_DOUBLE_EQ(precedence({ 5, {}, 0 }), 1);
    EXPECT_DOUBLE_EQ(precedence({ 1, { 1 }, 1 }), 1);
    EXPECT_DOUBLE_EQ(precedence({ 1, { 1 }, 1.5 }), 1 / 1.5);
    EXPECT_DOUBLE_EQ(precedence({ 3, { 1, 3 }, 2 }), 0.25);
    EXPECT_DOUBLE_EQ(precedence({ 1, { 1 }, std::nan("") }), 1);
    for (const double ratio : { 0.0, 24.0, 1e9 }) {
        QueuedRequest queued = queuedAt(Start + Seconds(6));
        delayInOrder(queued, Seconds(6), { 9, { 0, 4, 9 }, ratio });
        EXPECT_EQ(queued.m_latestStart, Start + Seconds(6));
        EXPECT_LE(queued.m_order, Start + Seconds(12));
    }
}

// Guards against an order that depends on ranks or use where there is one rank and no customer uses
// more than its share.
TEST(AdmissionOrderTest, WithoutRanksAndUseTheOrderOfDrawnQueuesIsThatOfTheLatestStart)
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        DispatchQueue before;
        DispatchQueue after;
        const auto count = static_cast<uint64_t>(between(random, 1, 40));
        for (uint64_t i = 0; i < count; ++i) {
            const auto millis = [&](double least, double most) {
                return Millis(static_cast<int64_t>(between(random, least, most)));
            };
            QueuedRequest queued = queuedAt(Start + millis(6'000, 14'000));
            before[{ i % 3, i }] = queued;
            const auto rank = static_cast<uint32_t>(between(random, 0, 10));
            delayInOrder(queued, millis(0, 9'000), { rank, { rank }, between(random, 0, 1) });
            EXPECT_EQ(queued.m_order, (before[{ i % 3, i }].m_order));
            after[{ i % 3, i }] = queued;
        }
        for (const Millis at : { Millis(0), Millis(2'000), Millis(5'000) })
            EXPECT_EQ(orderOf(before, Start + at), orderOf(after, Start + at)) << "seed " << seed;
    }
}

// Guards against use that is not forgotten after the window, or forgotten within it.
TEST(AdmissionOrderTest, UseIsCountedForTheWindow)
{
    CustomerUsage usage;
    EXPECT_EQ(usage.ratio(1, Start), 0);
    usage.record(1, 300, Start);
    EXPECT_EQ(usage.ratio(1, Start), 1);
    usage.record(2, 100, Start + Seconds(5));
    EXPECT_EQ(usage.ratio(1, Start + Seconds(5)), 1.5);
    EXPECT_EQ(usage.ratio(2, Start + Seconds(9)), 0.5);
    EXPECT_EQ(usage.ratio(3, Start + Seconds(9)), 0);
    EXPECT_EQ(usage.ratio(1, Start + UsageWindow), 0);
    EXPECT_EQ(usage.ratio(2, Start + UsageWindow), 1);
    EXPECT_EQ(usage.customers(), 1u);
    EXPECT_EQ(usage.ratio(2, Start + Seconds(60)), 0);
    EXPECT_EQ(usage.customers(), 0u);
}

// Guards against reports that corrupt the sums: late ones, or values that are not a time.
TEST(AdmissionOrderTest, UnusableReportsOfUseAreIgnored)
{
    CustomerUsage usage;
    usage.record(1, 100, Start);
    usage.record(2, 0, Start);
    usage.record(2, -5, Start);
    usage.record(2, std::nan(""), Start);
    usage.record(2, 100, Start - UsageWindow);
    EXPECT_EQ(usage.customers(), 1u);
    EXPECT_EQ(usage.ratio(1, Start), 1);
    usage.record(2, 100, Start - Seconds(3));
    EXPECT_EQ(usage.ratio(2, Start), 1);
    EXPECT_EQ(usage.ratio(2, Start + Seconds(7)), 0);
    usage.record(3, INFINITY, Start + Seconds(7));
    EXPECT_TRUE(std::isfinite(usage.ratio(3, Start + Seconds(7))));
}

// Guards against memory that grows with the number of customers that send requests.
TEST(AdmissionOrderTest, CustomersAreBounded)
{
    CustomerUsage usage;
    for (uint64_t customer = 1; customer <= MaxUsageCustomers + 100; ++customer)
        usage.record(customer, 1, Start);
    EXPECT_EQ(usage.customers(), MaxUsageCustomers);
    usage.record(1, 3, Start);
    EXPECT_GT(usage.ratio(1, Start), 3);
    usage.record(MaxUsageCustomers + 1, 1, Start + UsageWindow);
    EXPECT_EQ(usage.customers(), 1u);
}

// Guards against a less urgent rank that is hardly served under overload.
TEST(AdmissionOrderTest, NoRankStarvesUnderDrawnOverload)
{
    for (uint64_t seed = 1; seed <= DrawnLoads; ++seed) {
        Overload load = randomOverload(seed);
        Playback(load, seed).run();
        expectNoneStarved(load, "rank", seed, rankOf);
    }
}

// Guards against a customer, class or size that is hardly served under overload.
TEST(AdmissionOrderTest, NoCustomerClassOrSizeStarvesUnderDrawnOverload)
{
    for (uint64_t seed = 1; seed <= DrawnLoads; ++seed) {
        Overload load = randomOverload(seed);
        Playback(load, seed).run();
        expectNoneStarved(load, "customer", seed, customerOf);
        expectNoneStarved(load, "class", seed, classOf);
        expectNoneStarved(load, "tenth by size", seed, sizeTenths(load));
    }
}

// Guards against VMs that starve a rank because they miss reports of use.
TEST(AdmissionOrderTest, NoRankStarvesWhenUsesAreLost)
{
    for (uint64_t seed = 1; seed <= DrawnLoads; ++seed) {
        Overload load = lossyOverload(seed);
        Playback(load, seed).run();
        expectNoneStarved(load, "rank", seed, rankOf);
    }
}

// Guards against VMs that starve a customer, class or size because they miss reports of use.
TEST(AdmissionOrderTest, NoCustomerClassOrSizeStarvesWhenUsesAreLost)
{
    for (uint64_t seed = 1; seed <= DrawnLoads; ++seed) {
        Overload load = lossyOverload(seed);
        Playback(load, seed).run();
        expectNoneStarved(load, "customer", seed, customerOf);
        expectNoneStarved(load, "class", seed, classOf);
        expectNoneStarved(load, "tenth by size", seed, sizeTenths(load));
    }
}

// Guards against shares that follow the number or the size of a customer's requests.
TEST(AdmissionOrderTest, EqualDemandGetsEqualShares)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        Overload load = customerLoad(1, seed);
        Playback(load, seed).run();
        const auto tokens = servedTokens(load);
        double mean = 0;
        for (const auto &[customer, served] : tokens)
            mean += served / static_cast<double>(tokens.size());
        for (const auto &[customer, served] : tokens)
            EXPECT_NEAR(served / mean, 1, ShareTolerance) << customer << ", load " << seed;
    }
}

// Guards against a customer that is hardly served because it requests more than others.
TEST(AdmissionOrderTest, TripleDemandIsNotStarved)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        Overload load = customerLoad(3, seed);
        Playback(load, seed).run();
        expectNoneStarved(load, "customer", seed, customerOf);
    }
}

// Guards against a customer that takes the share of others by requesting more.
TEST(AdmissionOrderTest, TripleDemandDoesNotLowerOthers)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        Overload equal = customerLoad(1, seed);
        Overload triple = customerLoad(3, seed);
        Playback(equal, seed).run();
        Playback(triple, seed).run();
        const auto before = servedTokens(equal);
        const auto after = servedTokens(triple);
        for (size_t customer = 1; customer < 6; ++customer) {
            EXPECT_GE(after.at(customer), (1 - ShareTolerance) * before.at(customer))
                << customer << ", load " << seed;
        }
    }
}

// Guards against VMs that start requests in different orders although no message was lost.
TEST(AdmissionOrderTest, VmsComputeTheSameOrderFromTheSameMessages)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 random(seed);
        struct Use {
            uint64_t m_customer;
            double m_engineMs;
            TimePoint m_at;
        };
        std::vector<Use> uses;
        for (int i = 0; i < 300; ++i)
            uses.push_back({ random() % 7, between(random, 0.01, 900),
                             Start + Millis(static_cast<int64_t>(between(random, 0, 9'900))) });
        std::vector<std::vector<uint64_t>> orders;
        for (int vm = 0; vm < 3; ++vm) {
            std::shuffle(uses.begin(), uses.end(), random);
            CustomerUsage usage;
            for (const Use &use : uses)
                usage.record(use.m_customer, use.m_engineMs, use.m_at);
            const TimePoint now = Start + Millis(9'900);
            DispatchQueue queue;
            for (uint64_t i = 0; i < 30; ++i) {
                QueuedRequest queued = queuedAt(now + Millis(3'000 + i * 7));
                delayInOrder(queued, Seconds(3),
                             { static_cast<uint32_t>(i % 3), Ranks, usage.ratio(i % 7, now) });
                queue[{ i % 3, i }] = queued;
            }
            orders.push_back(orderOf(queue, now));
        }
        EXPECT_EQ(orders[0], orders[1]) << "seed " << seed;
        EXPECT_EQ(orders[0], orders[2]) << "seed " << seed;
    }
}

RouteTable rankedTable(std::vector<uint32_t> routeRanks, std::vector<std::optional<uint32_t>> keys)
{
    RouteTable table;
    DeclaredService service;
    service.m_id = ServiceId("s");
    service.m_engine = serverCosts();
    table.m_services[service.m_id] = service;
    for (const uint32_t rank : routeRanks) {
        Route route;
        route.m_services = { { ServiceId("s"), 1 } };
        route.m_priority = rank;
        table.m_routes.push_back(route);
    }
    table.m_hasCustomers = !keys.empty();
    for (const auto &rank : keys)
        table.m_keys[std::to_string(table.m_keys.size())] = { CustomerId("c"), rank };
    indexRoutes(table);
    return table;
}

// Guards against delays for ranks that no request of the service has.
TEST(AdmissionOrderTest, RanksAreThoseOfTheRequestsOfTheService)
{
    using List = std::vector<uint32_t>;
    const auto ranks = [](const RouteTable &table) {
        return table.m_services.at(ServiceId("s")).m_ranks;
    };
    EXPECT_EQ(ranks(rankedTable({ 3, 5 }, {})), (List{ 3, 5 }));
    EXPECT_EQ(ranks(rankedTable({ 5, 3, 5 }, {})), (List{ 3, 5 }));
    // All customers have a rank, so that of the routes does not apply.
    EXPECT_EQ(ranks(rankedTable({ 1, 5 }, { 4, 2 })), (List{ 2, 4 }));
    EXPECT_EQ(ranks(rankedTable({ 1, 5 }, { 4, std::nullopt })), (List{ 1, 4, 5 }));
    EXPECT_EQ(ranks(rankedTable({ 1, 5 }, { 4, 4 })), (List{ 4 }));
    // Ranks of customers alone count as those of routes do.
    EXPECT_EQ(ranks(rankedTable({ 1, 1 }, { 0, 2 })), (List{ 0, 2 }));
    // Ranks beyond the lowest count as the lowest.
    EXPECT_EQ(ranks(rankedTable({ 12, 30 }, {})), (List{ LowestRank }));
    // Requests of public routes have the rank of the route, whoever sends them.
    RouteTable open = rankedTable({ 5 }, { 0, 7 });
    open.m_routes.front().m_public = true;
    indexRoutes(open);
    EXPECT_EQ(ranks(open), (List{ 5 }));
    // Routes to other services do not count.
    RouteTable other = rankedTable({ 5 }, {});
    Route route = other.m_routes.front();
    route.m_priority = 1;
    route.m_services = { { ServiceId("other"), 1 } };
    other.m_routes.push_back(route);
    indexRoutes(other);
    EXPECT_EQ(ranks(other), (List{ 5 }));
}

} // namespace
} // namespace stackquay
