#include "standin/program.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <optional>

#include <fmt/format.h>

#include "standin/engine_standin.h"
#include "standin/fault_relay.h"
#include "standin/flags.h"
#include "standin/platform_standin.h"
#include "standin/service_standin.h"

namespace stackquay::standin {

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

void printReady(std::string_view what, const Address &address, std::string_view more = "")
{
    std::puts(fmt::format("ready {}={}{}", what, toString(address), more).c_str());
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

int failToListen(const Error &error)
{
    std::fprintf(stderr, "%s\n", toString(error).c_str());
    return EXIT_FAILURE;
}

/// Serves until a signal comes.
template<typename Standin, typename Settings>
int serve(const Settings &settings, const Address &address)
{
    const sigset_t signals = blockSignals();
    FiberThread thread("standin");
    Standin standin(thread, settings);
    const auto bound = standin.listen(address);
    if (!bound)
        return failToListen(bound.error());
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

std::vector<Flag> batchFlags(EngineLimits &limits)
{
    return {
        sizeFlag("memory-tokens", "KV memory in tokens (default 400000).", limits.m_memoryTokens),
        sizeFlag("max-running", "Streams decoded at once (default 64).", limits.m_maxRunning),
        sizeFlag("max-waiting", "Waiting streams (default 1000).", limits.m_maxWaiting),
        switchFlag("wait-for-memory", "Queues what lacks memory, instead of no_memory.",
                   limits.m_waitForMemory),
        sizeFlag("stop-after", "Answers stop at this length in tokens; 0 is never (default 0).",
                 limits.m_stopAfter),
        sizeFlag("prefill-batch-tokens", "Short prefills that share a step (default 2048).",
                 limits.m_prefillBatchTokens),
        microsFlag("step-base-us", "Time of a step (default 5000).", limits.m_stepBase),
        microsFlag("decode-us", "Time more for each running stream (default 100).",
                   limits.m_decode),
        realFlag("prefill-us-per-token", "Time more for each computed token (default 20).",
                 limits.m_prefillMicrosPerToken),
        realFlag("time-scale", "Factor on all step times; 0 is at once (default 1).",
                 limits.m_timeScale),
    };
}

int runEngine(int argc, char **argv)
{
    EngineSettings settings;
    std::vector<Flag> flags = batchFlags(settings.m_limits);
    flags.push_back(millisFlag("resume-ms", "How long a cut stream can be resumed (default 2000).",
                               settings.m_resume));
    flags.push_back(millisFlag("report-lag-ms", "Lag of /load (default 0).", settings.m_reportLag));
    flags.push_back(
        millisFlag("event-lag-ms", "Lag of /cache/events (default 0).", settings.m_eventLag));
    flags.push_back(sizeFlag("event-gap-every", "Each such cache event is lost (default 0: none).",
                             settings.m_eventGapEvery));
    flags.push_back(sizeFlag("tokens-per-frame", "Tokens of a frame at least (default 1).",
                             settings.m_tokensPerFrame));
    flags.push_back(switchFlag("check-fencing", "Refuses orders with an old fencing number.",
                               settings.m_checkFencing));
    flags.push_back(
        millisFlag("load-ms", "Time to load a model or adapter (default 0).", settings.m_loadTime));
    flags.push_back({ "model",
                      "NAME[:VERSION] loaded at the start; may be repeated; without any, "
                      "every model is served until the first load order.",
                      [&settings](const std::string &name) {
                          settings.m_models.push_back(name);
                          return !name.empty();
                      } });
    const auto address = parseAll(argc, argv, std::move(flags));
    if (!address)
        return BadUsage;
    return serve<EngineStandin>(settings, *address);
}

int runService(int argc, char **argv)
{
    ServiceSettings settings;
    const auto address = parseAll(argc, argv,
                                  { millisFlag("service-ms", "Time to execute a call (default 0).",
                                               settings.m_serviceTime) });
    if (!address)
        return BadUsage;
    return serve<ServiceStandin>(settings, *address);
}

/// A flag that may be repeated and adds an address to @p targets.
Flag targetFlag(std::string name, std::string help, std::vector<Address> &targets)
{
    return { std::move(name), std::move(help), [&targets](const std::string &text) {
                const auto address = parseAddress(text);
                if (address)
                    targets.push_back(*address);
                return address.has_value();
            } };
}

int runFault(int argc, char **argv)
{
    std::vector<Address> targets;
    std::vector<Address> udpTargets;
    const auto admin = parseAll(
        argc, argv,
        { targetFlag("target", "TCP address a.b.c.d:port to relay to; may be repeated.", targets),
          targetFlag("udp-target", "UDP address to relay to; may be repeated.", udpTargets) });
    if (!admin)
        return BadUsage;
    const sigset_t signals = blockSignals();
    FiberThread thread("relay");
    FaultRelay relay(thread);
    const auto add = [&](const Address &target, bool udp) {
        const auto bound = udp ? relay.addUdpTarget(target) : relay.addTarget(target);
        if (bound)
            printReady("address", *bound, " target=" + toString(target));
        return bound;
    };
    for (const Address &target : targets) {
        if (const auto bound = add(target, false); !bound)
            return failToListen(bound.error());
    }
    for (const Address &target : udpTargets) {
        if (const auto bound = add(target, true); !bound)
            return failToListen(bound.error());
    }
    const auto bound = relay.listen(*admin);
    if (!bound)
        return failToListen(bound.error());
    thread.start();
    printReady("admin", *bound);
    waitForSignal(signals);
    thread.stop();
    thread.join();
    return EXIT_SUCCESS;
}

constexpr std::array Subcommands{
    Subcommand{ "platform", "object service and VM list", runPlatform },
    Subcommand{ "engine", "model engine with continuous batching", runEngine },
    Subcommand{ "service", "plain service that counts its executions", runService },
    Subcommand{ "fault", "relay of connections and datagrams that injects faults", runFault },
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

} // namespace stackquay::standin
