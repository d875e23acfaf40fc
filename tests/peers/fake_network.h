/// Membership states connected by a simulated network; its time and randomness are seeded.
#pragma once

#include <functional>
#include <set>

#include "peers/peers.h"

namespace stackquay {

class FakeNetwork
{
public:
    struct Node {
        std::unique_ptr<MembershipState> m_state;
        bool m_running = true;
        uint64_t m_bytesOut = 0;
        uint64_t m_messagesOut = 0;
    };

    explicit FakeNetwork(uint64_t seed)
        : m_random(seed)
    { }

    static Address addressOf(uint16_t index) { return { "10.0.0.1", uint16_t(1000 + index) }; }

    /// Adds a VM at the address of @p index; its seeds are the first two addresses.
    void add(uint16_t index, const std::string &id, uint64_t incarnation = 1)
    {
        VmInfo self;
        self.m_id = VmId(id);
        self.m_incarnation = incarnation;
        self.m_dataCentre = DataCentreId("dc");
        self.m_udp = addressOf(index);
        Node &node = m_nodes[self.m_udp];
        node.m_state =
            std::make_unique<MembershipState>(self, MembershipOptions(), m_random(), m_now);
        node.m_state->setSeeds({ addressOf(0), addressOf(1) });
        node.m_running = true;
    }

    void addMany(uint16_t count)
    {
        for (uint16_t index = 0; index < count; ++index)
            add(index, nameOf(index));
    }

    static std::string nameOf(uint16_t index) { return "vm-" + std::to_string(100 + index); }
    Node &node(uint16_t index) { return m_nodes.at(addressOf(index)); }
    MembershipState &state(uint16_t index) { return *node(index).m_state; }

    void run(Duration duration)
    {
        const TimePoint end = m_now + duration;
        for (; m_now < end; m_now += Step) {
            deliver();
            for (auto &[address, node] : m_nodes) {
                if (node.m_running)
                    send(address, node.m_state->tick(m_now));
            }
        }
    }

    /// Runs until @p condition holds; false if it does not within @p limit.
    bool runUntil(Duration limit, const std::function<bool()> &condition)
    {
        const TimePoint end = m_now + limit;
        while (m_now < end) {
            if (condition())
                return true;
            run(Step);
        }
        return condition();
    }

    void send(const Address &from, const Outbox &outbox)
    {
        for (const OutgoingMessage &outgoing : outbox) {
            const std::string bytes = encodeMessage(outgoing.m_message);
            m_maxMessageBytes = std::max(m_maxMessageBytes, bytes.size());
            Node &node = m_nodes[from];
            node.m_bytesOut += bytes.size();
            ++node.m_messagesOut;
            if (m_lost && m_lost(from, outgoing.m_to))
                continue;
            const size_t copies = m_duplicate && m_random() % 4 == 0 ? 2 : 1;
            for (size_t copy = 0; copy < copies; ++copy)
                m_queue.emplace(m_now + Millis(1 + m_random() % m_delayMillis),
                                Queued{ from, outgoing.m_to, bytes });
        }
    }

    /// State of @p id as seen by the VM at @p observer; none if it does not know @p id.
    std::optional<VmState> seen(uint16_t observer, const std::string &id)
    {
        const Member *member = state(observer).table().find(VmId(id));
        return member ? std::optional(member->m_info.m_state) : std::nullopt;
    }

    /// Whether each running VM lists exactly the running VMs, each in state @p expected.
    bool agree(VmState expected = VmState::Live)
    {
        size_t running = 0;
        for (const auto &[address, node] : m_nodes)
            running += node.m_running;
        for (const auto &[address, node] : m_nodes) {
            if (!node.m_running)
                continue;
            const MemberList list = node.m_state->list();
            if (list.m_vms.size() != running)
                return false;
            for (const VmInfo &vm : list.m_vms) {
                const Node &there = m_nodes.at(vm.m_udp);
                const VmInfo &self = there.m_state->table().self();
                const bool same = vm.m_id == self.m_id && vm.m_incarnation == self.m_incarnation;
                if (vm.m_state != expected || !there.m_running || !same)
                    return false;
            }
        }
        return true;
    }

    TimePoint m_now{ Seconds(1'000) };
    std::map<Address, Node> m_nodes;
    std::function<bool(const Address &from, const Address &to)> m_lost;
    bool m_duplicate = false;
    uint64_t m_delayMillis = 5;
    size_t m_maxMessageBytes = 0;

private:
    static constexpr Millis Step{ 10 };
    struct Queued {
        Address m_from;
        Address m_to;
        std::string m_bytes;
    };

    void deliver()
    {
        while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
            const Queued queued = m_queue.extract(m_queue.begin()).mapped();
            const auto to = m_nodes.find(queued.m_to);
            if (to == m_nodes.end() || !to->second.m_running)
                continue;
            const auto message = decodeMessage<MembershipMessage>(queued.m_bytes);
            if (message)
                send(queued.m_to, to->second.m_state->receive(queued.m_from, *message, m_now));
        }
    }

    std::multimap<TimePoint, Queued> m_queue;
    RandomEngine m_random;
};

} // namespace stackquay
