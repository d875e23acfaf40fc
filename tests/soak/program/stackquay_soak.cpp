// stackquay-soak: runs real daemons under faults drawn from a seed, and judges what was seen.

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <fmt/format.h>

#include "tests/soak/fleet.h"
#include "tests/soak/judge.h"

using namespace stackquay;
using namespace stackquay::soak;

namespace {

constexpr int ExitViolation = 1;
constexpr int ExitBadFlags = 2;
constexpr int ExitNotRun = 3;
constexpr Millis Tick{ 10 };

enum class Mode {
    Platform,
    Native,
};

struct SoakSettings {
    uint64_t m_seed = 1;
    uint64_t m_seeds = 1;
    int64_t m_seconds = 45;
    uint64_t m_vms = 3;
    Mode m_mode = Mode::Platform;
    Profile m_profile = Profile::Usual;
    std::string m_logs = "soak-logs";
    std::string m_daemon = "stackquayd";
};

SettingsTable<SoakSettings> settingsTable()
{
    constexpr int64_t MostSeconds = 3'600;
    constexpr uint64_t MostVms = 16;
    constexpr uint64_t MostSeeds = 10'000;
    SettingsTable<SoakSettings> table("stackquay-soak",
                                      "Runs daemons under faults and judges what was seen.");
    table.integer("seed", &SoakSettings::m_seed, { 0, INT64_MAX }, "", "Seed of the first run.");
    table.integer("seeds", &SoakSettings::m_seeds, { 1, MostSeeds }, "runs",
                  "Runs, with one seed after the other.");
    table.integer("seconds", &SoakSettings::m_seconds,
                  { std::chrono::duration_cast<Seconds>(ShortestRun).count(), MostSeconds },
                  "seconds", "Length of each run; the last 15 s are without faults.");
    table.integer("vms", &SoakSettings::m_vms, { 2, MostVms }, "daemons", "Daemons of a run.");
    table.choice("mode", &SoakSettings::m_mode,
                 std::vector<SettingsTable<SoakSettings>::Choice<Mode>>{
                     { "platform", Mode::Platform }, { "native", Mode::Native } },
                 "What the daemons are started as.");
    table.choice("profile", &SoakSettings::m_profile,
                 std::vector<SettingsTable<SoakSettings>::Choice<Profile>>{
                     { "usual", Profile::Usual }, { "attempts", Profile::Attempts } },
                 "Which faults are drawn; attempts: also those of single attempts.");
    table.text("logs", &SoakSettings::m_logs, "Directory for what a violation keeps.");
    table.text("daemon", &SoakSettings::m_daemon,
               "Path of another daemon than the one built beside, such as an older one.");
    return table;
}

/// Signals to end are taken between two ticks, so that the daemons are ended on the way out.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&signals, signal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Waits for a tick; false if this process was told to end.
bool waitTick(const sigset_t &signals)
{
    const timespec wait{ 0, std::chrono::nanoseconds(Tick).count() };
    return sigtimedwait(&signals, nullptr, &wait) < 0;
}

enum class Outcome {
    Clean,
    Violated,
    NotRun,
    Interrupted,
};

class SoakRun
{
public:
    SoakRun(const Schedule &schedule, std::string directory, const std::string &daemon,
            const sigset_t &signals)
        : m_schedule(schedule)
        , m_directory(std::move(directory))
        , m_signals(signals)
        , m_fleet(schedule, m_directory, daemon)
    { }

    Outcome run()
    {
        const Status started = m_fleet.start();
        if (!started) {
            std::fprintf(stderr, "stackquay-soak: %s\n", started.error().m_message.c_str());
            return Outcome::NotRun;
        }
        TrafficSource traffic(m_schedule, m_fleet.doors());
        traffic.setKeys({ "key-0", "" });
        traffic.watchReadiness();
        const Outcome ready = awaitReady(traffic);
        if (ready != Outcome::Clean)
            return ready;
        m_begun = Clock::now();
        m_fleet.begin(m_begun);
        traffic.start(m_begun);
        if (!disturb(traffic) || !windUp(traffic))
            return Outcome::Interrupted;
        return report(traffic);
    }

private:
    Millis now() const { return std::chrono::duration_cast<Millis>(Clock::now() - m_begun); }

    Outcome awaitReady(const TrafficSource &traffic)
    {
        constexpr Seconds Patience{ 20 };
        const TimePoint until = Clock::now() + Patience;
        while (!traffic.allReady()) {
            if (!waitTick(m_signals))
                return Outcome::Interrupted;
            if (Clock::now() >= until) {
                std::fprintf(stderr, "stackquay-soak: the daemons are not ready after %d s\n",
                             static_cast<int>(Patience.count()));
                return Outcome::NotRun;
            }
        }
        return Outcome::Clean;
    }

