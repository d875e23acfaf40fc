/// The one message of the membership protocol, as sent in a datagram.
#pragma once

#include "peers/member.h"

namespace stackquay {

enum class MembershipKind : uint8_t {
    Ping = 0,
    Ack = 1,
    ProbeRequest = 2, ///< Asks the receiver to ping m_target for the sender.
    SyncRequest = 3, ///< Asks for a page of members whose ids follow m_cursor.
    SyncPage = 4,
};

struct MembershipMessage {
    MembershipKind m_kind = MembershipKind::Ping;
    uint32_t m_group = 0; ///< Hash of the data centre; messages with another one are dropped.
    uint32_t m_sequence = 0; ///< Chosen by the requester; the reply repeats it.
    VmId m_sender;
    uint64_t m_incarnation = 0;
    uint32_t m_refutation = 0;
    VmState m_state = VmState::Live;
    uint64_t m_intentRevision = 0; ///< In force at the sender.
    uint64_t m_digest = 0; ///< Hash of the sender's members; equal if the members are.
    /// Ping and ProbeRequest: the VM to probe. Ack: the VM that answered, if not the sender.
    VmId m_target;
    Address m_targetUdp; ///< ProbeRequest: the target's UDP address.
    /// SyncRequest: start after this id. SyncPage: last id of the page, empty on the last page.
    VmId m_cursor;
    std::vector<VmInfo> m_members;
    std::vector<EndpointNotice> m_notices;

    MSGPACK_DEFINE(m_kind, m_group, m_sequence, m_sender, m_incarnation, m_refutation, m_state,
                   m_intentRevision, m_digest, m_target, m_targetUdp, m_cursor, m_members,
                   m_notices)
};

/// Maximum size of an encoded message, so that no datagram is fragmented.
constexpr size_t MaxDatagramBytes = 1200;

struct OutgoingMessage {
    Address m_to;
    MembershipMessage m_message;
};

using Outbox = std::vector<OutgoingMessage>;

} // namespace stackquay

MSGPACK_ADD_ENUM(stackquay::MembershipKind)
