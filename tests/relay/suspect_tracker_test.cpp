/// Reports of a suspect and of its clearing must not circulate between cells without end.
///
/// The failure: a request ran when an engine crashed, and completed elsewhere two and a half
/// seconds later. A VM that had cleared the request received the older report from another cell,
/// took it for new and forwarded it, and the clearing followed it around the fleet. Small VMs spent
/// their processor time on hundreds of thousands of messages, so that clients had disconnected
/// before their requests were forwarded.
#include "relay/suspect_tracker.h"

#include <map>
#include <random>

#include <gtest/gtest.h>

namespace stackquay {
namespace {

constexpr uint32_t Cells = 4;
constexpr size_t VmsOfACell = 8;
constexpr size_t Vms = Cells * VmsOfACell;
constexpr size_t ContactsInACell = 2;
constexpr size_t WatchersInACell = 2;
const Fingerprint Suspect{ 1, 1, 2 };

/// Two reports, each forwarded once by each VM to its cell and its contacts.
constexpr size_t MaxDelivered = 2 * Vms * (VmsOfACell - 1 + (Cells - 1) * ContactsInACell);

/// VMs that exchange messages through a network which delays each one by some milliseconds.
class SimulatedFleet
{
public:
    explicit SimulatedFleet(uint64_t seed)
        : m_random(seed)
    {
        for (size_t vm = 0; vm < Vms; ++vm)
            m_vms.push_back(std::make_unique<SuspectTracker>(m_thread, hooksOf(vm)));
    }

    SuspectTracker &vm(size_t index) { return *m_vms[index]; }

    /// Reports a process exit as the VM @p vm that observed it.
    void reportExit(size_t vm, uint64_t process)
    {
        LoadMessage message{ LoadEvent::Suspected };
        message.m_suspects = { { Suspect, { process }, 0, 0 } };
        message.m_cell = cellOf(vm);
        m_vms[vm]->merge(message.m_suspects);
        sendToCell(vm, message);
        sendToContacts(vm, message);
    }

    /// Delivers the messages that are due within @p time; stops far above the allowed number.
    void run(Duration time)
    {
        const TimePoint until = m_now + time;
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= until
               && m_delivered <= 10 * MaxDelivered) {
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
        hooks.m_fleet.m_cell = [vm] { return CellView{ cellOf(vm), Cells }; };
        hooks.m_fleet.m_watchesStore = [vm] { return vm % VmsOfACell < WatchersInACell; };
        hooks.m_fleet.m_sendToCell = [this, vm](const LoadMessage &message) {
            sendToCell(vm, message);
        };
        hooks.m_fleet.m_sendToOtherCells = [this, vm](const LoadMessage &message) {
            sendToContacts(vm, message);
        };
        hooks.m_mayProbe = [](const auto &, const auto &) { return true; };
        hooks.m_quarantined = [](const auto &, bool) {};
        hooks.m_cleared = [](const auto &, const auto &, bool) {};
        return hooks;
    }

    void sendToCell(size_t from, const LoadMessage &message)
    {
        for (size_t to = 0; to < Vms; ++to) {
            if (to != from && cellOf(to) == cellOf(from))
                send(to, message);
        }
    }

    void sendToContacts(size_t from, const LoadMessage &message)
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

TEST(SuspectTrackerTest, ReportAndClearingStopCirculating)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        SimulatedFleet fleet(seed);
        fleet.reportExit(0, 7);
        fleet.run(Millis(2 + seed));
        fleet.vm(0).noteCompleted(Suspect);
        fleet.run(Millis(500));
        EXPECT_TRUE(fleet.quiet()) << "seed " << seed;
        EXPECT_LE(fleet.delivered(), MaxDelivered) << "seed " << seed;
        for (size_t vm = 0; vm < Vms; ++vm)
            EXPECT_TRUE(fleet.vm(vm).empty()) << "seed " << seed << ", VM " << vm;
    }
}

// VMs of two versions run side by side during an update; the earlier one sends no exits.
TEST(SuspectTrackerTest, AcceptsAClearingWithoutExits)
{
    SimulatedFleet fleet(1);
    fleet.reportExit(0, 7);
    fleet.run(Millis(100));
    LoadMessage cleared{ LoadEvent::Cleared };
    cleared.m_fingerprints = { Suspect };
    fleet.vm(3).receive(cleared);
    EXPECT_TRUE(fleet.vm(3).empty());
}

// A request that completed may still crash engines later: a new exit counts like the first one.
TEST(SuspectTrackerTest, ExitAfterTheClearingReachesAllVms)
{
    SimulatedFleet fleet(1);
    fleet.reportExit(0, 7);
    fleet.run(Millis(100));
    fleet.vm(0).noteCompleted(Suspect);
    fleet.run(Millis(500));
    fleet.reportExit(9, 8);
    fleet.run(Millis(500));
    EXPECT_TRUE(fleet.quiet());
    for (size_t vm = 0; vm < Vms; ++vm)
        EXPECT_FALSE(fleet.vm(vm).empty()) << "VM " << vm;
}

} // namespace
} // namespace stackquay
