#include "net/process_stats.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace stackquay {

namespace {

constexpr uint64_t BytesPerKibibyte = 1024;
// Fields of /proc/PID/stat after the name in brackets, counted from 0.
constexpr size_t UserTicksField = 11;
constexpr size_t SystemTicksField = 12;

struct StatLine {
    std::string m_name;
    Millis m_cpuTime{ 0 };
};

Millis ticksToMillis(uint64_t ticks)
{
    static const auto ticksPerSecond = static_cast<uint64_t>(sysconf(_SC_CLK_TCK));
    return Millis(ticks * 1000 / ticksPerSecond);
}

Result<StatLine> readStat(const std::string &path)
{
    std::ifstream stream(path);
    std::string line;
    std::getline(stream, line);
    // The name may itself hold spaces and brackets.
    const size_t begin = line.find('(');
    const size_t end = line.rfind(')');
    if (begin == std::string::npos || end == std::string::npos)
        return makeError(ErrorCode::Unavailable, path + ": cannot be read");
    std::istringstream fields(line.substr(end + 1));
    std::vector<std::string> words;
    for (std::string word; fields >> word;)
        words.push_back(word);
    if (words.size() <= SystemTicksField)
        return makeError(ErrorCode::Unavailable, path + ": too few fields");
    const auto ticks = [&words](size_t field) {
        uint64_t value = 0;
        std::from_chars(words[field].data(), words[field].data() + words[field].size(), value);
        return value;
    };
    return StatLine{ line.substr(begin + 1, end - begin - 1),
                     ticksToMillis(ticks(UserTicksField) + ticks(SystemTicksField)) };
}

/// Reads VmRSS and VmHWM, in KiB.
Status readMemory(ProcessStats &stats)
{
    std::ifstream stream("/proc/self/status");
    for (std::string line; std::getline(stream, line);) {
        std::istringstream words(line);
        std::string name;
        uint64_t kibibytes = 0;
        words >> name >> kibibytes;
        if (name == "VmRSS:")
            stats.m_residentBytes = kibibytes * BytesPerKibibyte;
        if (name == "VmHWM:")
            stats.m_peakResidentBytes = kibibytes * BytesPerKibibyte;
    }
    if (stats.m_residentBytes == 0)
        return makeError(ErrorCode::Unavailable, "/proc/self/status: cannot be read");
    return {};
}

void readThreads(ProcessStats &stats)
{
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/task", error)) {
        const auto stat = readStat(entry.path().string() + "/stat");
        if (!stat)
            continue; // It has just ended.
        const int id = std::atoi(entry.path().filename().c_str());
        stats.m_threads.push_back({ id, stat->m_name, stat->m_cpuTime });
    }
    std::sort(stats.m_threads.begin(), stats.m_threads.end(),
              [](const ThreadStats &a, const ThreadStats &b) { return a.m_id < b.m_id; });
}

} // namespace

Result<ProcessStats> readProcessStats()
{
    ProcessStats stats;
    const auto process = readStat("/proc/self/stat");
    if (!process)
        return tl::unexpected(process.error());
    stats.m_cpuTime = process->m_cpuTime;
    const Status memory = readMemory(stats);
    if (!memory)
        return tl::unexpected(memory.error());
    readThreads(stats);
    return stats;
}

void exportProcessStats(MetricsRegistry &registry)
{
    Gauge &resident = registry.gauge("process_resident_memory_bytes", "Resident memory.");
    Gauge &peak =
        registry.gauge("process_resident_memory_peak_bytes", "Highest resident memory so far.");
    Gauge &cpu = registry.gauge("process_cpu_seconds", "CPU time, user and system.");
    registry.onCollect([&registry, &resident, &peak, &cpu] {
        const auto stats = readProcessStats();
        if (!stats)
            return;
        resident.set(static_cast<double>(stats->m_residentBytes));
        peak.set(static_cast<double>(stats->m_peakResidentBytes));
        cpu.set(std::chrono::duration<double>(stats->m_cpuTime).count());
        for (const ThreadStats &thread : stats->m_threads) {
            registry
                .gauge("stackquay_thread_cpu_seconds", "CPU time of a thread, user and system.",
                       { { "thread", thread.m_name }, { "id", std::to_string(thread.m_id) } })
                .set(std::chrono::duration<double>(thread.m_cpuTime).count());
        }
    });
}

} // namespace stackquay
