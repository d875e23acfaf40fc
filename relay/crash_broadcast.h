/// Sends news of crashes to all VMs of the fleet: 1 datagram to each VM of the cell and 2 to each
/// other cell, whose receivers forward it within theirs.
#pragma once

#include <functional>

#include "net/net.h"
#include "relay/load_exchange.h"

namespace stackquay {

/// Used on the traffic thread only.
struct CrashBroadcast {
    std::function<CellView()> m_cell;
    /// Returns whether this VM forwards updates of its cell to other cells.
    std::function<bool()> m_watchesStore;
    std::function<void(const LoadMessage &message)> m_sendToCell;
    std::function<void(const LoadMessage &message)> m_sendToOtherCells;
};

/// Sends @p message to all VMs.
void broadcast(const CrashBroadcast &fleet, LoadMessage message);
/// Sends @p message again some times, in the background: datagrams may be lost. For news that all
/// VMs must have soon; other news repeat what came before.
void broadcastAgain(FiberThread &thread, const CrashBroadcast &fleet, const LoadMessage &message);
/// Passes on a received message that was new to this VM: from another cell to this cell, and from
/// this cell to the others.
void forward(const CrashBroadcast &fleet, const LoadMessage &message);

} // namespace stackquay
