/// SWIM-like membership as a pure state machine: messages and time in, messages out.
///
/// Each VM probes a few others a second in a shuffled round, asks others to probe for it before it
/// suspects, and lets the suspect refute. Changes ride on the probes for a bounded number of times;
/// VMs whose digests stay different pull each other's whole list in pages. The cost of a VM does
/// not depend on their number.
#pragma once

#include "peers/member_table.h"
#include "peers/membership_message.h"
#include "peers/rumors.h"

namespace stackquay {

struct MembershipOptions {
    Millis m_probePeriod{ 333 };
    Millis m_probeTimeout{ 400 }; ///< Then others are asked.
    Millis m_indirectTimeout{ 1'200 }; ///< Since the first probe; then the target is suspect.
    size_t m_indirectProbes = 2;
    /// Time to refute with ten VMs or fewer; grows with the logarithm of their number.
    Millis m_suspicion{ 2'000 };
    Seconds m_forgetDead{ 7'200 };
    Seconds m_forgetNotice{ 600 };
    Millis m_syncPeriod{ 15'000 }; ///< At most one pull of the whole list in this time.
    Millis m_settle{ 3'000 }; ///< Differences younger than this are left to the probes.
    /// Longer without tick(): this VM was paused, and blames nobody for it.
    Millis m_pause{ 1'000 };
    Millis m_pushPeriod{ 500 }; ///< At most one push of news outside the round in this time.
    size_t m_pushFanout = 2;
    size_t m_reconnectEvery = 10; ///< Each such probe goes to a seed or a dead VM.
    /// Bounds the control bytes while many VMs change at once: twelve messages a second.
    size_t m_piggybackBytes = 170;
};

class MembershipState
{
public:
    MembershipState(VmInfo self, MembershipOptions options, uint64_t seed, TimePoint now);

    /// To be called several times a probe period.
    Outbox tick(TimePoint now);
    /// @p from is the sender's UDP address as the network gave it.
    Outbox receive(const Address &from, const MembershipMessage &message, TimePoint now);

    /// UDP addresses of VMs that may be members: from the platform's list and the settings.
    void setSeeds(std::vector<Address> seeds) { m_seeds = std::move(seeds); }
    /// The platform's list, or the VM itself, says that it leaves. Unknown VMs are ignored.
    Outbox markLeaving(const VmId &id, TimePoint now);
    /// The revision in force here; lower ones are ignored.
    Outbox setIntentRevision(uint64_t revision, TimePoint now);
    Outbox addNotice(const EndpointNotice &notice, TimePoint now);

    const MemberTable &table() const { return m_table; }
    /// What the messages of this data centre carry in m_group.
    uint32_t group() const { return m_group; }
    MemberList list() const;

private:
    struct Probe {
        VmId m_target;
        TimePoint m_sent;
        bool m_indirect = false;
    };
    /// A ping sent for another VM.
    struct Relay {
        Address m_asker;
        uint32_t m_sequence = 0;
        TimePoint m_sent;
    };

    MembershipMessage newMessage(MembershipKind kind) const;
    void send(Outbox &outbox, const Address &to, MembershipMessage message);
    /// Appends what is known of @p id if it has to refute it.
    void accuse(MembershipMessage &message, const VmId &id) const;
    void ping(Outbox &outbox, const VmInfo &target, TimePoint now);
    void push(Outbox &outbox, TimePoint now);

    void noticePause(TimePoint now);
    void checkProbes(Outbox &outbox, TimePoint now);
    /// Suspects a VM, and tells it so that it may refute.
    void giveLastChance(Outbox &outbox, const VmId &id, TimePoint now);
    void checkSuspects(TimePoint now);
    void probeNext(Outbox &outbox, TimePoint now);
    bool reconnect(Outbox &outbox);
    std::vector<Address> reconnectAddresses() const;
    std::optional<VmId> nextTarget();
    std::vector<VmInfo> randomOthers(size_t count, const VmId &except);

    void takeSender(const Address &from, const MembershipMessage &message, TimePoint now);
    void takeNews(const MembershipMessage &message, TimePoint now);
    void takeAck(Outbox &outbox, const MembershipMessage &message);
    void answerPing(Outbox &outbox, const Address &from, const MembershipMessage &message);
    void probeFor(Outbox &outbox, const Address &from, const MembershipMessage &message,
                  TimePoint now);
    void sendPage(Outbox &outbox, const Address &from, const MembershipMessage &message);
    void takePage(Outbox &outbox, const Address &from, const MembershipMessage &message);
    void pullIfDifferent(Outbox &outbox, const Address &from, const MembershipMessage &message,
                         TimePoint now);
    void requestPage(Outbox &outbox, const Address &from, const VmId &cursor);

    void learned(const VmId &id, TimePoint now);
    Duration suspicion() const;
    uint32_t tellingLimit() const;

    MembershipOptions m_options;
    MemberTable m_table;
    Rumors m_rumors;
    RandomEngine m_random;
    uint32_t m_group;
    std::vector<Address> m_seeds;
    std::vector<VmId> m_round; ///< Targets left of this round, next one last.
    std::map<uint32_t, Probe> m_probes;
    std::map<uint32_t, Relay> m_relays;
    uint32_t m_lastSequence = 0;
    size_t m_probeCount = 0;
    TimePoint m_lastTick;
    TimePoint m_nextProbe;
    TimePoint m_nextPush;
    TimePoint m_nextSync;
    TimePoint m_lastChange; ///< Of the members.
    bool m_pushWanted = false;
    uint32_t m_syncSequence = 0; ///< Of the pull under way; 0 if none.
};

} // namespace stackquay
