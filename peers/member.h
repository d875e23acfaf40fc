/// What the VMs of a data centre know about each other.
#pragma once

#include <memory>
#include <vector>

#include "net/net.h"

namespace stackquay {

/// In rising order: of two reports about the same process the higher one wins.
enum class VmState : uint8_t {
    Live = 0,
    Suspect = 1, ///< Does not answer, and may still refute it. Counts as serving.
    Leaving = 2, ///< Serves what it has, and takes over nothing new.
    Dead = 3,
};

std::string_view vmStateName(VmState state);

struct VmInfo {
    VmId m_id;
    /// Names one process: its start, in milliseconds of the wall clock. A restarted VM has a higher
    /// one. Fixed while the process lives.
    uint64_t m_incarnation = 0;
    /// Raised by the VM itself to refute a suspicion.
    uint32_t m_refutation = 0;
    DataCentreId m_dataCentre;
    Address m_udp; ///< Probes.
    Address m_peer; ///< Calls between daemons.
    Address m_http; ///< Callers and operators.
    VmState m_state = VmState::Live;
    uint64_t m_intentRevision = 0; ///< In force there, as last heard from the VM itself.

    bool operator==(const VmInfo &) const = default;
    MSGPACK_DEFINE(m_id, m_incarnation, m_refutation, m_dataCentre, m_udp, m_peer, m_http, m_state,
                   m_intentRevision)
};

/// Whether the VM may hold a role: it is live, or not yet known to be dead.
inline bool mayHoldRole(const VmInfo &vm)
{
    return vm.m_state == VmState::Live || vm.m_state == VmState::Suspect;
}

enum class NoticeKind : uint8_t {
    Leaving = 0,
    Unhealthy = 1,
};

/// A fact about an endpoint that every VM has to learn within seconds.
struct EndpointNotice {
    EndpointId m_endpoint;
    NoticeKind m_kind = NoticeKind::Leaving;
    bool m_active = true; ///< False takes the notice back.
    /// The highest version of a kind wins; milliseconds of the wall clock will do.
    uint64_t m_version = 0;

    bool operator==(const EndpointNotice &) const = default;
    MSGPACK_DEFINE(m_endpoint, m_kind, m_active, m_version)
};

/// An immutable picture of the data centre.
struct MemberList {
    uint64_t m_version = 0; ///< Grows with every change.
    VmInfo m_self;
    std::vector<VmInfo> m_vms; ///< All that are not dead, with this one, sorted by id.
    std::vector<EndpointNotice> m_notices;
    uint64_t m_highestRevision = 0; ///< Highest intent revision in force on any VM.

    const VmInfo *find(const VmId &id) const;
    /// VMs that may hold a role.
    std::vector<VmInfo> roleHolders() const;
};

using MemberListPtr = std::shared_ptr<const MemberList>;

} // namespace stackquay

MSGPACK_ADD_ENUM(stackquay::VmState)
MSGPACK_ADD_ENUM(stackquay::NoticeKind)
