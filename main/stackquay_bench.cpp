/// Measures the pure policies over fakes in simulated time: `stackquay-bench routing`.
#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "bench/routing_bench.h"

using namespace stackquay;

namespace {

constexpr const char *Usage =
    "usage: stackquay-bench routing [--endpoints N] [--nodes N] [--per-shard N] [--load SHARE]\n"
    "         [--seeds N] [--seconds N] [--policy round-robin|least-reported|steward]\n";

int routing(int argc, char **argv)
{
    const option options[] = {
        { "endpoints", required_argument, nullptr, 'e' },
        { "nodes", required_argument, nullptr, 'n' },
        { "per-shard", required_argument, nullptr, 'p' },
        { "load", required_argument, nullptr, 'l' },
        { "seeds", required_argument, nullptr, 's' },
        { "seconds", required_argument, nullptr, 't' },
        { "policy", required_argument, nullptr, 'o' },
        {},
    };
    RoutingBenchSettings settings;
    for (int flag; (flag = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (flag == '?') {
            std::fputs(Usage, stderr);
            return 2;
        }
        const auto number = std::strtoul(optarg, nullptr, 10);
        if (flag == 'e')
            settings.m_run.m_endpoints = number;
        else if (flag == 'n')
            settings.m_run.m_nodes = number;
        else if (flag == 'p')
            settings.m_run.m_perShard = static_cast<uint32_t>(number);
        else if (flag == 'l')
            settings.m_load = std::strtod(optarg, nullptr);
        else if (flag == 's')
            settings.m_seeds = static_cast<uint32_t>(number);
        else if (flag == 't')
            settings.m_run.m_workload.m_length = Seconds(number);
        else if (const auto policy = parseRoutingPolicy(optarg))
            settings.m_policies = { *policy };
        else
            return 2;
    }
    const bool valid = settings.m_run.m_endpoints > 0 && settings.m_run.m_nodes > 0
                       && settings.m_run.m_perShard > 0 && settings.m_load > 0
                       && settings.m_seeds > 0;
    if (!valid) {
        std::fputs(Usage, stderr);
        return 2;
    }
    runRoutingBench(settings);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2 || std::strcmp(argv[1], "routing") != 0) {
        std::fputs(Usage, stderr);
        return 2;
    }
    return routing(argc - 1, argv + 1);
}
