#include "tests/misuse/watched_process.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace stackquay::misuse {

namespace {

constexpr Millis SamplePeriod{ 5 };
constexpr size_t Kibibyte = 1024;

/// The largest resident memory so far; zero once the process has ended.
size_t readPeakBytes(pid_t process)
{
    std::ifstream status(fmt::format("/proc/{}/status", process));
    for (std::string line; std::getline(status, line);) {
        std::istringstream words(line);
        std::string name;
        size_t kibibytes = 0;
        if (words >> name >> kibibytes && name == "VmHWM:")
            return kibibytes * Kibibyte;
    }
    return 0;
}

size_t countDescriptors(pid_t process)
{
    std::error_code error;
    const std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", process), error);
    return error ? 0 : static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace

WatchedProcess::WatchedProcess(std::unique_ptr<Process> process, size_t killAboveBytes)
    : m_process(std::move(process))
    , m_killAboveBytes(killAboveBytes)
    , m_thread([this] { watch(); })
{ }

WatchedProcess::~WatchedProcess()
{
    m_over = true;
    m_thread.join();
}

bool WatchedProcess::isAlive()
{
    return !m_process->awaitExit(Duration::zero());
}

size_t WatchedProcess::unreadBytes(uint16_t port)
{
    // Lines such as "0: 0100007F:1F90 0100007F:C350 01 00000000:0000A000 ...".
    std::ifstream connections("/proc/net/tcp");
    const std::string local = fmt::format(":{:04X}", port);
    size_t unread = 0;
    for (std::string line; std::getline(connections, line);) {
        std::istringstream words(line);
        std::string number;
        std::string from;
        std::string to;
        std::string state;
        std::string queues;
        words >> number >> from >> to >> state >> queues;
        constexpr const char *Listening = "0A";
        const size_t colon = queues.find(':');
        if (from.ends_with(local) && state != Listening && colon != std::string::npos)
            unread += std::stoul(queues.substr(colon + 1), nullptr, 16);
    }
    return unread;
}

void WatchedProcess::watch()
{
    while (!m_over) {
        sample();
        std::this_thread::sleep_for(SamplePeriod);
    }
}

void WatchedProcess::sample()
{
    m_peakBytes = std::max<size_t>(m_peakBytes, readPeakBytes(m_process->pid()));
    m_descriptors = countDescriptors(m_process->pid());
    m_mostDescriptors = std::max<size_t>(m_mostDescriptors, m_descriptors);
    if (m_peakBytes > m_killAboveBytes)
        m_process->signal(SIGKILL);
}

} // namespace stackquay::misuse
