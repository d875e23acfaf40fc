#include "tests/soak/schedule.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/random.h"

namespace stackquay::soak {

namespace {

using standin::RelayFault;
using standin::RelayMode;
using standin::RelayWay;

constexpr Millis FirstFault{ 1'500 };
/// A VM that is told to stop is back after this.
constexpr Millis RestartTime{ 10'500 };
constexpr Millis MeanGap{ 1'300 };
constexpr Millis Measured{ 3'000 }; ///< After the recovery.

struct KindRow {
    FaultKind m_kind;
    const char *m_name;
    bool m_planned;
    uint32_t m_weight; ///< How often it is drawn.
    Millis m_shortest;
    Millis m_longest;
};

constexpr KindRow Kinds[] = {
    { FaultKind::ClientLink, "client link", false, 3, Millis(300), Millis(3'000) },
    { FaultKind::StoreLink, "store link", false, 3, Millis(500), Millis(5'000) },
    { FaultKind::WorkerLink, "worker link", false, 3, Millis(300), Millis(3'000) },
    { FaultKind::Terminate, "SIGTERM", true, 3, RestartTime, RestartTime },
    { FaultKind::TerminateInTurn, "SIGTERM in turn", true, 1, RestartTime, RestartTime },
    { FaultKind::TerminateTogether, "SIGTERM together", true, 1, RestartTime, RestartTime },
    { FaultKind::Kill, "SIGKILL", false, 2, Millis(1'000), Millis(1'000) },
    { FaultKind::Freeze, "SIGSTOP", false, 2, Millis(200), Millis(4'000) },
    { FaultKind::Settings, "SIGHUP", true, 2, Millis(0), Millis(0) },
    { FaultKind::BadSettings, "SIGHUP, bad file", true, 1, Millis(500), Millis(2'000) },
    { FaultKind::StoreBusy, "store down", false, 1, Millis(500), Millis(7'000) },
    { FaultKind::StoreSilent, "store silent", false, 1, Millis(500), Millis(7'000) },
    { FaultKind::StoreLosesWrites, "store loses answers", false, 1, Millis(500), Millis(3'000) },
    { FaultKind::StoreDeaf, "store's watches deaf", false, 1, Millis(500), Millis(3'000) },
    { FaultKind::StoreDropsHistory, "store drops history", false, 1, Millis(0), Millis(0) },
    { FaultKind::WorkerCrash, "worker crashes", false, 2, Millis(2'500), Millis(4'000) },
    { FaultKind::WorkerLeaves, "worker leaves", true, 3, Millis(5'000), Millis(6'000) },
    { FaultKind::WorkerLeavesUnsaid, "worker leaves unsaid", true, 1, Millis(5'000),
      Millis(6'000) },
    { FaultKind::WorkerSwap, "workers swap addresses", false, 1, Millis(2'500), Millis(4'000) },
    { FaultKind::Route, "route moves", true, 3, Millis(0), Millis(0) },
    { FaultKind::Key, "key replaced", true, 2, Millis(0), Millis(0) },
    // Drawn apart, by addPauses().
    { FaultKind::EndpointsPause, "endpoints pause", false, 0, Millis(700), Millis(1'400) },
    // Drawn apart, by addAttemptFaults().
    { FaultKind::WorkerFails, "worker fails", false, 0, Millis(1'000), Millis(7'000) },
    { FaultKind::VmLink, "link of VM", false, 0, Millis(500), Millis(5'000) },
    { FaultKind::KillTogether, "SIGKILL together", false, 0, Millis(1'000), Millis(1'000) },
};

static_assert(std::size(Kinds) == static_cast<size_t>(FaultKind::Last) + 1);

const KindRow &rowOf(FaultKind kind)
{
    return Kinds[static_cast<size_t>(kind)];
}

/// Not a distribution of the standard library: those may differ from one to the next.
uint64_t drawUpTo(RandomEngine &random, uint64_t most)
{
    return random() % (most + 1);
}

Millis drawTime(RandomEngine &random, Millis least, Millis most)
{
    return least + Millis(drawUpTo(random, static_cast<uint64_t>((most - least).count())));
}

FaultKind drawKind(RandomEngine &random, bool plannedOnly)
{
    uint32_t total = 0;
    for (const KindRow &row : Kinds)
        total += plannedOnly && !row.m_planned ? 0 : row.m_weight;
    uint64_t left = drawUpTo(random, total - 1);
    for (const KindRow &row : Kinds) {
        const uint32_t weight = plannedOnly && !row.m_planned ? 0 : row.m_weight;
        if (left < weight)
            return row.m_kind;
        left -= weight;
    }
    return FaultKind::Last;
}

RelayFault drawLink(RandomEngine &random)
{
    constexpr RelayMode Modes[] = { RelayMode::Delay, RelayMode::Reset, RelayMode::HalfOpen,
                                    RelayMode::Pause, RelayMode::LoseAnswer };
    constexpr Millis MostDelay{ 400 };
    RelayFault fault;
    fault.m_mode = Modes[drawUpTo(random, std::size(Modes) - 1)];
    fault.m_delay = drawTime(random, Millis(1), MostDelay);
    fault.m_way = drawUpTo(random, 1) == 0 ? RelayWay::ToTarget : RelayWay::FromTarget;
    return fault;
}

Fault drawFault(RandomEngine &random, FaultKind kind, Millis at, size_t vms)
{
    const KindRow &row = rowOf(kind);
    Fault fault;
    fault.m_at = at;
    fault.m_kind = kind;
    fault.m_length = drawTime(random, row.m_shortest, row.m_longest);
    if (kind == FaultKind::TerminateInTurn && vms > 2)
        fault.m_length += TurnGap * (vms - 2);
    const bool ofWorker =
        kind == FaultKind::WorkerLink
        || (kind >= FaultKind::WorkerCrash && kind <= FaultKind::WorkerLeavesUnsaid);
    fault.m_subject = drawUpTo(random, (ofWorker ? Workers : vms) - 1);
    fault.m_link = drawLink(random);
    return fault;
}

Fault drawPause(RandomEngine &random, Millis least, Millis most)
{
    constexpr uint64_t PlainOneIn = 4;
    constexpr uint64_t ShareOneIn = 3;
    constexpr unsigned Share = 60;
    const KindRow &row = rowOf(FaultKind::EndpointsPause);
    Fault fault;
    fault.m_at = drawTime(random, least, most);
    fault.m_kind = row.m_kind;
    fault.m_length = drawTime(random, row.m_shortest, row.m_longest);
    fault.m_subject = drawUpTo(random, Workers - 1);
    fault.m_service = drawUpTo(random, PlainOneIn - 1) == 0 ? "plain" : "model";
    if (drawUpTo(random, ShareOneIn - 1) == 0)
        fault.m_percent = Share;
    return fault;
}

/// During the pause or just before it.
Fault drawChange(RandomEngine &random, const Fault &pause, size_t vms)
{
    constexpr FaultKind Changes[] = { FaultKind::Route, FaultKind::Key, FaultKind::Settings };
    constexpr Millis JustBefore{ 300 };
    Fault fault;
    fault.m_at = drawTime(random, pause.m_at - JustBefore, pause.end());
    fault.m_kind = Changes[drawUpTo(random, std::size(Changes) - 1)];
    fault.m_subject = drawUpTo(random, vms - 1);
    return fault;
}

/// Draws from a generator of their own, so that the other faults of a seed stay what they were
/// before pauses were added.
void addPauses(Schedule &schedule)
{
    constexpr uint64_t OtherStream = 0x9e37'79b9'7f4a'7c15;
    constexpr uint64_t MostPauses = 3;
    RandomEngine random(schedule.m_seed ^ OtherStream);
    const uint64_t pauses = 1 + drawUpTo(random, MostPauses - 1);
    const Millis longest = rowOf(FaultKind::EndpointsPause).m_longest;
    const Millis part = (schedule.m_calmFrom - FirstFault) / pauses;
    for (uint64_t i = 0; i < pauses; ++i) {
        const Millis from = FirstFault + part * i;
        const Fault pause = drawPause(random, from, from + part - longest);
        schedule.m_faults.push_back(drawChange(random, pause, schedule.m_vms));
        schedule.m_faults.push_back(pause);
    }
}

Fault drawAttemptFault(RandomEngine &random, Millis at, size_t vms)
{
    constexpr FaultKind Kinds[] = { FaultKind::WorkerFails, FaultKind::WorkerFails,
                                    FaultKind::VmLink, FaultKind::VmLink, FaultKind::KillTogether };
    constexpr uint64_t OneWorkerOneIn = 2;
    constexpr unsigned LeastPercent = 20;
    constexpr unsigned MostPercent = 80;
    Fault fault = drawFault(random, Kinds[drawUpTo(random, std::size(Kinds) - 1)], at, vms);
    fault.m_percent = LeastPercent + drawUpTo(random, MostPercent - LeastPercent);
    if (fault.m_kind == FaultKind::WorkerFails)
        fault.m_subject = drawUpTo(random, Workers - 1);
    if (fault.m_kind == FaultKind::KillTogether || drawUpTo(random, OneWorkerOneIn - 1) == 0)
        fault.m_worker = drawUpTo(random, Workers - 1);
    fault.m_count = 1 + drawUpTo(random, vms - 1);
    return fault;
}

/// Draws from a generator of their own, as addPauses() does.
void addAttemptFaults(Schedule &schedule)
{
    constexpr uint64_t OtherStream = 0xd1b5'4a32'd192'ed03;
    constexpr Millis AttemptFaultGap{ 800 };
    constexpr size_t HurriedPerVm = 8;
    /// A worker that leaves after a kill takes so long.
    constexpr Millis LongestLeave{ 6'000 };
    schedule.m_hurried = HurriedPerVm;
    RandomEngine random(schedule.m_seed ^ OtherStream);
    for (Millis at = FirstFault; at < schedule.m_calmFrom;
         at += drawTime(random, Millis(0), 2 * AttemptFaultGap)) {
        const Fault fault = drawAttemptFault(random, at, schedule.m_vms);
        const Millis leave = fault.m_kind == FaultKind::KillTogether ? LongestLeave : Millis(0);
        if (fault.end() + leave <= schedule.m_calmFrom)
            schedule.m_faults.push_back(fault);
    }
}

std::string_view wayName(RelayWay way)
{
    return way == RelayWay::ToTarget ? "to the target" : "from the target";
}

bool isLink(FaultKind kind)
{
    return kind <= FaultKind::WorkerLink || kind == FaultKind::VmLink;
}

} // namespace

bool isPlanned(FaultKind kind)
{
    return rowOf(kind).m_planned;
}

Schedule drawSchedule(uint64_t seed, Millis length, size_t vms, Profile profile)
{
    constexpr uint64_t PlannedOnlyOneIn = 3;
    constexpr uint64_t HeavyOneIn = 4;
    constexpr size_t UsualVms = 3; ///< With more, each has fewer connections: the workers stay.
    constexpr size_t FewKeepers = 16;
    constexpr size_t ManyKeepers = 24; ///< Their streams take over half of the engines' places.
    RandomEngine random(seed);
    Schedule schedule;
    schedule.m_seed = seed;
    schedule.m_vms = vms;
    schedule.m_length = length;
    schedule.m_calmFrom = length - Bounds().m_recovery - Measured;
    schedule.m_profile = profile;
    schedule.m_plannedOnly =
        drawUpTo(random, PlannedOnlyOneIn - 1) == 0 && profile == Profile::Usual;
    const size_t keepers = drawUpTo(random, HeavyOneIn - 1) == 0 ? ManyKeepers : FewKeepers;
    schedule.m_keepers = std::max<size_t>(keepers * UsualVms / vms, 1);
    const Millis lastRestart = schedule.m_calmFrom - RestartTime;
    // Whatever else is drawn, each run stops a VM.
    schedule.m_faults.push_back(
        drawFault(random, FaultKind::Terminate, drawTime(random, FirstFault, lastRestart), vms));
    for (Millis at = FirstFault; at < schedule.m_calmFrom;
         at += drawTime(random, Millis(0), 2 * MeanGap)) {
        const Fault fault = drawFault(random, drawKind(random, schedule.m_plannedOnly), at, vms);
        if (fault.end() <= schedule.m_calmFrom)
            schedule.m_faults.push_back(fault);
    }
    addPauses(schedule);
    if (profile == Profile::Attempts)
        addAttemptFaults(schedule);
    std::stable_sort(schedule.m_faults.begin(), schedule.m_faults.end(),
                     [](const Fault &a, const Fault &b) { return a.m_at < b.m_at; });
    return schedule;
}

std::string toString(const Fault &fault)
{
    std::string text =
        fmt::format("{:>6} ms {:<22} {} for {} ms", fault.m_at.count(), rowOf(fault.m_kind).m_name,
                    fault.m_subject, fault.m_length.count());
    if (fault.m_kind == FaultKind::WorkerFails)
        text += fmt::format(", {}% of its requests", fault.m_percent);
    if (fault.m_kind == FaultKind::VmLink)
        text += fault.m_worker ? fmt::format(" to worker {}", *fault.m_worker) : " to all workers";
    if (fault.m_kind == FaultKind::KillTogether)
        text += fmt::format(", {} VMs, worker {} leaves", fault.m_count, *fault.m_worker);
    if (fault.m_kind == FaultKind::EndpointsPause)
        text += fmt::format(", {}% of {}", fault.m_percent, fault.m_service);
    if (!isLink(fault.m_kind))
        return text;
    text += fmt::format(", {}", standin::relayModeName(fault.m_link.m_mode));
    if (fault.m_link.m_mode == RelayMode::Delay)
        text += fmt::format(" {} ms", fault.m_link.m_delay.count());
    if (fault.m_link.m_mode == RelayMode::HalfOpen)
        text += fmt::format(" {}", wayName(fault.m_link.m_way));
    return text;
}

std::string toString(const Schedule &schedule)
{
    std::string text = fmt::format(
        "seed {}: {} VMs, {} ms, calm from {} ms, {} faults, {} connections kept a VM\n",
        schedule.m_seed, schedule.m_vms, schedule.m_length.count(), schedule.m_calmFrom.count(),
        schedule.m_plannedOnly ? "planned" : "all kinds of", schedule.m_keepers);
    for (const Fault &fault : schedule.m_faults)
        text += toString(fault) + "\n";
    return text;
}

} // namespace stackquay::soak
