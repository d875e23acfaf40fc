/// A daemon as a process of its own, whose memory and descriptors are watched.
#pragma once

#include <atomic>
#include <thread>

#include "tests/support/process.h"

namespace stackquay::misuse {

/// Kills the process once its memory exceeds a limit, long before the machine's is used up.
class WatchedProcess
{
public:
    WatchedProcess(std::unique_ptr<Process> process, size_t killAboveBytes);
    ~WatchedProcess();
    WatchedProcess(const WatchedProcess &) = delete;
    WatchedProcess &operator=(const WatchedProcess &) = delete;

    Process &process() { return *m_process; }
    bool isAlive();
    /// The most resident memory that the process ever had, as the system counts it.
    size_t peakBytes() const { return m_peakBytes; }
    size_t descriptors() const { return m_descriptors; }
    size_t mostDescriptors() const { return m_mostDescriptors; }

    /// Bytes that have arrived on its connections and were not read, of those accepted at @p port.
    static size_t unreadBytes(uint16_t port);

private:
    void watch();
    void sample();

    std::unique_ptr<Process> m_process;
    const size_t m_killAboveBytes;
    std::atomic<size_t> m_peakBytes{ 0 };
    std::atomic<size_t> m_descriptors{ 0 };
    std::atomic<size_t> m_mostDescriptors{ 0 };
    std::atomic<bool> m_over{ false };
    std::thread m_thread;
};

} // namespace stackquay::misuse
