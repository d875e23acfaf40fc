#include "relay/end_check.h"

namespace stackquay {

namespace {

/// A data centre away a connection takes some ms. Whoever waits holds a broken answer back.
constexpr Millis ProbeTimeout{ 200 };
constexpr Millis ProbePoll{ 2 };
/// All streams of an ended process break within some ms, and it starts again after seconds; one
/// that still listens may be about to end.
constexpr Millis RefusalHolds{ 500 };
constexpr Millis AcceptanceHolds{ 10 };

} // namespace

bool EndCheck::hasEnded(const EndpointRecord &endpoint)
{
    const auto address = parseAddress(endpoint.m_address);
    if (!address)
        return false;
    forgetOld(Clock::now());
    std::shared_ptr<Probe> &known = m_probes[processName(endpoint.m_id, endpoint.m_startedMs)];
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

void EndCheck::forgetOld(TimePoint now)
{
    std::erase_if(m_probes, [now](const auto &entry) {
        const Probe &probe = *entry.second;
        const Millis holds = probe.m_refused ? RefusalHolds : AcceptanceHolds;
        return probe.m_done && now - probe.m_begun > holds;
    });
}

} // namespace stackquay
