/// Measures store writes per second against claims per second, on the simulated platform. Prints a
/// table. Run with --gtest_also_run_disabled_tests --gtest_filter='*ClaimBench*'.
#include <algorithm>
#include <cstdio>

#include <boost/fiber/fiber.hpp>
#include <gtest/gtest.h>

#include "fake_objects.h"
#include "standin/hosted.h"
#include "standin/platform_standin.h"

namespace stackquay {
namespace {

constexpr Duration RunLength = Seconds(1);

struct ClaimLoad {
    double m_perSecond = 0;
    size_t m_buckets = 0;
    Millis m_batchWindow{ 0 };
};

struct ClaimLoadResult {
    size_t m_claimed = 0;
    ClaimCounters m_counters;
    std::vector<double> m_millis; ///< Latency of each claim() call.
};

ClaimLoadResult runLoad(FiberThread &thread, StoreClient &client, const ClaimLoad &load)
{
    ClaimSettings settings;
    settings.m_buckets = load.m_buckets;
    settings.m_batchWindow = load.m_batchWindow;
    ClaimRuntime runtime;
    runtime.m_sleep = [&thread](Duration length) { return sleepFor(thread.context(), length); };
    ClaimStore store(client, settings, runtime, VmId("vm"), RandomEngine(1));
    ClaimLoadResult result;
    RandomEngine random(2);
    std::exponential_distribution<double> gap(load.m_perSecond);
    std::vector<boost::fibers::fiber> fibers;
    const TimePoint start = Clock::now();
    Duration next{};
    for (size_t i = 0; next < RunLength; ++i) {
        next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
        if (!sleepFor(thread.context(), std::max<Duration>(start + next - Clock::now(), {})))
            break;
        fibers.emplace_back([&store, &result, i] {
            const std::string key = randomToken();
            const TimePoint begin = Clock::now();
            const auto claim = store.claim({ CustomerId("c"), key, "body", AttemptId(key) });
            const std::chrono::duration<double, std::milli> took = Clock::now() - begin;
            result.m_millis.push_back(took.count());
            if (claim.m_outcome != ClaimOutcome::Claimed)
                return;
            ++result.m_claimed;
            (void)store.record({ CustomerId("c"), key, AttemptId(key) }, "200",
                               Clock::now() + Seconds(5));
        });
    }
    for (auto &fiber : fibers)
        fiber.join();
    while (!store.idle())
        boost::this_fiber::yield();
    result.m_counters = store.counters();
    return result;
}

void printRow(const ClaimLoad &load, ClaimLoadResult result)
{
    const double seconds = std::chrono::duration<double>(RunLength).count();
    std::sort(result.m_millis.begin(), result.m_millis.end());
    const size_t count = result.m_millis.size();
    std::printf("| %.0f | %zu | %lld | %.0f | %.0f | %.0f | %.1f | %.1f |\n", load.m_perSecond,
                load.m_buckets, static_cast<long long>(load.m_batchWindow.count()),
                double(result.m_claimed) / seconds,
                double(result.m_counters.m_headWrites) / seconds,
                double(result.m_counters.m_segmentWrites) / seconds, result.m_millis[count / 2],
                result.m_millis[count * 99 / 100]);
}

TEST(ClaimBench, DISABLED_WritesPerSecondAgainstClaimsPerSecond)
{
    standin::Hosted<standin::PlatformStandin> platform;
    FiberThread thread("claims");
    thread.start();
    std::printf("| offered/s | buckets | window ms | claimed/s | head writes/s | "
                "segments/s "
                "| claim p50 ms | claim p99 ms |\n");
    runOn(thread, [&] {
        StoreSettings settings;
        settings.m_addresses = { platform.address() };
        settings.m_readsPerSecond = settings.m_writesPerSecond = 1e6;
        settings.m_burst = 1e6;
        StoreClient client(thread.context(), settings, RandomEngine(1));
        for (const double rate : { 10.0, 100.0, 1000.0 }) {
            for (const size_t buckets : { size_t(4), size_t(16), size_t(64) }) {
                for (const Millis window : { Millis(20), Millis(50), Millis(100) }) {
                    const ClaimLoad load{ rate, buckets, window };
                    printRow(load, runLoad(thread, client, load));
                    std::fflush(stdout);
                    const auto remaining = client.list("claims");
                    for (const auto &object : remaining->m_objects)
                        (void)client.remove(object.m_key, std::nullopt);
                }
            }
        }
    });
    thread.stop();
    thread.join();
}

} // namespace
} // namespace stackquay
