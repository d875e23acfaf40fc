/// Starts real programs for the integration tests.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

#include "core/core.h"

namespace stackquay {

struct ProcessOptions {
    std::string m_program; ///< A path, or a name in STACKQUAY_BIN_DIR.
    std::vector<std::string> m_arguments;
    std::vector<std::string> m_environment; ///< "NAME=VALUE", beside this process's own.
    std::string m_errorFile; ///< Takes standard error; empty: this process's own.
};

/// How a process ended.
struct ProcessExit {
    int m_status = 0; ///< Of a process that ended itself.
    int m_signal = 0; ///< That ended it, or 0.
};

/// A child process. Its destructor kills it and waits for its end. Thread-safe.
class Process
{
public:
    static Result<std::unique_ptr<Process>> start(const ProcessOptions &options);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Waits for a line `ready KEY=VALUE ...` on standard output that has @p key; its value.
    Result<std::string> awaitReady(const std::string &key, Duration timeout = Seconds(60));
    /// Waits for a line of standard output that begins with @p prefix.
    Result<std::string> awaitLine(const std::string &prefix, Duration timeout = Seconds(60));
    /// All lines of standard output so far.
    std::vector<std::string> lines() const;
    /// Sends a signal, unless the process has ended.
    void signal(int number);
    /// Sends SIGSTOP, and waits until all threads have stopped: on a busy machine they run on for
    /// some milliseconds. False if they have not.
    bool pause(Duration timeout = Seconds(10));
    Result<ProcessExit> awaitExit(Duration timeout = Seconds(60));
    pid_t pid() const { return m_pid; }

private:
    Process(pid_t pid, int output);
    void readOutput();
    void waitForEnd();

    pid_t m_pid;
    int m_output;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_lines;
    bool m_outputEnded = false;
    std::optional<ProcessExit> m_exit;
    std::thread m_reader;
    std::thread m_waiter;
};

/// The KEY=VALUE pairs of a line `ready KEY=VALUE ...`; empty for other lines.
std::map<std::string, std::string> readyValues(const std::string &line);

} // namespace stackquay
