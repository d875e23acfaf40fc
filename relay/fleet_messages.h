/// Messages between the VMs of a deployment about the configuration and endpoints that they hold.
#pragma once

#include "net/net.h"
#include "policy/policy.h"

namespace stackquay {

/// Versions and freshness of the state that a VM holds, without the content.
struct StateSummary {
    uint64_t m_routesVersion = 0; ///< Zero: none.
    bool m_proved = false;
    uint32_t m_proofAgeMs = 0; ///< Age of the freshness proof for that version, if proved.
    uint64_t m_proofEra = 0; ///< Store era of the proof.
    uint64_t m_era = 0; ///< The highest store era known to the VM.
    StorePosition m_directory; ///< Position of the endpoint directory; unknown if the VM has none.
    bool m_directoryConfirmed = false; ///< No endpoint in the directory is unconfirmed.
    /// The last directory position at which no endpoint was unconfirmed.
    StorePosition m_lastConfirmed;
    bool m_reachesStore = true; ///< Whether recent calls to the store succeeded.
    StorePosition m_evacuations; ///< Position of the list of evacuated data centres.
    bool m_directoryProved = false;
    /// Age of the proof that m_directory and m_evacuations are current, if proved.
    uint32_t m_directoryAgeMs = 0;

    MSGPACK_DEFINE(m_routesVersion, m_proved, m_proofAgeMs, m_proofEra, m_era, m_directory,
                   m_directoryConfirmed, m_lastConfirmed, m_reachesStore, m_evacuations,
                   m_directoryProved, m_directoryAgeMs)
};

/// The proofs of a summary that arrived at @p now, @p delay at most after it was written.
FreshnessProof routesProofOf(const StateSummary &summary, Duration delay, TimePoint now);
DirectoryProof directoryProofOf(const StateSummary &summary, Duration delay, TimePoint now);

/// Sent to each peer by UDP periodically, and after changes.
struct Heartbeat {
    VmId m_vm;
    DataCentreId m_dataCentre;
    uint64_t m_origin = 0; ///< Identifies one process of the VM.
    uint64_t m_sentUs = 0; ///< Sender's steady clock, which has an arbitrary origin.
    Address m_rpcAddress; ///< RPC address (TCP).
    Address m_loads; ///< Address for load messages (UDP).
    StateSummary m_stateSummary;
    bool m_watchesStore = false; ///< The sender watches the store for its data centre.
    /// The sender drains: it watches no store, and still serves for some seconds.
    bool m_draining = false;
    bool m_gone = false; ///< The last heartbeat of this process.
    bool m_isReply = false; ///< Sent only in reply to a heartbeat of the receiver.
    bool m_requestsLoads = false; ///< Asks the receiver for the requests that it has in flight.
    uint32_t m_fleetVms = 0; ///< The highest number of registered VMs that the sender has found.
    uint32_t m_millicores = 1'000; ///< Thousandths of a core that the platform grants the sender.
    Address m_forward; ///< Address for requests that other VMs forward (TCP).
    bool m_isolated = false; ///< The sender reaches no endpoint.

    MSGPACK_DEFINE(m_vm, m_dataCentre, m_origin, m_sentUs, m_rpcAddress, m_loads, m_stateSummary,
                   m_watchesStore, m_draining, m_gone, m_isReply, m_requestsLoads, m_fleetVms,
                   m_millicores, m_forward, m_isolated)
};

/// A peer's routes and endpoints, with the age of its freshness proof.
struct StateSnapshot {
    StateSummary m_summary;
    /// Encoded by packText(); empty if the caller's version is not older.
    std::string m_routesSpec;
    /// False: the endpoints are omitted, because the caller's directory is not older.
    bool m_hasEndpoints = false;
    std::vector<EndpointRecord> m_endpoints;
    /// If known, m_endpoints holds only what changed since this position, the caller's.
    StorePosition m_changesFrom;
    std::vector<EndpointId> m_removed; ///< Endpoints that have gone since m_changesFrom.
    uint64_t m_digest = 0; ///< digestOf() all endpoints, if m_changesFrom is known.
    std::vector<EndpointId> m_unconfirmed; ///< Those of m_endpoints that are unconfirmed.
    /// Endpoints whose entries cannot be decoded; not in m_endpoints.
    std::vector<EndpointId> m_unreadable;
    bool m_complete = false; ///< The list is complete.
    /// Cold endpoints of m_endpoints, and how much longer they are cold, in milliseconds.
    std::vector<std::pair<EndpointId, uint32_t>> m_cold;
    /// Empty if the caller's list is not older: see StateSummary::m_evacuations.
    std::vector<DataCentreId> m_evacuated;
    std::vector<SuspectReport> m_quarantined; ///< A new VM needs these before it becomes ready.
    std::vector<PartReport> m_quarantinedParts; ///< The same.

    MSGPACK_DEFINE(m_summary, m_routesSpec, m_hasEndpoints, m_endpoints, m_unconfirmed,
                   m_unreadable, m_complete, m_quarantined, m_cold, m_evacuated, m_changesFrom,
                   m_removed, m_digest, m_quarantinedParts)
};

struct StateRequest {
    using Reply = StateSnapshot;
    static constexpr std::string_view RpcName = "beliefs";

    uint64_t m_routesVersion = 0; ///< The caller's version.
    StorePosition m_directory;
    /// The caller has unconfirmed endpoints, or could not apply the changes that it received, and
    /// requests all endpoints in any case.
    bool m_inDoubt = false;
    StorePosition m_evacuations;

    MSGPACK_DEFINE(m_routesVersion, m_directory, m_inDoubt, m_evacuations)
};

} // namespace stackquay
