/// SWIM-like membership as a state machine without I/O: messages and time in, messages out.
///
/// Each VM probes a few others a second in shuffled order. If a probe fails, it asks other VMs to
/// probe indirectly before it suspects the target, and the suspect may refute. Changes are
/// piggybacked on probes a bounded number of times; VMs whose digests stay different pull each
/// other's whole list in pages. The cost per VM does not depend on the number of VMs.
#pragma once

#include "peers/member_table.h"
#include "peers/membership_message.h"
#include "peers/rumors.h"

namespace stackquay {

struct MembershipOptions {
    Millis m_probePeriod{ 333 };
    Millis m_probeTimeout{ 400 }; ///< After this, other VMs probe indirectly.
    /// After this time since the first probe, the target is suspect.
    Millis m_indirectTimeout{ 1'200 };
    size_t m_indirectProbes = 2;
    /// Time to refute with ten VMs or fewer; grows with the logarithm of their number.
    Millis m_suspicion{ 2'000 };
    Seconds m_deadRetention{ 7'200 };
    Seconds m_noticeRetention{ 600 };
    Millis m_syncPeriod{ 15'000 }; ///< Minimum interval between pulls of the whole list.
    Millis m_settleTime{ 3'000 }; ///< No pull while the last change is younger than this.
    /// If tick() was not called for longer, this VM was paused: open probes are discarded and
    /// suspicions extended.
    Millis m_pauseThreshold{ 1'000 };
    Millis m_pushPeriod{ 500 }; ///< Minimum interval between pushes of changes outside the round.
    size_t m_pushFanout = 2;
    size_t m_probesPerReconnect = 10; ///< Every n-th probe goes to a seed or a dead VM.
    /// Bounds the control traffic while many VMs change at once; a VM sends twelve messages a
    /// second.
    size_t m_piggybackBytes = 170;
};

class MembershipState
{
public:
    MembershipState(VmInfo self, MembershipOptions options, uint64_t seed, TimePoint now);

    /// Advances timers; returns the messages to send. Call several times per probe period.
    Outbox tick(TimePoint now);
    /// Handles a message; returns the messages to send. @p from is the datagram's source address.
    Outbox receive(const Address &from, const MembershipMessage &message, TimePoint now);

    /// UDP addresses of VMs that may be members: from the platform's list and the settings.
    void setSeeds(std::vector<Address> seeds) { m_seeds = std::move(seeds); }
    /// Marks a VM as leaving, as reported by the platform's list or by itself. Ignores unknown VMs.
    Outbox markLeaving(const VmId &id, TimePoint now);
    /// Sets the revision in force on this VM; lower ones are ignored.
    Outbox setIntentRevision(uint64_t revision, TimePoint now);
    Outbox addNotice(const EndpointNotice &notice, TimePoint now);

    const MemberTable &table() const { return m_table; }
    /// Value of m_group in the messages of this data centre.
    uint32_t group() const { return m_group; }
    MemberList list() const;

private:
    struct Probe {
        VmId m_target;
        TimePoint m_sent;
        bool m_indirect = false;
    };
    /// A ping sent on behalf of another VM.
    struct ForwardedPing {
        Address m_requester;
        uint32_t m_sequence = 0;
        TimePoint m_sent;
    };

    MembershipMessage newMessage(MembershipKind kind) const;
    void send(Outbox &outbox, const Address &to, MembershipMessage message);
    /// Appends the entry of @p id if it is suspect or dead, so that the VM can refute it.
    void appendAccusation(MembershipMessage &message, const VmId &id) const;
    void ping(Outbox &outbox, const VmInfo &target, TimePoint now);
    void push(Outbox &outbox, TimePoint now);

    void handlePause(TimePoint now);
    void checkProbes(Outbox &outbox, TimePoint now);
    /// Marks a VM as suspect and pings it with that entry, so that it can refute.
    void suspectAndPing(Outbox &outbox, const VmId &id, TimePoint now);
    void checkSuspects(TimePoint now);
    void probeNext(Outbox &outbox, TimePoint now);
    bool reconnect(Outbox &outbox);
    std::vector<Address> reconnectAddresses() const;
    std::optional<VmId> nextTarget();
    std::vector<VmInfo> randomOthers(size_t count, const VmId &except);

    void mergeSender(const Address &from, const MembershipMessage &message, TimePoint now);
    void mergeReports(const MembershipMessage &message, TimePoint now);
    void handleAck(Outbox &outbox, const MembershipMessage &message);
    void sendAck(Outbox &outbox, const Address &from, const MembershipMessage &message);
    void forwardPing(Outbox &outbox, const Address &from, const MembershipMessage &message,
                     TimePoint now);
    void sendSyncPage(Outbox &outbox, const Address &from, const MembershipMessage &message);
    void handleSyncPage(Outbox &outbox, const Address &from, const MembershipMessage &message);
    void pullIfDifferent(Outbox &outbox, const Address &from, const MembershipMessage &message,
                         TimePoint now);
    void requestSyncPage(Outbox &outbox, const Address &from, const VmId &cursor);

    void recordChange(const VmId &id, TimePoint now);
    Duration suspicion() const;
    uint32_t transmissionLimit() const;

    MembershipOptions m_options;
    MemberTable m_table;
    Rumors m_rumors;
    RandomEngine m_random;
    uint32_t m_group;
    std::vector<Address> m_seeds;
    std::vector<VmId> m_round; ///< Remaining probe targets of this round, next one last.
    std::map<uint32_t, Probe> m_probes;
    std::map<uint32_t, ForwardedPing> m_forwardedPings;
    uint32_t m_lastSequence = 0;
    size_t m_probeCount = 0;
    TimePoint m_lastTick;
    TimePoint m_nextProbe;
    TimePoint m_nextPush;
    TimePoint m_nextSync;
    TimePoint m_lastChange; ///< Last change of the members.
    bool m_pushPending = false;
    uint32_t m_syncSequence = 0; ///< Sequence number of the pull in progress; 0 if none.
};

} // namespace stackquay
