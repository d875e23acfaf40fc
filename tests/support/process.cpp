#include "process.h"

#include <algorithm>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stackquay {

namespace {

constexpr Millis StopPoll{ 1 };

constexpr int ErrorFileMode = 0644;

std::string programPath(const std::string &program)
{
    return program.find('/') == std::string::npos ? STACKQUAY_BIN_DIR "/" + program : program;
}

std::vector<char *> pointersTo(std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    for (std::string &text : texts)
        pointers.push_back(text.data());
    pointers.push_back(nullptr);
    return pointers;
}

std::vector<std::string> wholeEnvironment(const std::vector<std::string> &added)
{
    std::vector<std::string> all = added;
    for (char **entry = environ; *entry; ++entry)
        all.emplace_back(*entry);
    return all;
}

/// Redirections and a clean signal state of the child.
class SpawnSetup
{
public:
    SpawnSetup(int output, const std::string &errorFile)
    {
        posix_spawn_file_actions_init(&m_actions);
        posix_spawn_file_actions_adddup2(&m_actions, output, STDOUT_FILENO);
        if (!errorFile.empty())
            posix_spawn_file_actions_addopen(&m_actions, STDERR_FILENO, errorFile.c_str(),
                                             O_WRONLY | O_CREAT | O_APPEND, ErrorFileMode);
        // Asio's sockets are inherited otherwise: a listener or a connection that this process
        // closes would live on in the child, and take connections that nobody serves.
        posix_spawn_file_actions_addclosefrom_np(&m_actions, STDERR_FILENO + 1);
        posix_spawnattr_init(&m_attributes);
        sigset_t none;
        sigemptyset(&none);
        posix_spawnattr_setsigmask(&m_attributes, &none);
        posix_spawnattr_setflags(&m_attributes, POSIX_SPAWN_SETSIGMASK);
    }

    ~SpawnSetup()
    {
        posix_spawn_file_actions_destroy(&m_actions);
        posix_spawnattr_destroy(&m_attributes);
    }

    SpawnSetup(const SpawnSetup &) = delete;
    SpawnSetup &operator=(const SpawnSetup &) = delete;

    const posix_spawn_file_actions_t *actions() const { return &m_actions; }
    const posix_spawnattr_t *attributes() const { return &m_attributes; }

private:
    posix_spawn_file_actions_t m_actions{};
    posix_spawnattr_t m_attributes{};
};

} // namespace

std::map<std::string, std::string> readyValues(const std::string &line)
{
    std::istringstream words(line);
    std::string word;
    std::map<std::string, std::string> values;
    if (!(words >> word) || word != "ready")
        return values;
    while (words >> word) {
        const size_t equals = word.find('=');
        if (equals != std::string::npos)
            values[word.substr(0, equals)] = word.substr(equals + 1);
    }
    return values;
}

Result<std::unique_ptr<Process>> Process::start(const ProcessOptions &options)
{
    int pipe[2] = {};
    if (pipe2(pipe, O_CLOEXEC) != 0)
        return makeError(ErrorCode::Internal, std::strerror(errno));
    std::vector<std::string> arguments{ programPath(options.m_program) };
    arguments.insert(arguments.end(), options.m_arguments.begin(), options.m_arguments.end());
    std::vector<std::string> environment = wholeEnvironment(options.m_environment);
    const SpawnSetup setup(pipe[1], options.m_errorFile);
    pid_t pid = 0;
    const int error = posix_spawn(&pid, arguments[0].c_str(), setup.actions(), setup.attributes(),
                                  pointersTo(arguments).data(), pointersTo(environment).data());
    close(pipe[1]);
    if (error == 0)
        return std::unique_ptr<Process>(new Process(pid, pipe[0]));
    close(pipe[0]);
    return makeError(ErrorCode::NotFound,
                     fmt::format("cannot start {}: {}", arguments[0], std::strerror(error)));
}

Process::Process(pid_t pid, int output)
    : m_pid(pid)
    , m_output(output)
    , m_reader([this] { readOutput(); })
    , m_waiter([this] { waitForEnd(); })
{ }

