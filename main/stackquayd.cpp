// stackquayd: the daemon of every entry VM.

#include <csignal>
#include <cstdio>
#include <thread>

#include "control/control.h"

using namespace stackquay;

namespace {

/// Signals are taken by one thread with sigwait, so that no handler runs inside other code.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

} // namespace

int main(int argc, char **argv)
{
    const DaemonSettings settings = parseSettingsOrExit(daemonSettingsTable(), argc, argv);
    const Status levels = setLogLevels(settings.m_logLevel);
    if (!levels) {
        std::fprintf(stderr, "stackquayd: --log-level: %s\n", levels.error().m_message.c_str());
        return 2;
    }
    setLogFormat(settings.m_logFormat);
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
        for (int signal = 0; sigwait(&signals, &signal) == 0;)
            (*daemon)->drain();
    }).detach();
    (*daemon)->wait();
    // Nothing is kept on this VM: the process may end with its threads.
    std::fflush(stdout);
    std::quick_exit(0);
}
