#include <csignal>
#include <future>

#include <gtest/gtest.h>
#include <unistd.h>

#include "net/net.h"

namespace stackquay {
namespace {

const ThreadStats *findThread(const ProcessStats &stats, const std::string &name)
{
    for (const ThreadStats &thread : stats.m_threads) {
        if (thread.m_name == name)
            return &thread;
    }
    return nullptr;
}

TEST(ProcessStats, CountsTheWorkOfEachThread)
{
    FiberThread worker("worker (one)");
    worker.start();
    std::promise<ProcessStats> promise;
    worker.post([&promise] {
        // Works until the system has counted it.
        while (true) {
            const auto stats = readProcessStats();
            ASSERT_TRUE(stats) << toString(stats.error());
            const ThreadStats *self = findThread(*stats, "worker (one)");
            ASSERT_NE(self, nullptr);
            if (self->m_cpuTime < Millis(30))
                continue;
            promise.set_value(*stats);
            return;
        }
    });
    const ProcessStats stats = promise.get_future().get();
    EXPECT_GE(stats.m_cpuTime, Millis(30));
    EXPECT_GE(stats.m_threads.size(), 2u);
    EXPECT_GT(stats.m_residentBytes, 1'000'000u);
    EXPECT_GE(stats.m_peakResidentBytes, stats.m_residentBytes);
}

TEST(ProcessStats, AreInTheExposition)
{
    MetricsRegistry registry;
    exportProcessStats(registry);
    const std::string text = registry.exposition();
    EXPECT_NE(text.find("\nprocess_resident_memory_bytes "), std::string::npos);
    EXPECT_EQ(text.find("\nprocess_resident_memory_bytes 0\n"), std::string::npos);
    EXPECT_NE(text.find("\nstackquay_thread_cpu_seconds{id="), std::string::npos);
}

TEST(TerminationSignals, CountsEachSignalOnTheThread)
{
    FiberThread thread("control");
    std::promise<std::thread::id> first;
    std::promise<std::thread::id> second;
    const TerminationSignals signals(thread, [&](unsigned count) {
        (count == 1 ? first : second).set_value(std::this_thread::get_id());
    });
    kill(getpid(), SIGTERM);
    thread.start();
    const std::thread::id on = first.get_future().get();
    kill(getpid(), SIGINT);
    EXPECT_EQ(second.get_future().get(), on);
    EXPECT_NE(on, std::this_thread::get_id());
    thread.stop();
    thread.join();
}

} // namespace
} // namespace stackquay
