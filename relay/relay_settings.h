/// Settings of a daemon that relays declared routes, as decoded from a platform's settings file.
#pragma once

#include "net/net.h"

namespace stackquay {

/// What the users promise or ask in figures; may change while the daemon runs.
struct RelayBounds {
    bool m_strictKeys = true; ///< A key that was taken away must stop working in time.
    Millis m_revoke{ 5'000 }; ///< That time, from the store's acknowledgement.
    double m_retryRatio = 0.1;
    double m_retrySlack = 10;
    Seconds m_retryWindow{ 10 };
    Seconds m_grace{ 8 }; ///< From SIGTERM to SIGKILL.
    Millis m_contact{ 3'000 }; ///< So long after a disturbance all has to be as before.
    Millis m_longestHold{ 20'000 }; ///< Of reserved memory.
    Millis m_freeMemory{ 4'000 }; ///< Memory must be free so long after its last use.

    bool operator==(const RelayBounds &) const = default;
};

/// Bytes that nobody acknowledges for so long: their connection is dead. With the 200 ms before the
/// system counts, and the way to a new connection, service is back within a third of the time in
/// which it must be: 750 ms where that is 3 s.
inline Millis silenceBound(const RelayBounds &bounds)
{
    constexpr int Share = 4;
    return bounds.m_contact / Share;
}

struct RelaySettings {
    VmId m_vm;
    DataCentreId m_dataCentre;
    Address m_clients; ///< Where clients' connections arrive.
    Address m_ready; ///< Where the balancer asks for readiness; metrics are there too.
    Address m_peerCalls; ///< TCP, between VMs.
    Address m_beats; ///< UDP, between VMs.
    Address m_loads; ///< UDP, between VMs.
    Address m_store;
    uint32_t m_connections = 1'000; ///< Clients' connections at once.
    RelayBounds m_bounds;
};

} // namespace stackquay
