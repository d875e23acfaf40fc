/// When each VM reads the platform's store, so that all VMs know a change within a bound even if
/// the store watchers tell them nothing any more.
///
/// The rule is the same for all VMs: one whose latest proof of what it knows has reached a certain
/// age reads the store and tells the others. That age is lowest for store watchers, so the others
/// read only if no watcher does, whatever the reason, and one after the other.
#pragma once

#include "core/core.h"

namespace stackquay {

struct ReadSchedule {
    Duration m_watcherAge{}; ///< Age of the latest proof at which a store watcher reads,
    Duration m_watcherJitter{}; ///< plus up to this.
    Duration m_firstTurnAge{}; ///< Age at which the first of the other VMs reads.
    Duration m_turnStep{}; ///< Each next VM that has a turn reads this much later.
    /// Age at which a VM without a turn reads, plus up to the jitter: it receives nothing from its
    /// peers.
    Duration m_othersAge{};
    Duration m_othersJitter{};
};

/// So many VMs of a data centre have a turn: the store watcher and the VM with the first turn may
/// be lost together. While the store is unavailable, all of them read.
constexpr unsigned ReadTurns = 2;
/// A longer gap between proofs is considered an outage of the store.
constexpr Millis MaxReadBound{ 2'500 };
/// A tighter bound would take too many calls to the store.
constexpr Millis MinReadBound{ 500 };

/// The schedule by which all VMs know each change within @p bound of the store's acknowledgement.
ReadSchedule readSchedule(Duration bound);

/// Age of the latest proof at which the VM with the turn @p turn reads, counted from zero.
Duration turnAge(const ReadSchedule &schedule, unsigned turn);

/// For the calls of one read: the routes, then the changes of endpoints and evacuations.
constexpr Millis ReadTime{ 150 };
/// From a VM's read until all VMs have its result: a heartbeat and a call to that VM.
constexpr Millis SpreadTime{ 100 };
/// A store watcher waits this long for its watch to deliver a change that a read has found.
constexpr Millis WatchDelay{ 100 };

/// The longest time from the acknowledgement of a change until all VMs know it, if the VM with the
/// turn @p turn is the first that reads after the store watcher was lost. The worst case is a
/// change right after the watcher's last read began.
Duration knownAfterWatcherLoss(const ReadSchedule &schedule, unsigned turn);

/// The same, if the watcher's watches have fallen silent while its reads succeed.
Duration knownAfterSilentWatch(const ReadSchedule &schedule);

} // namespace stackquay
