#include "standin/program.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <optional>

#include <fmt/format.h>

#include "standin/flags.h"
#include "standin/platform_standin.h"

namespace stackquay {

namespace {

constexpr int BadUsage = 2;

struct Subcommand {
    const char *m_name;
    const char *m_summary;
    int (*m_run)(int argc, char **argv);
};

/// Blocks the ending signals in every thread, so that waitForSignal() gets them.
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

void waitForSignal(const sigset_t &signals)
{
    int received = 0;
    sigwait(&signals, &received);
}

void printReady(std::string_view what, const Address &address)
{
    std::puts(fmt::format("ready {}={}", what, toString(address)).c_str());
    std::fflush(stdout);
}

/// The flags that every subcommand has, and its own.
std::optional<Address> parseAll(int argc, char **argv, std::vector<Flag> flags)
{
    std::string listen = "127.0.0.1:0";
    bool help = false;
    flags.push_back(textFlag("listen",
                             "Address a.b.c.d:port; port 0 from the kernel "
                             "(default 127.0.0.1:0).",
                             listen));
    flags.push_back(switchFlag("help", "Prints this.", help));
    const Status parsed = parseFlags(argc, argv, flags);
    if (!parsed || help) {
        if (!parsed)
            std::fprintf(stderr, "%s\n", parsed.error().m_message.c_str());
        std::fprintf(stderr, "flags of %s:\n%s", argv[0], flagsHelp(flags).c_str());
        return std::nullopt;
    }
    const auto address = parseAddress(listen);
    if (!address) {
        std::fprintf(stderr, "--listen: %s\n", address.error().m_message.c_str());
        return std::nullopt;
    }
    return *address;
}

/// Serves until a signal comes.
template<typename Standin, typename Settings>
int serve(const Settings &settings, const Address &address)
{
    const sigset_t signals = blockSignals();
    FiberThread thread("standin");
    Standin standin(thread, settings);
    const auto bound = standin.listen(address);
    if (!bound) {
        std::fprintf(stderr, "%s\n", toString(bound.error()).c_str());
        return EXIT_FAILURE;
    }
    thread.start();
    printReady("address", *bound);
    waitForSignal(signals);
    thread.stop();
    thread.join();
    return EXIT_SUCCESS;
}

int runPlatform(int argc, char **argv)
{
    PlatformSettings settings;
    const auto address =
        parseAll(argc, argv,
                 { realFlag("reads-per-second", "Read rate; 0 is no limit (default 0).",
                            settings.m_readsPerSecond),
                   realFlag("writes-per-second", "Write rate; 0 is no limit (default 0).",
                            settings.m_writesPerSecond),
                   millisFlag("vms-lag-ms", "Lag of the VM list in milliseconds (default 0).",
                              settings.m_vmsLag),
                   sizeFlag("changes-kept", "Changes kept for watches (default 4096).",
                            settings.m_changesKept) });
    if (!address)
        return BadUsage;
    return serve<PlatformStandin>(settings, *address);
}

constexpr std::array Subcommands{
    Subcommand{ "platform", "object service and VM list", runPlatform },
};

int printUsage()
{
    std::fprintf(stderr, "usage: stackquay-standin SUBCOMMAND [flags]; --help lists the flags\n");
    for (const Subcommand &subcommand : Subcommands)
        std::fprintf(stderr, "  %s: %s\n", subcommand.m_name, subcommand.m_summary);
    return BadUsage;
}

} // namespace

int runStandinProgram(int argc, char **argv)
{
    if (argc < 2)
        return printUsage();
    for (const Subcommand &subcommand : Subcommands) {
        if (std::strcmp(subcommand.m_name, argv[1]) == 0)
            return subcommand.m_run(argc - 1, argv + 1);
    }
    return printUsage();
}

} // namespace stackquay
