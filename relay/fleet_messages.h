/// What the VMs of a deployment tell each other about their beliefs.
#pragma once

#include "net/net.h"
#include "policy/policy.h"

namespace stackquay {

/// What a VM knows, without the content.
struct BeliefSummary {
    uint64_t m_routesVersion = 0; ///< Zero: none.
    bool m_proved = false;
    uint32_t m_proofAgeMs = 0; ///< Of that version, if proved.
    uint64_t m_proofEra = 0; ///< Of the store that proved it.
    uint64_t m_era = 0; ///< The highest of the store that the VM has heard of.
    StorePosition m_directory; ///< Not known: none.
    bool m_directorySure = false; ///< Nothing in that directory is in doubt.
    StorePosition m_sure; ///< The last one at which nothing was in doubt.
    bool m_reachesStore = true; ///< As far as the VM has tried lately.

    MSGPACK_DEFINE(m_routesVersion, m_proved, m_proofAgeMs, m_proofEra, m_era, m_directory,
                   m_directorySure, m_sure, m_reachesStore)
};

/// Sent to each peer by UDP some times a second, and when there are news.
struct Beat {
    VmId m_vm;
    DataCentreId m_dataCentre;
    uint64_t m_origin = 0; ///< One process of the VM.
    uint64_t m_sentUs = 0; ///< By the sender's steady clock, which starts anywhere.
    Address m_calls; ///< TCP.
    Address m_loads; ///< UDP.
    BeliefSummary m_beliefs;
    bool m_onDuty = false; ///< Follows the store for others.
    bool m_leaving = false; ///< Drains: takes no duty, and still serves for some seconds.
    bool m_gone = false; ///< The last beat of this process.
    bool m_answer = false; ///< Sent only because the receiver had greeted.
    bool m_asksLoads = false; ///< The sender does not know what the receiver has in flight.
    uint32_t m_fleetVms = 0; ///< The most VMs that the sender has found registered.

    MSGPACK_DEFINE(m_vm, m_dataCentre, m_origin, m_sentUs, m_calls, m_loads, m_beliefs, m_onDuty,
                   m_leaving, m_gone, m_answer, m_asksLoads, m_fleetVms)
};

/// A peer's routes and endpoints, with how old its proof of them is.
struct Beliefs {
    BeliefSummary m_summary;
    std::string m_routesSpec; ///< As packText() makes it; empty if the asker's version is as high.
    bool m_hasEndpoints = false; ///< False: the endpoints tell the asker nothing.
    std::vector<EndpointRecord> m_endpoints;
    std::vector<EndpointId> m_doubtful; ///< Of these.
    std::vector<EndpointId> m_unreadable; ///< Not of these.
    bool m_whole = false; ///< No living endpoint is missing.
    std::vector<SuspectNews> m_condemned; ///< A VM that starts knows them before it is ready.

    MSGPACK_DEFINE(m_summary, m_routesSpec, m_hasEndpoints, m_endpoints, m_doubtful, m_unreadable,
                   m_whole, m_condemned)
};

struct AskBeliefs {
    using Reply = Beliefs;
    static constexpr std::string_view RpcName = "beliefs";

    uint64_t m_routesVersion = 0; ///< That the asker has.
    StorePosition m_directory;
    bool m_inDoubt = false; ///< Asks for the endpoints in any case.

    MSGPACK_DEFINE(m_routesVersion, m_directory, m_inDoubt)
};

} // namespace stackquay
