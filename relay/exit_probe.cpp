#include "relay/exit_probe.h"

namespace stackquay {

namespace {

/// A connection to another data centre takes a few milliseconds. The caller delays the handling of
/// a broken response meanwhile.
constexpr Millis ProbeTimeout{ 200 };
constexpr Millis ProbePoll{ 2 };
/// Results are cached this long. All streams of an exited process break within milliseconds, and a
/// restart takes seconds; a process that still listens may be about to exit.
constexpr Millis RefusalLifetime{ 500 };
constexpr Millis AcceptanceLifetime{ 10 };

} // namespace

bool ExitProbe::hasExited(const EndpointRecord &endpoint)
{
    const auto address = parseAddress(endpoint.m_address);
    if (!address)
        return false;
    dropExpired(Clock::now());
    std::shared_ptr<Probe> &known = m_probes[processKey(endpoint.m_id, endpoint.m_startedMs)];
    if (known) {
        const std::shared_ptr<Probe> probe = known;
        while (!probe->m_done && sleepFor(m_thread.context(), ProbePoll)) { }
        return probe->m_refused;
    }
    const auto probe = known = std::make_shared<Probe>();
    probe->m_begun = Clock::now();
    HttpConnection connection(m_thread.context());
    const Status connected = connection.connect(*address, ProbeTimeout);
    probe->m_refused = !connected && connection.refused();
    probe->m_done = true;
    return probe->m_refused;
}

void ExitProbe::dropExpired(TimePoint now)
{
    std::erase_if(m_probes, [now](const auto &entry) {
        const Probe &probe = *entry.second;
        const Millis lifetime = probe.m_refused ? RefusalLifetime : AcceptanceLifetime;
        return probe.m_done && now - probe.m_begun > lifetime;
    });
}

} // namespace stackquay
