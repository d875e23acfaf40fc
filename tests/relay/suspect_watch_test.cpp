/// News of a suspect and of its clearing went round a fleet of several cells for seconds.
///
/// Users' callers had left when their requests were sent on: small VMs had spent their processor on
/// hundreds of thousands of messages. One request was at the end of one engine, and completed
/// elsewhere two and a half seconds later. A VM that had cleared it heard the older news from
/// another cell, took it for new and passed it on, and the clearing followed it, and so round.
#include "relay/suspect_watch.h"

#include <map>
#include <random>

#include <gtest/gtest.h>

namespace stackquay {
namespace {

constexpr uint32_t Cells = 4;
constexpr size_t VmsOfACell = 8;
constexpr size_t Vms = Cells * VmsOfACell;
constexpr size_t ContactsInACell = 2;
constexpr size_t OnDutyInACell = 2;
const Fingerprint Suspect{ 1, 1, 2 };

/// Two pieces of news, each passed on once by each VM to its cell and its contacts.
constexpr size_t MostDelivered = 2 * Vms * (VmsOfACell - 1 + (Cells - 1) * ContactsInACell);

/// VMs that tell each other through a network which delays each message by some milliseconds.
class ToldFleet
{
public:
    explicit ToldFleet(uint64_t seed)
        : m_random(seed)
    {
        for (size_t vm = 0; vm < Vms; ++vm)
            m_vms.push_back(std::make_unique<SuspectTracker>(m_thread, hooksOf(vm)));
    }

    SuspectTracker &vm(size_t index) { return *m_vms[index]; }

    /// As the VM that saw an endpoint's process end.
    void tellEnd(size_t vm, uint64_t process)
    {
        LoadMessage message{ LoadChange::Suspected };
        message.m_suspects = { { Suspect, { process }, 0, 0 } };
        message.m_cell = cellOf(vm);
        m_vms[vm]->merge(message.m_suspects);
        tellCell(vm, message);
        tellContacts(vm, message);
    }

    /// Delivers what is due within @p time, or far more than there may be.
    void run(Duration time)
    {
        const TimePoint until = m_now + time;
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= until
               && m_delivered <= 10 * MostDelivered) {
            const auto [vm, message] = m_inFlight.begin()->second;
            m_now = m_inFlight.begin()->first;
            m_inFlight.erase(m_inFlight.begin());
            ++m_delivered;
            m_vms[vm]->receive(message);
        }
        m_now = until;
    }

    bool quiet() const { return m_inFlight.empty(); }
    size_t delivered() const { return m_delivered; }

private:
    static uint32_t cellOf(size_t vm) { return static_cast<uint32_t>(vm / VmsOfACell); }

    SuspectHooks hooksOf(size_t vm)
    {
        SuspectHooks hooks;
        hooks.m_cell = [vm] { return CellView{ cellOf(vm), Cells }; };
        hooks.m_watchesStore = [vm] { return vm % VmsOfACell < OnDutyInACell; };
        hooks.m_sendToCell = [this, vm](const LoadMessage &message) { tellCell(vm, message); };
        hooks.m_sendToOtherCells = [this, vm](const LoadMessage &message) {
            tellContacts(vm, message);
        };
        hooks.m_quarantined = [](const auto &, bool) {};
        return hooks;
    }

    void tellCell(size_t from, const LoadMessage &message)
    {
        for (size_t to = 0; to < Vms; ++to) {
            if (to != from && cellOf(to) == cellOf(from))
                send(to, message);
        }
    }

    void tellContacts(size_t from, const LoadMessage &message)
    {
        for (uint32_t cell = 0; cell < Cells; ++cell) {
            for (size_t i = 0; cell != cellOf(from) && i < ContactsInACell; ++i)
                send(cell * VmsOfACell + (from + i) % VmsOfACell, message);
        }
    }

    void send(size_t to, const LoadMessage &message)
    {
        const Duration travel =
            std::chrono::microseconds(std::uniform_int_distribution<>(300, 6'000)(m_random));
        m_inFlight.emplace(m_now + travel, std::pair(to, message));
    }

    FiberThread m_thread{ "suspects" };
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<SuspectTracker>> m_vms;
    std::multimap<TimePoint, std::pair<size_t, LoadMessage>> m_inFlight;
    TimePoint m_now{ Seconds(1'000) };
    size_t m_delivered = 0;
};

TEST(SuspectTrackerTest, NewsAndClearingOfASuspectComeToRest)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        ToldFleet fleet(seed);
        fleet.tellEnd(0, 7);
        fleet.run(Millis(2 + seed));
        fleet.vm(0).noteCompleted(Suspect);
        fleet.run(Millis(500));
        EXPECT_TRUE(fleet.quiet()) << "seed " << seed;
        EXPECT_LE(fleet.delivered(), MostDelivered) << "seed " << seed;
        for (size_t vm = 0; vm < Vms; ++vm)
            EXPECT_TRUE(fleet.vm(vm).empty()) << "seed " << seed << ", VM " << vm;
    }
}

// VMs of two versions serve side by side while one replaces the other.
TEST(SuspectTrackerTest, ClearingWithoutEndsIsUnderstood)
{
    ToldFleet fleet(1);
    fleet.tellEnd(0, 7);
    fleet.run(Millis(100));
    LoadMessage cleared{ LoadChange::Cleared };
    cleared.m_fingerprints = { Suspect };
    fleet.vm(3).receive(cleared);
    EXPECT_TRUE(fleet.vm(3).empty());
}

// What completed may still end engines later: a new end counts as the first one did.
TEST(SuspectTrackerTest, EndAfterTheClearingIsKnownEverywhere)
{
    ToldFleet fleet(1);
    fleet.tellEnd(0, 7);
    fleet.run(Millis(100));
    fleet.vm(0).noteCompleted(Suspect);
    fleet.run(Millis(500));
    fleet.tellEnd(9, 8);
    fleet.run(Millis(500));
    EXPECT_TRUE(fleet.quiet());
    for (size_t vm = 0; vm < Vms; ++vm)
        EXPECT_FALSE(fleet.vm(vm).empty()) << "VM " << vm;
}

} // namespace
} // namespace stackquay
