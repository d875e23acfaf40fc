#include "bench/routing_run.h"

#include <malloc.h>
#include <time.h>

#include <fmt/format.h>

namespace stackquay {

namespace {

using FloatMillis = std::chrono::duration<double, std::milli>;
using FloatSeconds = std::chrono::duration<double>;

/// Adds the processor time of a scope, in nanoseconds: other work of the machine does not count.
class Stopwatch
{
public:
    explicit Stopwatch(double &sum)
        : m_sum(sum)
        , m_start(threadNanos())
    { }
    ~Stopwatch() { m_sum += threadNanos() - m_start; }

private:
    static double threadNanos()
    {
        timespec time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) * 1e9 + static_cast<double>(time.tv_nsec);
    }

    double &m_sum;
    double m_start;
};

const ModelId BenchModel("model");

/// The whole of one run.
class RoutingRun
{
public:
    explicit RoutingRun(const RoutingRunSettings &settings)
        : m_settings(settings)
        , m_random(settings.m_workload.m_seed + 1)
        , m_workload(makeWorkload(settings.m_workload))
        , m_flights(m_workload.size())
    {
        for (size_t i = 0; i < settings.m_endpoints; ++i)
            m_engines.emplace_back(m_loop, settings.m_engine);
        if (settings.m_policy == RoutingPolicy::Steward)
            makeStewards();
        else
            makeViews();
    }

    RoutingRunResult run()
    {
        const TimePoint start = m_loop.now();
        for (size_t i = 0; i < m_workload.size(); ++i)
            m_loop.at(start + m_workload[i].m_arrival, [this, i] { arrive(i); });
        m_loop.runUntil(start + m_settings.m_workload.m_length + m_settings.m_deadline);
        m_result.m_requests = m_workload.size();
        m_result.m_unfinished = m_workload.size() - m_finished - m_result.m_refused;
        for (const auto &engine : m_engines)
            m_result.m_engineBusySeconds.push_back(FloatSeconds(engine.busy()).count());
        const size_t before = mallinfo2().uordblks;
        m_stewards.clear();
        m_result.m_stateBytes = before - mallinfo2().uordblks;
        return std::move(m_result);
    }

private:
    /// A request under way.
    struct Flight {
        uint32_t m_shard = 0;
        std::vector<uint32_t> m_order;
        Duration m_firstWait{};
        size_t m_asked = 0;
        size_t m_engine = 0;
        size_t m_node = 0;
        GrantId m_grant;
        AttemptReport m_report;
        bool m_seenFirst = false;
    };

    template<typename Function>
    auto timed(Function function)
    {
        Stopwatch watch(m_result.m_stewardNanos);
        return function();
    }

    static EndpointId endpointId(size_t index) { return EndpointId(fmt::format("e{}", index)); }
    bool over() const { return m_finished + m_result.m_refused == m_workload.size(); }

    void makeViews()
    {
        std::vector<EndpointView> views(m_settings.m_endpoints);
        for (size_t i = 0; i < views.size(); ++i)
            views[i].m_id = endpointId(i);
        m_views.assign(m_settings.m_nodes, views);
        m_roundRobin.resize(m_settings.m_nodes);
        for (auto &state : m_roundRobin)
            state.m_next = m_random();
        reportLoad();
    }

    void reportLoad()
    {
        std::vector<ReportedLoad> loads;
        for (const auto &engine : m_engines)
            loads.push_back(engine.load());
        m_loop.after(m_settings.m_loadLag, [this, loads = std::move(loads)] {
            for (auto &views : m_views) {
                for (size_t i = 0; i < views.size(); ++i)
                    views[i].m_reported = loads[i];
            }
        });
        if (!over())
            m_loop.after(m_settings.m_loadPeriod, [this] { reportLoad(); });
    }

    void makeStewards()
    {
        const auto count = shardCount(m_settings.m_endpoints, m_settings.m_perShard);
        m_shardSizes.resize(count);
        for (uint32_t shard = 0; shard < count; ++shard)
            m_stewards.push_back(makeSteward(fmt::format("vm{}:1", shard), m_settings.m_steward));
        for (size_t i = 0; i < m_settings.m_endpoints; ++i) {
            const bool single = m_settings.m_perShard == 1;
            const auto shard = single ? static_cast<uint32_t>(i) : shardOf(endpointId(i), count);
            ++m_shardSizes[shard];
            m_endpointIndex.emplace(endpointId(i), i);
            updateEndpoint(m_stewards[shard],
                           { endpointId(i), { BenchModel }, "v1", memoryTokens(), false },
                           m_loop.now());
        }
        sweep();
    }

    uint64_t memoryTokens() const { return m_settings.m_engine.m_memoryTokens; }

    void sweep()
    {
        for (uint32_t shard = 0; shard < m_stewards.size(); ++shard)
            act(shard, timed([&] { return expire(m_stewards[shard], m_loop.now()); }));
        if (!over())
            m_loop.after(Millis(200), [this] { sweep(); });
    }

