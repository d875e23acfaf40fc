/// The one message of the membership protocol, as sent in a datagram.
#pragma once

#include "peers/member.h"

namespace stackquay {

enum class MembershipKind : uint8_t {
    Ping = 0,
    Ack = 1,
    ProbeRequest = 2, ///< Asks the receiver to ping m_target for the sender.
    SyncRequest = 3, ///< Asks for the members after m_cursor.
    SyncPage = 4,
};

struct MembershipMessage {
    MembershipKind m_kind = MembershipKind::Ping;
    uint32_t m_group = 0; ///< Hash of the data centre; others' messages are dropped.
    uint32_t m_sequence = 0; ///< Chosen by who asks; the answer repeats it.
    VmId m_sender;
    uint64_t m_incarnation = 0;
    uint32_t m_refutation = 0;
    VmState m_state = VmState::Live;
    uint64_t m_intentRevision = 0; ///< In force at the sender.
    uint64_t m_digest = 0; ///< Of the sender's members; equal ones hold the same.
    /// Ping and ProbeRequest: who is meant. Ack: who answered, if another than the sender.
    VmId m_target;
    Address m_targetUdp; ///< ProbeRequest: where it is.
    /// SyncRequest: members after this id. SyncPage: the last id of the page, empty at the end.
    VmId m_cursor;
    std::vector<VmInfo> m_members;
    std::vector<EndpointNotice> m_notices;

    MSGPACK_DEFINE(m_kind, m_group, m_sequence, m_sender, m_incarnation, m_refutation, m_state,
                   m_intentRevision, m_digest, m_target, m_targetUdp, m_cursor, m_members,
                   m_notices)
};

/// Bound of an encoded message, so that no datagram is fragmented.
constexpr size_t MaxDatagramBytes = 1200;

struct OutgoingMessage {
    Address m_to;
    MembershipMessage m_message;
};

using Outbox = std::vector<OutgoingMessage>;

} // namespace stackquay

MSGPACK_ADD_ENUM(stackquay::MembershipKind)
