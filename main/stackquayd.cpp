// stackquayd: the daemon of every entry VM.

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include "control/control.h"
#include "platform/platform.h"
#include "relay/relay.h"

using namespace stackquay;

namespace {

/// A settings file that changes without a signal is noticed after this.
constexpr Seconds ConfigPoll{ 1 };

/// Signals are taken by one thread, so that no handler runs inside other code.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// The settings in the file, or nothing after naming all that is wrong with them.
std::optional<RelaySettings> readConfig(const std::string &path, const std::string &text)
{
    auto settings = platform::decodeSettings(text);
    if (settings)
        return *settings;
    for (const SettingProblem &problem : settings.error()) {
        std::fprintf(stderr, "stackquayd: %s: %s\n", path.c_str(), toString(problem).c_str());
        DecisionLine("settings", "value not accepted").text("problem", toString(problem)).write();
    }
    return std::nullopt;
}

/// Reloads the settings file when it changes; a bad one is named and the old one stays.
class ConfigWatch
{
public:
    ConfigWatch(RelayDaemon &daemon, std::string path, std::string text)
        : m_daemon(daemon)
        , m_path(std::move(path))
        , m_text(std::move(text))
    { }

    void check()
    {
        std::string text = readFile(m_path);
        if (text == m_text)
            return;
        m_text = std::move(text);
        const auto settings = readConfig(m_path, m_text);
        if (settings)
            m_daemon.reload(*settings);
        DecisionLine("settings", settings ? "reloaded" : "kept the old settings").write();
    }

private:
    RelayDaemon &m_daemon;
    const std::string m_path;
    std::string m_text;
};

/// Takes signals, and looks at the settings file in between. Never returns.
void serveSignals(const sigset_t &signals, RelayDaemon &daemon, ConfigWatch &config)
{
    const timespec poll{ ConfigPoll.count(), 0 };
    for (;;) {
        const int signal = sigtimedwait(&signals, nullptr, &poll);
        if (signal == SIGTERM || signal == SIGINT)
            daemon.drain();
        else
            config.check();
    }
}

/// Nothing is kept on this VM: the process may end with its threads.
[[noreturn]] void endProcess(int status)
{
    std::fflush(stdout);
    std::quick_exit(status);
}

int runRelay(const DaemonSettings &settings)
{
    std::string text = readFile(settings.m_config);
    const auto config = readConfig(settings.m_config, text);
    if (!config)
        return ExitUsage;
    if (settings.m_checkConfig) {
        std::printf("%s: accepted\n", settings.m_config.c_str());
        return 0;
    }
    const sigset_t signals = blockSignals();
    openDecisionLog();
    auto daemon = RelayDaemon::start(
        *config, { platform::relayDialect(), platform::kindDialect(), platform::relaySource() });
    if (!daemon) {
        DecisionLine("main", "cannot start").text("error", daemon.error().m_message).write();
        closeDecisionLog();
        return 1;
    }
    ConfigWatch watch(**daemon, settings.m_config, std::move(text));
    std::thread([&] { serveSignals(signals, **daemon, watch); }).detach();
    (*daemon)->wait();
    closeDecisionLog();
    // All requests have ended. The threads run until the process is gone, and use the daemon.
    endProcess(0);
}

int runNative(const DaemonSettings &settings)
{
    const sigset_t signals = blockSignals();
    auto daemon = Daemon::start(settings);
    if (!daemon) {
        log(LogPart::Main).critical("Cannot start. error={}", daemon.error().m_message);
        return 1;
    }
    std::printf("ready address=%s udp=%s\n", toString((*daemon)->httpAddress()).c_str(),
                toString((*daemon)->udpAddress()).c_str());
    std::fflush(stdout);
    std::thread([&signals, &daemon] {
        for (int signal = 0; sigwait(&signals, &signal) == 0;) {
            if (signal != SIGHUP)
                (*daemon)->drain();
        }
    }).detach();
    (*daemon)->wait();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const DaemonSettings settings = parseSettingsOrExit(daemonSettingsTable(), argc, argv);
    const Status levels = setLogLevels(settings.m_logLevel);
    if (!levels) {
        std::fprintf(stderr, "stackquayd: --log-level: %s\n", levels.error().m_message.c_str());
        return ExitUsage;
    }
    setLogFormat(settings.m_logFormat);
    if (settings.m_config.empty() && settings.m_dataCentre.empty()) {
        std::fprintf(stderr,
                     "stackquayd: --data-centre: '' is not accepted; accepted: not empty\n");
        return ExitUsage;
    }
    const int status = settings.m_config.empty() ? runNative(settings) : runRelay(settings);
    endProcess(status);
}