    void arrive(size_t index)
    {
        auto &flight = m_flights[index];
        flight.m_node = m_random() % m_settings.m_nodes;
        if (m_settings.m_policy != RoutingPolicy::Steward) {
            chooseAlone(index);
            return;
        }
        const auto key = affinityKey(m_workload[index].m_need.m_prefix);
        flight.m_order = shardOrder(key, m_random(), m_shardSizes);
        ask(index, flight.m_order[0], false);
    }

    void chooseAlone(size_t index)
    {
        auto &flight = m_flights[index];
        auto &views = m_views[flight.m_node];
        double nanos = 0;
        {
            Stopwatch watch(nanos);
            const auto chosen =
                m_settings.m_policy == RoutingPolicy::RoundRobin
                    ? chooseRoundRobin(m_roundRobin[flight.m_node], views, {}, m_loop.now())
                    : chooseLeastReported(views, {}, m_loop.now(), m_random);
            flight.m_engine = *chosen;
        }
        m_result.m_decisionNanos.push_back(nanos);
        ++views[flight.m_engine].m_ownInFlight;
        m_loop.after(m_settings.m_hop, [this, index] { submit(index, 0, 0); });
    }

    /// Asks the steward of a shard; the answer comes to decided().
    void ask(size_t index, uint32_t shard, bool mayWait)
    {
        m_flights[index].m_shard = shard;
        m_loop.after(m_settings.m_hop, [this, index, shard, mayWait] {
            const auto request = grantRequest(index, mayWait);
            countBytes(request);
            double nanos = 0;
            std::vector<GrantDecision> decisions;
            {
                Stopwatch watch(nanos);
                decisions = requestGrant(m_stewards[shard], request, m_loop.now(), m_random);
            }
            m_result.m_decisionNanos.push_back(nanos);
            m_result.m_stewardNanos += nanos;
            act(shard, std::move(decisions));
        });
    }

    GrantRequest grantRequest(size_t index, bool mayWait) const
    {
        const auto &item = m_workload[index];
        GrantRequest request;
        request.m_request = RequestId(std::to_string(index));
        request.m_attempt = AttemptId(fmt::format("{:032x}", index));
        request.m_holder = VmId(fmt::format("vm{}", m_flights[index].m_node));
        request.m_customer = CustomerId(fmt::format("customer{}", item.m_customer));
        request.m_model = BenchModel;
        request.m_need = item.m_need;
        request.m_mayWait = mayWait;
        request.m_arrived = m_loop.now();
        request.m_deadline = m_loop.now() + m_settings.m_deadline;
        return request;
    }

    void countBytes(const GrantRequest &request)
    {
        // What goes over the wire: the request, and an answer of two ids and four numbers.
        constexpr size_t AnswerBytes = 64;
        msgpack::sbuffer buffer;
        msgpack::pack(buffer, request.m_request);
        msgpack::pack(buffer, request.m_attempt);
        msgpack::pack(buffer, request.m_holder);
        msgpack::pack(buffer, request.m_customer);
        msgpack::pack(buffer, request.m_model);
        msgpack::pack(buffer, request.m_need);
        m_result.m_wireBytes += buffer.size() + AnswerBytes;
    }

    void act(uint32_t shard, std::vector<GrantDecision> decisions)
    {
        for (auto &decision : decisions) {
            m_loop.after(m_settings.m_hop, [this, shard, decision = std::move(decision)] {
                decided(shard, decision);
            });
        }
    }

    void decided(uint32_t shard, const GrantDecision &decision)
    {
        const size_t index = std::stoul(decision.m_request.str());
        auto &flight = m_flights[index];
        switch (decision.m_answer) {
        case GrantAnswer::Waiting:
            return;
        case GrantAnswer::Refused:
            ++m_result.m_refused;
            return;
        case GrantAnswer::Busy:
            tryAnother(index, decision.m_predictedWait);
            return;
        case GrantAnswer::Granted:
            flight.m_shard = shard;
            flight.m_grant = decision.m_grant.m_id;
            flight.m_engine = m_endpointIndex.at(decision.m_endpoint);
            const TimePoint expiry = m_loop.now() + m_settings.m_deadline;
            timed([&] {
                return noteStarted(m_stewards[shard], flight.m_grant, m_loop.now(), expiry);
            });
            const auto chunk = decision.m_chunkTokens;
            m_loop.after(m_settings.m_hop, [this, index, chunk] { submit(index, 0, chunk); });
        }
    }

    /// The first shard has no room at once: try a second, then wait where the wait is shorter.
    void tryAnother(size_t index, Duration wait)
    {
        auto &flight = m_flights[index];
        ++flight.m_asked;
        if (flight.m_asked == 1 && flight.m_order.size() > 1) {
            flight.m_firstWait = wait;
            ask(index, flight.m_order[1], false);
            return;
        }
        const bool second = flight.m_order.size() > 1 && wait < flight.m_firstWait;
        ask(index, flight.m_order[second ? 1 : 0], true);
    }