Process::~Process()
{
    signal(SIGKILL);
    m_waiter.join();
    m_reader.join();
    close(m_output);
}

void Process::readOutput()
{
    std::string rest;
    char buffer[4096];
    ssize_t size = 0;
    while ((size = read(m_output, buffer, sizeof buffer)) > 0) {
        rest.append(buffer, static_cast<size_t>(size));
        const std::lock_guard lock(m_mutex);
        for (size_t end = rest.find('\n'); end != std::string::npos; end = rest.find('\n')) {
            m_lines.push_back(rest.substr(0, end));
            rest.erase(0, end + 1);
        }
        m_changed.notify_all();
    }
    const std::lock_guard lock(m_mutex);
    m_outputEnded = true;
    m_changed.notify_all();
}

void Process::waitForEnd()
{
    // Left as a zombie until its end is recorded, so that no signal reaches a reused id.
    siginfo_t info{};
    while (waitid(P_PID, static_cast<id_t>(m_pid), &info, WEXITED | WNOWAIT) != 0 && errno == EINTR)
        ;
    const std::lock_guard lock(m_mutex);
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_exit = ProcessExit{ WIFEXITED(status) ? WEXITSTATUS(status) : 0,
                          WIFSIGNALED(status) ? WTERMSIG(status) : 0 };
    m_changed.notify_all();
}

Result<std::string> Process::awaitReady(const std::string &key, Duration timeout)
{
    std::unique_lock lock(m_mutex);
    std::optional<std::string> value;
    const auto found = [&] {
        for (const std::string &line : m_lines) {
            const auto values = readyValues(line);
            const auto entry = values.find(key);
            if (entry != values.end())
                value = entry->second;
        }
        return value || m_outputEnded;
    };
    if (!m_changed.wait_for(lock, timeout, found))
        return makeError(ErrorCode::DeadlineExceeded, "no ready line with " + key);
    if (!value)
        return makeError(ErrorCode::Unavailable, "the process ended without a ready line");
    return *value;
}

Result<std::string> Process::awaitLine(const std::string &prefix, Duration timeout)
{
    std::unique_lock lock(m_mutex);
    std::optional<std::string> match;
    const auto found = [&] {
        for (const std::string &line : m_lines) {
            if (!match && line.starts_with(prefix))
                match = line;
        }
        return match || m_outputEnded;
    };
    if (!m_changed.wait_for(lock, timeout, found))
        return makeError(ErrorCode::DeadlineExceeded, "no line that begins with " + prefix);
    if (!match)
        return makeError(ErrorCode::Unavailable, "the output ended without " + prefix);
    return *match;
}

std::vector<std::string> Process::lines() const
{
    const std::lock_guard lock(m_mutex);
    return m_lines;
}

bool Process::pause(Duration timeout)
{
    signal(SIGSTOP);
    const auto stopped = [](const std::filesystem::directory_entry &task) {
        std::ifstream stat(task.path() / "stat");
        const std::string text{ std::istreambuf_iterator<char>(stat), {} };
        // The state follows the name, which is in brackets and may hold any character.
        const size_t name = text.rfind(')');
        return name == std::string::npos || text.compare(name, 3, ") T") == 0;
    };
    const std::string tasks = fmt::format("/proc/{}/task", m_pid);
    const TimePoint until = Clock::now() + timeout;
    do {
        std::error_code error;
        const std::filesystem::directory_iterator entries(tasks, error);
        if (!error && std::all_of(begin(entries), end(entries), stopped))
            return true;
        std::this_thread::sleep_for(StopPoll);
    } while (Clock::now() < until);
    return false;
}

void Process::signal(int number)
{
    const std::lock_guard lock(m_mutex);
    if (!m_exit)
        kill(m_pid, number);
}

Result<ProcessExit> Process::awaitExit(Duration timeout)
{
    std::unique_lock lock(m_mutex);
    if (!m_changed.wait_for(lock, timeout, [this] { return m_exit.has_value(); }))
        return makeError(ErrorCode::DeadlineExceeded, "the process is still running");
    return *m_exit;
}

} // namespace stackquay
