/// Settings of a daemon that relays declared routes, as decoded from a platform's settings file.
#pragma once

#include "net/net.h"
#include "policy/send_share.h"

namespace stackquay {

/// Of an answer that is passed on whole; a longer one has to be a stream.
constexpr size_t MaxResponseBytes = 4 * 1024 * 1024;

/// Receive buffer of a client's connection. What waits there unread counts as memory of the VM.
constexpr int ClientReceiveBytes = 16 * 1024;

/// Guarantees and limits that the operator sets; may change while the daemon runs.
struct RelayBounds {
    bool m_strictKeys = true; ///< Reject keys if their revocation cannot be checked in time.
    /// Time until a revoked key stops working, from the store's acknowledgement.
    Millis m_revocationTime{ 5'000 };
    double m_retryRatio = 0.1;
    double m_retrySlack = 10;
    Seconds m_retryWindow{ 10 };
    Seconds m_grace{ 8 }; ///< Time from SIGTERM to SIGKILL.
    /// Time within which service has to recover after a disturbance.
    Millis m_recoveryTime{ 3'000 };
    /// Time from the store's acknowledgement of an evacuation until no more requests are sent to
    /// the data centre; zero: operators do not evacuate any.
    Millis m_evacuationTime{ 0 };
    /// Time from the store's acknowledgement of a configuration until all VMs apply it.
    Millis m_configurationTime{ 2'000 };
    /// Time from the store's acknowledgement that an endpoint drains or is gone until no more
    /// requests are sent to it.
    Millis m_drainTime{ 2'000 };
    ColdLimits m_coldLimits;
    Millis m_maxHold{ 20'000 }; ///< Maximum hold time of a memory reservation.
    /// Time within which memory must be free after its last use.
    Millis m_memoryReleaseTime{ 4'000 };

    bool operator==(const RelayBounds &) const = default;
};

/// Time after which a connection with unacknowledged bytes is considered dead. Together with the
/// 200 ms before the kernel starts to count, and a new connection, service recovers within a third
/// of the allowed time; the result is 750 ms if that is 3 s.
inline Millis silenceTimeout(const RelayBounds &bounds)
{
    constexpr int Share = 4;
    return bounds.m_recoveryTime / Share;
}

/// Time within which all VMs have to know each change in the store.
Duration knowledgeBound(const RelayBounds &bounds);

struct RelaySettings {
    VmId m_vm;
    DataCentreId m_dataCentre;
    Address m_clients; ///< Listening address for clients.
    Address m_ready; ///< Listening address for readiness checks and metrics.
    Address m_peerRpc; ///< RPC between VMs, TCP.
    Address m_heartbeats; ///< Heartbeats between VMs, UDP.
    Address m_loads; ///< Load messages between VMs, UDP.
    Address m_forward; ///< Requests that other VMs forward, TCP.
    Address m_store;
    uint32_t m_millicores = 1'000; ///< Thousandths of a core that the platform grants this VM.
    uint32_t m_connections = 1'000; ///< Maximum number of client connections.
    size_t m_memoryBytes = size_t(1) << 30; ///< The process is killed if it has more.
    RelayBounds m_bounds;
};

/// Memory for what is held for clients beyond what each connection needs at least: bodies, answers
/// and events.
size_t clientMemory(const RelaySettings &settings);

} // namespace stackquay
