/// Which faults a run of the soak meets, and when: drawn from one seed.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "standin/relay_connection.h"

namespace stackquay::soak {

enum class FaultKind {
    ClientLink, ///< Between clients and a VM.
    StoreLink, ///< Between a VM and the store.
    WorkerLink, ///< Between all VMs and a worker.
    Terminate, ///< SIGTERM, SIGKILL after the grace, and a new start.
    TerminateInTurn, ///< All VMs but one, a second or two apart.
    TerminateTogether, ///< All VMs but one, at once.
    Kill,
    Freeze, ///< SIGSTOP, later SIGCONT.
    Settings, ///< A changed settings file and SIGHUP.
    BadSettings, ///< A settings file that cannot be read, and SIGHUP.
    StoreBusy,
    StoreSilent,
    StoreLosesWrites,
    StoreDeaf,
    StoreDropsHistory,
    WorkerCrash,
    WorkerLeaves, ///< Says so in the store, and serves on for a while.
    WorkerLeavesUnsaid, ///< Its entry goes, and it serves on for a while.
    WorkerSwap, ///< Two of different services crash and return at each other's address.
    Route, ///< A configuration in which a route goes to another service.
    Key, ///< A configuration that replaces a key.
    EndpointsPause, ///< Workers of one service stand still, then go on where they stood.
    // Of the profile Attempts only.
    WorkerFails, ///< It refuses, fails or spoils a share of its requests.
    VmLink, ///< Between one VM and one worker, or all workers.
    KillTogether, ///< SIGKILL to some VMs at once; a worker leaves just after.
    Last = KillTogether,
};

struct Fault {
    Millis m_at{ 0 }; ///< From the start of the traffic, as are all times of the soak.
    Millis m_length{ 0 };
    FaultKind m_kind = FaultKind::ClientLink;
    size_t m_subject = 0; ///< The VM or worker, by index.
    standin::RelayFault m_link; ///< For faults of links.
    std::string m_service; ///< Whose workers pause.
    unsigned m_percent = 100; ///< Of the workers that pause, of the requests that fail.
    std::optional<size_t> m_worker; ///< Of VmLink and KillTogether; nothing: all workers.
    size_t m_count = 1; ///< VMs that are killed.

    Millis end() const { return m_at + m_length; }
};

enum class Profile {
    Usual,
    /// Besides, workers fail in every way that is allowed, VMs lose the path to workers, and
    /// clients send many short requests that may run only once.
    Attempts,
};

struct Schedule {
    uint64_t m_seed = 0;
    Profile m_profile = Profile::Usual;
    size_t m_vms = 0;
    Millis m_length{ 0 };
    Millis m_calmFrom{ 0 }; ///< No fault reaches beyond.
    /// Only what operators and endpoints do on purpose, and pauses, which excuse no lost request.
    bool m_plannedOnly = false;
    size_t m_keepers = 0; ///< Connections that clients keep using, for each VM.
    size_t m_hurried = 0; ///< The same, with short requests one after the other.
    std::vector<Fault> m_faults; ///< By time.
};

/// Times that the users promise or ask; the tightest of their sites.
struct Bounds {
    Millis m_contact{ 4'000 }; ///< After a disruption, until bounds of time hold again.
    Millis m_apply{ 2'000 };
    Millis m_drain{ 2'000 };
    Millis m_revoke{ 5'000 };
    Millis m_revert{ 250 };
    Millis m_grace{ 8'000 };
    Millis m_lossSlack{ 200 };
    Millis m_freeMemory{ 4'000 };
    Millis m_recovery{ 12'000 };
};

constexpr size_t PlainWorkers = 4;
constexpr size_t SpareWorkers = 2;
constexpr size_t ModelWorkers = 6;
constexpr size_t Workers = PlainWorkers + SpareWorkers + ModelWorkers;
/// The only worker of service "sole": it pauses with those of "model", and has no other fault.
constexpr size_t SoleWorker = Workers;
constexpr Millis TurnGap{ 1'300 }; ///< Between two VMs of TerminateInTurn.
/// Below this no fault fits between the start and the recovery.
constexpr Millis ShortestRun{ 30'000 };

Schedule drawSchedule(uint64_t seed, Millis length, size_t vms, Profile profile = Profile::Usual);
/// Whether operators or endpoints do it on purpose: it excuses no lost request.
bool isPlanned(FaultKind kind);
std::string toString(const Fault &fault);
/// One line a fault.
std::string toString(const Schedule &schedule);

} // namespace stackquay::soak
