#include "bench/routing_bench.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

#include <fmt/format.h>

namespace stackquay {

namespace {

constexpr size_t ShortClass = static_cast<size_t>(LengthClass::Short);

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    const auto nth = static_cast<size_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(nth), values.end());
    return values[nth];
}

double mean(const std::vector<double> &values)
{
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

/// The largest by the mean.
double imbalance(const std::vector<double> &values)
{
    const double most = *std::max_element(values.begin(), values.end());
    return most / mean(values);
}

/// One policy's figures, a value for each seed.
struct PolicyFigures {
    std::vector<double> m_shortSlowdown;
    std::vector<double> m_hitRate;
    std::vector<double> m_imbalance;
    std::vector<double> m_decisionNanos;
    std::vector<double> m_decisionNanosP50;
    std::vector<double> m_decisionNanosP99;
    std::vector<double> m_totalNanos;
    std::vector<double> m_wireBytes;
    std::vector<double> m_stateBytes;
    std::array<std::vector<double>, static_cast<size_t>(LengthClass::Count)> m_longTtft;
};

std::string spread(const std::vector<double> &values, int digits)
{
    const auto [least, most] = std::minmax_element(values.begin(), values.end());
    return fmt::format("{:.{}f} ({:.{}f}-{:.{}f})", mean(values), digits, *least, digits, *most,
                       digits);
}

void printClasses(const RoutingRunResult &result, RoutingPolicy policy, uint64_t seed)
{
    for (size_t i = 0; i < result.m_ttftMillis.size(); ++i) {
        const auto &ttft = result.m_ttftMillis[i];
        fmt::print("{:<15} seed={} {:<10} n={:<6} ttft_ms p50={:.0f} p95={:.0f} p99={:.0f}\n",
                   routingPolicyName(policy), seed, lengthClassName(static_cast<LengthClass>(i)),
                   ttft.size(), quantile(ttft, 0.5), quantile(ttft, 0.95), quantile(ttft, 0.99));
    }
    if (result.m_refused + result.m_unfinished != 0)
        fmt::print("{:<15} seed={} refused={} unfinished={}\n", routingPolicyName(policy), seed,
                   result.m_refused, result.m_unfinished);
}

void measure(RoutingRunSettings run, PolicyFigures &figures)
{
    run.m_workload.m_onlyShort = true;
    const auto alone = runRouting(run);
    run.m_workload.m_onlyShort = false;
    const auto mixed = runRouting(run);
    printClasses(mixed, run.m_policy, run.m_workload.m_seed);
    const double aloneP95 = quantile(alone.m_ttftMillis[ShortClass], 0.95);
    const double slowdown = quantile(mixed.m_ttftMillis[ShortClass], 0.95) / aloneP95;
    const auto requests = static_cast<double>(mixed.m_requests);
    fmt::print("{:<15} seed={} short alone p95={:.0f} slowdown p95={:.3f} hits={:.3f} "
               "imbalance={:.2f}\n",
               routingPolicyName(run.m_policy), run.m_workload.m_seed, aloneP95, slowdown,
               static_cast<double>(mixed.m_hits) / static_cast<double>(mixed.m_sharing),
               imbalance(mixed.m_engineBusySeconds));
    figures.m_shortSlowdown.push_back(slowdown);
    figures.m_hitRate.push_back(static_cast<double>(mixed.m_hits)
                                / static_cast<double>(mixed.m_sharing));
    figures.m_imbalance.push_back(imbalance(mixed.m_engineBusySeconds));
    figures.m_decisionNanos.push_back(mean(mixed.m_decisionNanos));
    figures.m_decisionNanosP50.push_back(quantile(mixed.m_decisionNanos, 0.5));
    figures.m_decisionNanosP99.push_back(quantile(mixed.m_decisionNanos, 0.99));
    figures.m_totalNanos.push_back(mixed.m_stewardNanos / requests);
    figures.m_wireBytes.push_back(static_cast<double>(mixed.m_wireBytes) / requests);
    figures.m_stateBytes.push_back(static_cast<double>(mixed.m_stateBytes)
                                   / static_cast<double>(run.m_nodes));
    for (size_t i = 0; i < figures.m_longTtft.size(); ++i)
        figures.m_longTtft[i].push_back(quantile(mixed.m_ttftMillis[i], 0.95));
}

void printSummary(RoutingPolicy policy, const PolicyFigures &figures)
{
    fmt::print("{:<15} short_slowdown_p95 {}, hit_rate {}, imbalance {}\n",
               routingPolicyName(policy), spread(figures.m_shortSlowdown, 3),
               spread(figures.m_hitRate, 3), spread(figures.m_imbalance, 2));
    fmt::print("{:<15} decision_ns mean {}, p50 {}, p99 {}, all of a request's steward work {}\n",
               routingPolicyName(policy), spread(figures.m_decisionNanos, 0),
               spread(figures.m_decisionNanosP50, 0), spread(figures.m_decisionNanosP99, 0),
               spread(figures.m_totalNanos, 0));
    fmt::print("{:<15} wire bytes a request {}, state bytes a node {}\n", routingPolicyName(policy),
               spread(figures.m_wireBytes, 0), spread(figures.m_stateBytes, 0));
    for (size_t i = 0; i < figures.m_longTtft.size(); ++i)
        fmt::print("{:<15} ttft_p95_ms {} {}\n", routingPolicyName(policy),
                   lengthClassName(static_cast<LengthClass>(i)), spread(figures.m_longTtft[i], 0));
}

} // namespace

void runRoutingBench(const RoutingBenchSettings &settings)
{
    auto run = settings.m_run;
    run.m_workload.m_requestsPerSecond = requestRate(run, settings.m_load);
    fmt::print("endpoints={} nodes={} per_shard={} load={} requests/s={:.0f} seeds={}\n",
               run.m_endpoints, run.m_nodes, run.m_perShard, settings.m_load,
               run.m_workload.m_requestsPerSecond, settings.m_seeds);
    std::vector<PolicyFigures> figures(settings.m_policies.size());
    for (uint32_t seed = 1; seed <= settings.m_seeds; ++seed) {
        run.m_workload.m_seed = seed;
        for (size_t i = 0; i < settings.m_policies.size(); ++i) {
            run.m_policy = settings.m_policies[i];
            measure(run, figures[i]);
        }
        std::fflush(stdout);
    }
    for (size_t i = 0; i < settings.m_policies.size(); ++i)
        printSummary(settings.m_policies[i], figures[i]);
    const auto &last = figures.back();
    std::string slowdowns;
    for (size_t i = 0; i < settings.m_policies.size(); ++i)
        slowdowns += fmt::format(" {}={:.3f}", routingPolicyName(settings.m_policies[i]),
                                 mean(figures[i].m_shortSlowdown));
    fmt::print("routing: decision_ns={:.0f} bytes={:.0f} hit_rate={:.3f} imbalance={:.2f} "
               "short_slowdown_p95{}\n",
               mean(last.m_decisionNanos), mean(last.m_wireBytes), mean(last.m_hitRate),
               mean(last.m_imbalance), slowdowns);
}

} // namespace stackquay
