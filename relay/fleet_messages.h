/// What the VMs of a deployment tell each other about their beliefs.
#pragma once

#include "net/net.h"
#include "policy/policy.h"

namespace stackquay {

/// Sent to each peer by UDP some times a second.
struct Beat {
    VmId m_vm;
    uint64_t m_origin = 0; ///< One process of the VM.
    Address m_calls; ///< TCP.
    Address m_loads; ///< UDP.
    uint64_t m_routesVersion = 0; ///< Zero: none.
    uint32_t m_proofAgeMs = 0; ///< Of that version; meaningless without one.
    uint64_t m_directoryRevision = 0;
    bool m_leaving = false;
    bool m_answer = false; ///< Sent only because the receiver had greeted.

    MSGPACK_DEFINE(m_vm, m_origin, m_calls, m_loads, m_routesVersion, m_proofAgeMs,
                   m_directoryRevision, m_leaving, m_answer)
};

/// A peer's routes and endpoints, with how old its proof of them is.
struct Beliefs {
    std::string m_routesSpec; ///< Empty if the asker's version is as high.
    uint64_t m_routesVersion = 0;
    uint32_t m_proofAgeMs = 0;
    bool m_proved = false;
    uint64_t m_directoryRevision = 0;
    std::vector<EndpointRecord> m_endpoints; ///< Empty if the asker's revision is as high.

    MSGPACK_DEFINE(m_routesSpec, m_routesVersion, m_proofAgeMs, m_proved, m_directoryRevision,
                   m_endpoints)
};

struct AskBeliefs {
    using Reply = Beliefs;
    static constexpr std::string_view RpcName = "beliefs";

    uint64_t m_routesVersion = 0; ///< That the asker has.
    uint64_t m_directoryRevision = 0;

    MSGPACK_DEFINE(m_routesVersion, m_directoryRevision)
};

} // namespace stackquay