    void submit(size_t index, uint64_t prefilledTokens, uint64_t chunk)
    {
        const auto &item = m_workload[index];
        FakeJob job;
        job.m_promptTokens = item.m_need.m_promptTokens;
        job.m_outputTokens = item.m_need.m_outputTokens;
        job.m_prefix = item.m_need.m_prefix;
        job.m_prefilledTokens = prefilledTokens;
        job.m_prefillLimit = chunk;
        if (m_settings.m_policy == RoutingPolicy::Steward)
            job.m_priority = enginePriority(0, chunk != 0);
        job.m_onPrefill = [this, index](const FakePrefill &prefill) { prefilled(index, prefill); };
        job.m_onDone = [this, index](Duration decode) { done(index, decode); };
        m_engines[m_flights[index].m_engine].submit(std::move(job));
    }

    void prefilled(size_t index, const FakePrefill &prefill)
    {
        auto &flight = m_flights[index];
        const auto &item = m_workload[index];
        if (!flight.m_seenFirst && item.m_sharedTokens != 0) {
            ++m_result.m_sharing;
            m_result.m_hits += prefill.m_cachedTokens >= item.m_sharedTokens;
        }
        flight.m_seenFirst = true;
        flight.m_report.m_cachedTokens = prefill.m_cachedTokens;
        flight.m_report.m_prefill = prefill.m_taken;
        if (prefill.m_prefilledTokens < item.m_need.m_promptTokens) {
            nextChunk(index, prefill.m_prefilledTokens);
            return;
        }
        const auto step = Micros(static_cast<int64_t>(m_settings.m_engine.m_stepMicros));
        m_loop.after(step + m_settings.m_hop, [this, index] { firstToken(index); });
    }

    void nextChunk(size_t index, uint64_t prefilledTokens)
    {
        m_loop.after(2 * m_settings.m_hop, [this, index, prefilledTokens] {
            auto &flight = m_flights[index];
            const auto chunk = timed([&] {
                return noteChunkDone(m_stewards[flight.m_shard], flight.m_grant, prefilledTokens,
                                     m_loop.now());
            });
            submit(index, prefilledTokens, chunk);
        });
    }

    void firstToken(size_t index)
    {
        const auto &item = m_workload[index];
        const auto arrival = TimePoint{} + Seconds(1'000) + item.m_arrival;
        m_result.m_ttftMillis[static_cast<size_t>(item.m_class)].push_back(
            FloatMillis(m_loop.now() - arrival).count());
        if (m_settings.m_policy != RoutingPolicy::Steward)
            return;
        m_loop.after(m_settings.m_hop, [this, index] {
            auto &flight = m_flights[index];
            auto &steward = m_stewards[flight.m_shard];
            act(flight.m_shard,
                timed([&] { return noteFirstToken(steward, flight.m_grant, m_loop.now()); }));
        });
    }

    void done(size_t index, Duration decode)
    {
        ++m_finished;
        auto &flight = m_flights[index];
        if (m_settings.m_policy != RoutingPolicy::Steward) {
            --m_views[flight.m_node][flight.m_engine].m_ownInFlight;
            return;
        }
        flight.m_report.m_decode = decode;
        flight.m_report.m_outputTokens = m_workload[index].m_need.m_outputTokens;
        m_loop.after(2 * m_settings.m_hop, [this, index] {
            auto &flight = m_flights[index];
            auto &steward = m_stewards[flight.m_shard];
            act(flight.m_shard, timed([&] {
                    return noteFinished(steward, flight.m_grant, flight.m_report, m_loop.now());
                }));
        });
    }

    RoutingRunSettings m_settings;
    EventLoop m_loop;
    RandomEngine m_random;
    std::vector<WorkloadRequest> m_workload;
    std::vector<Flight> m_flights;
    std::deque<FakeEngine> m_engines;
    std::vector<std::vector<EndpointView>> m_views;
    std::vector<RoundRobinState> m_roundRobin;
    std::vector<Steward> m_stewards;
    std::vector<uint32_t> m_shardSizes;
    std::unordered_map<EndpointId, size_t> m_endpointIndex;
    RoutingRunResult m_result;
    uint64_t m_finished = 0;
};

} // namespace

RoutingRunResult runRouting(const RoutingRunSettings &settings)
{
    return RoutingRun(settings).run();
}

double requestRate(const RoutingRunSettings &settings, double share)
{
    WorkloadSettings sample = settings.m_workload;
    sample.m_requestsPerSecond = 10'000;
    sample.m_length = Seconds(2);
    sample.m_onlyShort = false;
    FloatSeconds work{};
    const auto requests = makeWorkload(sample);
    for (const auto &request : requests)
        work += FakeEngine::prefillTime(settings.m_engine, { request.m_need.m_promptTokens, 0, 0 });
    const double mean = work.count() / static_cast<double>(requests.size());
    return share * static_cast<double>(settings.m_endpoints) / mean;
}

} // namespace stackquay
