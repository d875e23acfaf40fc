#include "relay/crash_broadcast.h"

#include <array>

namespace stackquay {

namespace {

/// Within the time in which all VMs must know the news.
constexpr std::array<Millis, 2> RepeatDelays{ Millis(150), Millis(450) };

} // namespace

void broadcast(const CrashBroadcast &fleet, LoadMessage message)
{
    message.m_cell = fleet.m_cell().m_cell;
    fleet.m_sendToCell(message);
    fleet.m_sendToOtherCells(message);
}

void broadcastAgain(FiberThread &thread, const CrashBroadcast &fleet, const LoadMessage &message)
{
    spawnFiber([&thread, fleet, message] {
        for (const Millis after : RepeatDelays) {
            if (!sleepFor(thread.context(), after))
                return;
            broadcast(fleet, message);
        }
    });
}

void forward(const CrashBroadcast &fleet, const LoadMessage &message)
{
    const uint32_t own = fleet.m_cell().m_cell;
    if (message.m_cell == own) {
        if (fleet.m_watchesStore())
            fleet.m_sendToOtherCells(message);
        return;
    }
    LoadMessage forwarded = message;
    forwarded.m_cell = own;
    fleet.m_sendToCell(forwarded);
}

} // namespace stackquay
