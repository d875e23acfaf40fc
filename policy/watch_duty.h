/// Selects the VMs that watch the platform's store: one per data centre, so that the load on the
/// store grows with the number of data centres and not of VMs. The other VMs get changes from them.
///
/// Correctness does not depend on the selection: two watchers in a data centre only cause more
/// calls, and a VM without updates for a long time reads the store itself.
#pragma once

#include <vector>

#include "core/core.h"

namespace stackquay {

struct DutyCandidate {
    VmId m_vm;
    DataCentreId m_dataCentre;
    bool m_eligible = true; ///< Sends heartbeats and can reach the store, as far as is known.
    bool m_isWatcher = false; ///< Watches the store now, as reported by itself.
    uint32_t m_millicores = 1'000; ///< Thousandths of a core that the platform grants the VM.
};

/// Whether @p self is to watch the store for its data centre. The order of preference is: eligible
/// VMs, the present watcher, the largest processor share, the first id in alphabetical order. An
/// eligible watcher is never
/// replaced by a new VM, because each handover lists all objects again. @p peers: the other live
/// VMs, of all data centres.
bool isStoreWatcher(const DutyCandidate &self, const std::vector<DutyCandidate> &peers);

/// Watchers send heartbeats within their data centre each half of a second. After a silence of this
/// length the next VM takes over: changes have to be known everywhere within two seconds.
constexpr Millis WatcherSilenceTimeout{ 1'200 };

/// Whether @p self takes the watch over although other VMs precede it, because no watcher of its
/// data centre was heard for @p silence. Those that precede it may have exited with the watcher,
/// and each has a short time of its own to take over first.
bool takesOverWatch(const DutyCandidate &self, const std::vector<DutyCandidate> &peers,
                    Duration silence);

/// The position of @p self among the eligible VMs of its data centre that do not watch the store,
/// in the order of preference and counted from zero. In this order they read the store if no store
/// watcher does. A VM that is not eligible comes last.
unsigned readTurn(const DutyCandidate &self, const std::vector<DutyCandidate> &peers);

/// How long a VM that starts waits for a watcher before it becomes one, from the time at which it
/// found @p peers in the store. VMs that start together do not all list the store: each waits for
/// those that precede it, for longer the slower it is, because a slow VM also hears of the others
/// later. At most @p most, after which service has to recover.
Duration electionDelay(const DutyCandidate &self, const std::vector<DutyCandidate> &peers,
                       Duration most);

} // namespace stackquay
