/// State that the VMs of a data centre exchange about each other.
#pragma once

#include <memory>
#include <vector>

#include "net/net.h"

namespace stackquay {

/// Ordered by precedence: of two reports with equal incarnation and refutation the higher wins.
enum class VmState : uint8_t {
    Live = 0,
    Suspect = 1, ///< Does not answer probes, but may still refute that. Counts as serving.
    Leaving = 2, ///< Draining: finishes its requests and takes no new roles.
    Dead = 3,
};

std::string_view vmStateName(VmState state);

struct VmInfo {
    VmId m_id;
    /// Identifies one process: its start time in wall clock milliseconds. Higher after a restart,
    /// and normally fixed while the process runs.
    uint64_t m_incarnation = 0;
    /// Counter that the VM itself raises to refute a suspicion.
    uint32_t m_refutation = 0;
    DataCentreId m_dataCentre;
    Address m_udp; ///< Membership datagrams.
    Address m_peer; ///< RPC between daemons.
    Address m_http; ///< Clients and operators.
    VmState m_state = VmState::Live;
    uint64_t m_intentRevision = 0; ///< Revision in force there, as last reported by the VM itself.

    bool operator==(const VmInfo &) const = default;
    MSGPACK_DEFINE(m_id, m_incarnation, m_refutation, m_dataCentre, m_udp, m_peer, m_http, m_state,
                   m_intentRevision)
};

/// Whether the VM may hold a role: it is live or suspect, so neither leaving nor dead.
inline bool mayHoldRole(const VmInfo &vm)
{
    return vm.m_state == VmState::Live || vm.m_state == VmState::Suspect;
}

enum class NoticeKind : uint8_t {
    Leaving = 0,
    Unhealthy = 1,
};

/// Report about an endpoint that has to reach every VM within seconds.
struct EndpointNotice {
    EndpointId m_endpoint;
    NoticeKind m_kind = NoticeKind::Leaving;
    bool m_active = true; ///< False withdraws the notice.
    /// The highest version of a kind wins, for example the wall clock in milliseconds.
    uint64_t m_version = 0;

    bool operator==(const EndpointNotice &) const = default;
    MSGPACK_DEFINE(m_endpoint, m_kind, m_active, m_version)
};

/// Immutable snapshot of the data centre's members.
struct MemberList {
    uint64_t m_version = 0; ///< Grows with every change.
    VmInfo m_self;
    std::vector<VmInfo> m_vms; ///< All VMs that are not dead, including this one, sorted by id.
    std::vector<EndpointNotice> m_notices;
    uint64_t m_highestRevision = 0; ///< Highest intent revision in force on any VM.

    /// Null if @p id is not in m_vms.
    const VmInfo *find(const VmId &id) const;
    /// VMs that may hold a role.
    std::vector<VmInfo> roleHolders() const;
};

using MemberListPtr = std::shared_ptr<const MemberList>;

} // namespace stackquay

MSGPACK_ADD_ENUM(stackquay::VmState)
MSGPACK_ADD_ENUM(stackquay::NoticeKind)