    bool disturb(TrafficSource &traffic)
    {
        size_t next = 0;
        const auto &faults = m_schedule.m_faults;
        while (now() < m_schedule.m_length) {
            for (; next < faults.size() && faults[next].m_at <= now(); ++next)
                m_fleet.apply(faults[next], traffic);
            if (now() >= m_schedule.m_calmFrom)
                traffic.stopLong();
            m_fleet.tick();
            if (!waitTick(m_signals))
                return false;
        }
        return true;
    }

    bool windUp(TrafficSource &traffic)
    {
        constexpr Seconds LongestRequest{ 21 };
        traffic.finish(LongestRequest);
        m_end = now();
        m_fleet.endAll();
        while (!m_fleet.allEnded()) {
            m_fleet.tick();
            if (!waitTick(m_signals))
                return false;
        }
        return true;
    }

    Outcome report(TrafficSource &traffic)
    {
        Observations seen;
        seen.m_requests = traffic.takeRequests();
        m_fleet.report(seen);
        seen.m_calmFrom = m_schedule.m_calmFrom;
        seen.m_end = m_end;
        seen.m_memoryUnusedFrom = m_schedule.m_calmFrom;
        for (const SentRequest &request : seen.m_requests) {
            if (request.m_traffic == Traffic::Long)
                seen.m_memoryUnusedFrom = std::max(seen.m_memoryUnusedFrom, request.m_ended);
        }
        const std::vector<Violation> violations = judge(seen);
        std::string text;
        for (const Violation &violation : violations)
            text += soak::toString(violation) + "\n";
        std::fputs(text.c_str(), stdout);
        const size_t whole = std::count_if(
            seen.m_requests.begin(), seen.m_requests.end(),
            [](const SentRequest &one) { return one.m_whole && one.m_status == 200; });
        std::printf("soak: served=%zu runs=%zu versions=%zu exits=%zu memory_samples=%zu\n", whole,
                    seen.m_runs.size(), seen.m_versions.size(), seen.m_exits.size(),
                    seen.m_memory.size());
        std::printf("soak: seed=%llu requests=%zu faults=%zu violations=%zu\n",
                    static_cast<unsigned long long>(m_schedule.m_seed), seen.m_requests.size(),
                    m_schedule.m_faults.size(), violations.size());
        std::fflush(stdout);
        std::ofstream(m_directory + "/violations.txt") << text;
        return violations.empty() ? Outcome::Clean : Outcome::Violated;
    }

    const Schedule m_schedule;
    const std::string m_directory;
    const sigset_t m_signals;
    Fleet m_fleet;
    TimePoint m_begun;
    Millis m_end{ 0 };
};

Outcome runSeed(const SoakSettings &settings, uint64_t seed, const sigset_t &signals)
{
    const Schedule schedule =
        drawSchedule(seed, Seconds(settings.m_seconds), settings.m_vms, settings.m_profile);
    const std::string text = soak::toString(schedule);
    std::fputs(text.c_str(), stdout);
    std::fflush(stdout);
    const std::string directory = fmt::format("{}/seed-{}-{}", settings.m_logs, seed, getpid());
    std::error_code failed;
    std::filesystem::create_directories(directory, failed);
    if (failed) {
        std::fprintf(stderr, "stackquay-soak: --logs: cannot make %s: %s\n", directory.c_str(),
                     failed.message().c_str());
        return Outcome::NotRun;
    }
    std::ofstream(directory + "/schedule.txt") << text;
    const Outcome outcome = SoakRun(schedule, directory, settings.m_daemon, signals).run();
    if (outcome == Outcome::Clean)
        std::filesystem::remove_all(directory, failed);
    else
        std::fprintf(stderr, "stackquay-soak: schedule and logs are in %s\n", directory.c_str());
    return outcome;
}

} // namespace

int main(int argc, char **argv)
{
    const SoakSettings settings = parseSettingsOrExit(settingsTable(), argc, argv);
    if (settings.m_mode == Mode::Native) {
        std::fprintf(stderr, "stackquay-soak: --mode: native is not built yet\n");
        return ExitBadFlags;
    }
    const sigset_t signals = blockSignals();
    bool violated = false;
    for (uint64_t i = 0; i < settings.m_seeds; ++i) {
        const Outcome outcome = runSeed(settings, settings.m_seed + i, signals);
        if (outcome == Outcome::NotRun || outcome == Outcome::Interrupted)
            return ExitNotRun;
        violated = violated || outcome == Outcome::Violated;
    }
    return violated ? ExitViolation : 0;
}
