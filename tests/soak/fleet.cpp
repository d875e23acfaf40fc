#include "tests/soak/fleet.h"

#include <atomic>
#include <csignal>
#include <fstream>

#include <fmt/format.h>
#include <unistd.h>

#include "tests/support/loopback_ports.h"

namespace stackquay::soak {

namespace {

using platform::StoreMode;
using platform::WorkerMode;
using platform::WorkerStandin;
using platform::WorkerTask;
using standin::RelayFault;

constexpr Millis RestartPause{ 500 };
constexpr Millis EntryOutlivesCrash{ 2'000 };
constexpr Millis ServesOnAtLeast{ 4'500 }; ///< After it said that it is leaving.
constexpr Millis MemoryPeriod{ 250 };
constexpr uint16_t PortsOfVm = 5; ///< Clients, readiness, and three between VMs.

/// The relay's targets: clients' connections of each VM, its store, then the workers.
size_t clientsTarget(size_t vm)
{
    return 2 * vm;
}

size_t storeTarget(size_t vm)
{
    return 2 * vm + 1;
}

size_t workerTarget(size_t vms, size_t slot)
{
    return 2 * vms + slot;
}

std::string serviceOf(size_t slot)
{
    if (slot == SoleWorker)
        return "sole";
    if (slot < PlainWorkers)
        return "plain";
    return slot < PlainWorkers + SpareWorkers ? "spare" : "model";
}

std::string route(const char *name, const char *kind, const std::string &service, const char *more)
{
    return fmt::format(
        R"({{"name":"{0}","host":"host.example","pathPrefix":"/{0}/","kind":"{1}","maxAttempts":2,)"
        R"("priority":1,"service":"{2}",{3}}})",
        name, kind, service, more);
}

std::string configurationText(uint64_t version, const std::string &movingService,
                              const std::string &key)
{
    constexpr const char *Plain = R"("timeoutMs":5000,"aimMs":1500)";
    constexpr const char *Once = R"("timeoutMs":20000,"aimMs":1500,"gapAimMs":400)";
    // Daemons leave such a stream after a silence of 0.9 s: a pause may be longer.
    constexpr const char *Stream =
        R"("timeoutMs":20000,"aimMs":500,"gapAimMs":250,"resumable":true)";
    constexpr const char *Long =
        R"("timeoutMs":20000,"aimMs":1500,"gapAimMs":400,"resumable":true)";
    const std::string routes =
        route("safe", "safe", "plain", Plain) + "," + route("unsafe", "unsafe", "plain", Plain)
        + "," + route("moving", "safe", movingService, Plain) + ","
        + route("stream", "stream", "model", Stream) + "," + route("once", "stream", "model", Once)
        + "," + route("long", "stream", "model", Long) + ","
        + route("sole", "stream", "sole", Stream);
    constexpr const char *Engine =
        R"("maxConns":100,"engine":{"slots":8,"kvCapacity":100000,"stride":2,)"
        R"("step_ms":20,"per_seq_ms":0.1,"context_per_k":0.01,"read_per_s":1000000.0,)"
        R"("pairs_per_m":0.01,"chunk":2048,"usual":{"prompt":2000,"answer":110},"hopMs":0.1})";
    const std::string services = fmt::format(
        R"("services":[{{"name":"plain","maxConns":100}},{{"name":"spare","maxConns":100}},)"
        R"({{"name":"model",{0}}},{{"name":"sole",{0}}}])",
        Engine);
    return fmt::format(R"({{"version":{},"routes":[{}],{},"limits":{{"maxHeaderBytes":16384,)"
                       R"("maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":5000}},)"
                       R"("tenants":[{{"name":"{}","apiKeys":["{}","{}"],"priority":2}}]}})",
                       version, routes, services, tenantOf(version), TrafficSource::LastingKey,
                       key);
}

std::string keyNamed(uint64_t number)
{
    return fmt::format("key-{}", number);
}

WorkerTask usualTask(const HttpRequest &request)
{
    const PathWork work = workOf(request.path());
    return { work.m_delay, work.m_events, work.m_gap, {}, 0 };
}

/// What a worker that fails does with a request: nothing that the platform does not allow.
struct FailureRow {
    WorkerMode m_mode;
    unsigned m_status = 0;
};

constexpr FailureRow Failures[] = {
    { WorkerMode::Full },
    { WorkerMode::FullTwice },
    { WorkerMode::FullTwice },
    { WorkerMode::Misdirected },
    { WorkerMode::ServerError, 500 },
    { WorkerMode::ServerError, 503 },
    { WorkerMode::ServerError, 429 },
    { WorkerMode::ServerError, 408 },
    { WorkerMode::CutBefore },
    { WorkerMode::CutMidway },
    { WorkerMode::AnswersTwice },
    { WorkerMode::AnswersTwice },
    { WorkerMode::WrongId },
    { WorkerMode::Unsigned },
    { WorkerMode::SkipsEvent },
};

WorkerTask failingTask(const HttpRequest &request, const std::string &worker, unsigned percent)
{
    constexpr size_t Percent = 100;
    WorkerTask task = usualTask(request);
    const std::string id(findHeader(request.m_headers, "X-Request-Id"));
    // The same for each look at a request, and another one at each worker.
    const size_t draw = std::hash<std::string>()(id + worker);
    if (draw % Percent >= percent)
        return task;
    const FailureRow &failure = Failures[draw / Percent % std::size(Failures)];
    task.m_mode = failure.m_mode;
    task.m_failureStatus = failure.m_status;
    return task;
}

/// A stand-in on a thread of its own, at a port that it may have had before.
struct RunningWorker {
    RunningWorker(const std::string &id, const Address &address)
        : m_standin(m_thread, id)
    {
        m_standin.setScript([this, id](const HttpRequest &request) {
            return failingTask(request, id, m_failingPercent);
        });
        const auto bound = m_standin.listen(address);
        if (!bound)
            log(LogPart::Standin).error("Cannot listen. error={}", toString(bound.error()));
        m_thread.start();
    }

    ~RunningWorker()
    {
        m_thread.stop();
        m_thread.join();
    }

    std::atomic<unsigned> m_failingPercent{ 0 };
    FiberThread m_thread{ "worker" };
    WorkerStandin m_standin;
};

} // namespace

struct Fleet::Vm {
    std::string m_name;
    uint16_t m_port = 0; ///< The first of its ports.
    Address m_front; ///< The relay's.
    Address m_store; ///< The relay's.
    std::string m_settingsFile;
    std::unique_ptr<Process> m_process;
    std::optional<Millis> m_terminated;
    std::optional<Millis> m_killed; ///< By a fault, or at the end of the grace.
    bool m_overdue = false;
    bool m_frozen = false;
    uint64_t m_starts = 0;
};

/// A worker's place: its address stays, its processes come and go.
struct Fleet::Slot {
    size_t m_index = 0;
    Address m_own;
    Address m_relayed; ///< As the store has it.
    std::string m_service;
    std::string m_id;
    std::unique_ptr<RunningWorker> m_worker;
    bool m_leaving = false;
};

Fleet::Fleet(const Schedule &schedule, std::string directory, std::string daemon)
    : m_schedule(schedule)
    , m_directory(std::move(directory))
    , m_daemon(std::move(daemon))
    , m_nextPort(firstTestPort())
{ }

Fleet::~Fleet()
{
    for (const auto &vm : m_vms) {
        if (vm->m_process)
            keepLog(*vm);
    }
    m_vms.clear();
    m_slots.clear();
    m_relayThread.stop();
    m_relayThread.join();
}

Millis Fleet::now() const
{
    return since(Clock::now());
}

Millis Fleet::since(TimePoint at) const
{
    return std::chrono::duration_cast<Millis>(at - m_begun);
}

void Fleet::later(Millis delay, std::function<void()> action)
{
    m_due.emplace(now() + delay, std::move(action));
}

void Fleet::disrupt(Place place, size_t subject, const Fault &fault)
{
    const Millis at = now();
    m_seen.m_disruptions.push_back({ place, subject, at, at + fault.m_length,
                                     isPlanned(fault.m_kind), soak::toString(fault) });
}

Status Fleet::startRelays()
{
    const auto reserve = [this](uint16_t count) {
        const uint16_t first = findFreePorts(m_nextPort, count);
        m_nextPort = static_cast<uint16_t>(first + count);
        return first;
    };
    for (size_t i = 0; i < m_schedule.m_vms; ++i) {
        auto vm = std::make_unique<Vm>();
        vm->m_name = fmt::format("vm-{}", i);
        vm->m_port = reserve(PortsOfVm);
        vm->m_settingsFile = fmt::format("{}/{}.json", m_directory, vm->m_name);
        const auto front = m_relay.addTarget({ "127.0.0.1", vm->m_port });
        const auto store = m_relay.addTarget(m_store.address());
        if (!front || !store)
            return makeError(ErrorCode::Unavailable, "no port for a relay");
        vm->m_front = *front;
        vm->m_store = *store;
        m_vms.push_back(std::move(vm));
    }
    for (size_t i = 0; i <= SoleWorker; ++i) {
        auto slot = std::make_unique<Slot>();
        slot->m_index = i;
        slot->m_own = { "127.0.0.1", reserve(1) };
        const auto relayed = m_relay.addTarget(slot->m_own);
        if (!relayed)
            return tl::unexpected(relayed.error());
        slot->m_relayed = *relayed;
        m_slots.push_back(std::move(slot));
    }
    m_relay.identifySources([this](uint16_t from, uint16_t to) { return vmOf(from, to); });
    m_relayThread.start();
    return {};
}

std::optional<size_t> Fleet::vmOf(uint16_t from, uint16_t to) const
{
    const bool toWorker = std::any_of(m_slots.begin(), m_slots.end(), [to](const auto &slot) {
        return slot->m_relayed.m_port == to;
    });
    if (m_schedule.m_profile != Profile::Attempts || !toWorker)
        return std::nullopt;
    return m_owners.ownerOf(from, to);
}

Status Fleet::start()
{
    m_begun = Clock::now();
    const Status relays = startRelays();
    if (!relays)
        return relays;
    declare();
    for (const auto &slot : m_slots)
        startWorker(*slot, serviceOf(slot->m_index));
    for (size_t i = 0; i < m_vms.size(); ++i) {
        const Status started = startVm(i);
        if (!started)
            return started;
    }
    return {};
}

std::vector<ClientsDoor> Fleet::doors() const
{
    std::vector<ClientsDoor> doors;
    for (const auto &vm : m_vms)
        doors.push_back({ vm->m_front, { "127.0.0.1", static_cast<uint16_t>(vm->m_port + 1) } });
    return doors;
}

void Fleet::begin(TimePoint start)
{
    const Millis shift = since(start);
    m_begun = start;
    // What was before counts as before any bound.
    for (SeenStart &one : m_seen.m_starts)
        one.m_at -= shift;
    for (SeenVersion &one : m_seen.m_versions)
        one.m_at -= shift;
    for (Disruption &one : m_seen.m_disruptions) {
        one.m_from -= shift;
        one.m_until -= shift;
    }
}

void Fleet::writeSettings(size_t index, bool readable)
{
    constexpr int UsualSlack = 1'000;
    const Vm &vm = *m_vms[index];
    std::ofstream file(vm.m_settingsFile, std::ios::trunc);
    if (!readable) {
        file << "{";
        return;
    }
    file << fmt::format(
        R"({{"nodeName":"{}","zone":"here","ip":"127.0.0.1","listen":{{"front":"127.0.0.1:{}",)"
        R"("ready":"127.0.0.1:{}"}},"platform":{{"address":"{}"}},"portRange":[{},{}],)"
        R"("bounds":{{"strictRevoke":true,"revokeMs":{},"retryRatio":0.1,"retrySlack":{},)"
        R"("retryWindowS":10,"graceS":{},"holdMaxMs":20000,"freeMs":{}}},)"
        R"("limits":{{"maxFds":4096}}}})",
        vm.m_name, vm.m_port, vm.m_port + 1, stackquay::toString(vm.m_store), vm.m_port + 2,
        vm.m_port + 4, m_bounds.m_revoke.count(), UsualSlack + m_settingsChanges,
        std::chrono::duration_cast<Seconds>(m_bounds.m_grace).count(),
        m_bounds.m_freeMemory.count());
}

Status Fleet::startVm(size_t index)
{
    Vm &vm = *m_vms[index];
    writeSettings(index);
    ProcessOptions options;
    options.m_program = m_daemon;
    options.m_arguments = { "--config", vm.m_settingsFile };
    options.m_errorFile = fmt::format("{}/{}-{}.err", m_directory, vm.m_name, ++vm.m_starts);
    auto process = Process::start(options);
    if (!process)
        return tl::unexpected(process.error());
    vm.m_process = std::move(*process);
    m_owners.set(index, vm.m_process->pid());
    vm.m_terminated.reset();
    vm.m_killed.reset();
    vm.m_overdue = false;
    vm.m_frozen = false;
    m_seen.m_starts.push_back({ index, now() });
    return {};
}

void Fleet::declare()
{
    ++m_version;
    const std::string service = m_movedToSpare ? "spare" : "plain";
    m_store->put("config", "main", configurationText(m_version, service, keyNamed(m_key)));
    m_seen.m_versions.push_back({ m_version, now(), service, keyNamed(m_key) });
}

void Fleet::describeWorker(const Slot &slot, const std::string &state)
{
    m_store->put("servers", slot.m_id,
                 fmt::format(R"({{"service":"{}","address":"{}","zone":"here","version":"v1",)"
                             R"("slots":8,"state":"{}","coldLeftMs":0,"seq":1}})",
                             slot.m_service, stackquay::toString(slot.m_relayed), state));
}

void Fleet::startWorker(Slot &slot, const std::string &service)
{
    slot.m_service = service;
    slot.m_id = fmt::format("worker-{}", ++m_workersStarted);
    slot.m_leaving = false;
    slot.m_worker = std::make_unique<RunningWorker>(slot.m_id, slot.m_own);
    m_seen.m_workers.push_back({ slot.m_id, slot.m_index, service, {}, {} });
    describeWorker(slot, "ready");
}

void Fleet::endWorker(Slot &slot)
{
    const TimePoint cut = Clock::now();
    // Its connections end with its thread; the object stays for what it saw.
    slot.m_worker->m_thread.stop();
    slot.m_worker->m_thread.join();
    collectRuns(slot, cut);
    slot.m_worker.reset();
    for (SeenWorker &worker : m_seen.m_workers) {
        if (worker.m_id == slot.m_id)
            worker.m_ended = since(cut);
    }
}

void Fleet::removeEntry(const std::string &worker)
{
    m_store->remove("servers", worker);
    for (SeenWorker &one : m_seen.m_workers) {
        if (one.m_id == worker && !one.m_leaving)
            one.m_leaving = now();
    }
}

void Fleet::collectRuns(const Slot &slot, std::optional<TimePoint> cut)
{
    for (const platform::WorkerRun &run : slot.m_worker->m_standin.runs()) {
        SeenRun seen;
        seen.m_requestId = run.m_requestId;
        seen.m_worker = slot.m_id;
        seen.m_slot = slot.m_index;
        seen.m_service = slot.m_service;
        seen.m_tenant = findHeader(run.m_request.m_headers, "X-Tenant");
        seen.m_path = run.m_request.m_target;
        seen.m_body = run.m_request.m_body;
        seen.m_sawKey = !findHeader(run.m_request.m_headers, "Api-Key").empty();
        seen.m_from = since(run.m_from);
        if (!cut)
            seen.m_until = run.m_until == TimePoint{} ? now() : since(run.m_until);
        else if (run.m_until != TimePoint{} && run.m_until < *cut)
            seen.m_until = since(run.m_until);
        m_seen.m_runs.push_back(std::move(seen));
    }
}

void Fleet::apply(const Fault &fault, TrafficSource &traffic)
{
    if (fault.m_kind <= FaultKind::WorkerLink)
        applyLink(fault);
    else if (fault.m_kind <= FaultKind::BadSettings)
        applyProcess(fault);
    else if (fault.m_kind <= FaultKind::StoreDropsHistory)
        applyStore(fault);
    else if (fault.m_kind <= FaultKind::WorkerSwap)
        applyWorker(fault);
    else if (fault.m_kind == FaultKind::EndpointsPause)
        pauseWorkers(fault);
    else if (fault.m_kind == FaultKind::WorkerFails)
        failWorker(fault, *m_slots[fault.m_subject]);
    else if (fault.m_kind == FaultKind::VmLink)
        cutVm(fault);
    else if (fault.m_kind == FaultKind::KillTogether)
        killTogether(fault);
    else
        changeConfiguration(fault, traffic);
}

void Fleet::applyLink(const Fault &fault)
{
    size_t target = 0;
    Place place = Place::Vm;
    if (fault.m_kind == FaultKind::WorkerLink) {
        place = Place::Worker;
        target = workerTarget(m_vms.size(), fault.m_subject);
    } else if (fault.m_kind == FaultKind::StoreLink) {
        place = Place::StoreLink;
        target = storeTarget(fault.m_subject);
    } else {
        target = clientsTarget(fault.m_subject);
    }
    disrupt(place, fault.m_subject, fault);
    setLink(target, fault.m_link);
    later(fault.m_length, [this, target] { setLink(target, RelayFault{}); });
}

void Fleet::setLink(size_t target, const RelayFault &fault, std::optional<size_t> source)
{
    const auto set = [&](const RelayFault &link) {
        if (source)
            m_relay.setSourceFault(link, target, *source);
        else
            m_relay.setFault(link, target);
    };
    // No network gives the bytes of a connection with a hole in them: what has lost some is over.
    RelayFault reset;
    reset.m_mode = standin::RelayMode::Reset;
    const auto isSet = [&](const auto &entry) {
        return entry.first == target && (!source || !entry.second || entry.second == source);
    };
    if (std::erase_if(m_swallowing, isSet) > 0)
        set(reset);
    if (fault.m_mode == standin::RelayMode::HalfOpen)
        m_swallowing.emplace(target, source);
    set(fault);
}

void Fleet::applyStore(const Fault &fault)
{
    disrupt(Place::Store, 0, fault);
    const auto modeFor = [&](StoreMode mode) {
        m_store->setMode(mode);
        later(fault.m_length, [this] { m_store->setMode(StoreMode::Up); });
    };
    if (fault.m_kind == FaultKind::StoreBusy) {
        modeFor(StoreMode::Busy);
    } else if (fault.m_kind == FaultKind::StoreSilent) {
        modeFor(StoreMode::Silent);
    } else if (fault.m_kind == FaultKind::StoreLosesWrites) {
        modeFor(StoreMode::LosesWrites);
    } else if (fault.m_kind == FaultKind::StoreDropsHistory) {
        m_store->compact();
    } else {
        m_store->setDeaf(true);
        later(fault.m_length, [this] { m_store->setDeaf(false); });
    }
}

void Fleet::applyWorker(const Fault &fault)
{
    if (fault.m_kind == FaultKind::WorkerSwap)
        return swapWorkers(fault);
    Slot &slot = *m_slots[fault.m_subject];
    if (!slot.m_worker || slot.m_leaving)
        return;
    if (fault.m_kind == FaultKind::WorkerCrash)
        crash(fault, slot, slot.m_service);
    else
        leave(fault, slot);
}

void Fleet::crash(const Fault &fault, Slot &slot, const std::string &serviceAfter)
{
    disrupt(Place::Worker, slot.m_index, fault);
    endWorker(slot);
    later(EntryOutlivesCrash, [this, worker = slot.m_id] { removeEntry(worker); });
    later(fault.m_length, [this, &slot, serviceAfter] { startWorker(slot, serviceAfter); });
}

void Fleet::swapWorkers(const Fault &fault)
{
    Slot &plain = *m_slots[fault.m_subject % PlainWorkers];
    Slot &model = *m_slots[PlainWorkers + SpareWorkers + fault.m_subject % ModelWorkers];
    if (!plain.m_worker || !model.m_worker || plain.m_leaving || model.m_leaving)
        return;
    const std::string first = plain.m_service;
    const std::string second = model.m_service;
    crash(fault, plain, second);
    crash(fault, model, first);
}

void Fleet::leave(const Fault &fault, Slot &slot)
{
    slot.m_leaving = true;
    const std::string worker = slot.m_id;
    const bool said = fault.m_kind == FaultKind::WorkerLeaves;
    if (said) {
        describeWorker(slot, "draining");
        for (SeenWorker &one : m_seen.m_workers) {
            if (one.m_id == worker)
                one.m_leaving = now();
        }
    } else {
        removeEntry(worker);
    }
    later(ServesOnAtLeast, [this, &slot, worker] {
        removeEntry(worker);
        endWorker(slot);
    });
    later(fault.m_length, [this, &slot] { startWorker(slot, slot.m_service); });
}

void Fleet::failWorker(const Fault &fault, Slot &slot)
{
    if (!slot.m_worker)
        return;
    disrupt(Place::Worker, slot.m_index, fault);
    slot.m_worker->m_failingPercent = fault.m_percent;
    later(fault.m_length, [&slot, worker = slot.m_id] {
        if (slot.m_worker && slot.m_id == worker)
            slot.m_worker->m_failingPercent = 0;
    });
}

void Fleet::cutVm(const Fault &fault)
{
    disrupt(Place::Vm, fault.m_subject, fault);
    const auto set = [this, fault](const RelayFault &link) {
        for (const auto &slot : m_slots) {
            if (!fault.m_worker || *fault.m_worker == slot->m_index)
                setLink(workerTarget(m_vms.size(), slot->m_index), link, fault.m_subject);
        }
    };
    set(fault.m_link);
    later(fault.m_length, [set] { set({}); });
}

void Fleet::killTogether(const Fault &fault)
{
    constexpr Millis JustAfter{ 50 };
    for (size_t i = 0; i < fault.m_count; ++i)
        kill((fault.m_subject + i) % m_vms.size());
    later(JustAfter, [this, fault] {
        constexpr Millis LeaveTime{ 5'500 };
        Fault leaves;
        leaves.m_kind = FaultKind::WorkerLeaves;
        leaves.m_subject = *fault.m_worker;
        leaves.m_length = LeaveTime;
        applyWorker(leaves);
    });
}

void Fleet::pauseWorkers(const Fault &fault)
{
    constexpr size_t Percent = 100;
    std::vector<Slot *> serving;
    for (const auto &slot : m_slots) {
        if (slot->m_worker && slot->m_service == fault.m_service)
            serving.push_back(slot.get());
    }
    const size_t count = (serving.size() * fault.m_percent + Percent - 1) / Percent;
    for (size_t i = 0; i < count; ++i)
        pauseWorker(fault, *serving[(fault.m_subject + i) % serving.size()]);
    if (fault.m_service == "model")
        pauseWorker(fault, *m_slots[SoleWorker]);
}

void Fleet::pauseWorker(const Fault &fault, Slot &slot)
{
    disrupt(Place::WorkerPause, slot.m_index, fault);
    slot.m_worker->m_standin.setPaused(true);
    later(fault.m_length, [&slot, worker = slot.m_id] {
        if (slot.m_worker && slot.m_id == worker)
            slot.m_worker->m_standin.setPaused(false);
    });
}

void Fleet::applyProcess(const Fault &fault)
{
    const size_t vm = fault.m_subject;
    if (fault.m_kind == FaultKind::Terminate)
        return terminate(vm);
    if (fault.m_kind == FaultKind::Kill)
        return kill(vm);
    if (fault.m_kind == FaultKind::Freeze)
        return freeze(fault);
    if (fault.m_kind == FaultKind::Settings || fault.m_kind == FaultKind::BadSettings)
        return changeSettings(fault);
    const Millis gap = fault.m_kind == FaultKind::TerminateInTurn ? TurnGap : Millis(0);
    for (size_t i = 0; i + 1 < m_vms.size(); ++i)
        later(gap * i, [this, one = (vm + i) % m_vms.size()] { terminate(one); });
}

void Fleet::terminate(size_t index)
{
    Vm &vm = *m_vms[index];
    if (!vm.m_process || vm.m_terminated)
        return;
    vm.m_terminated = now();
    vm.m_process->signal(SIGTERM);
}

void Fleet::kill(size_t index)
{
    Vm &vm = *m_vms[index];
    if (!vm.m_process || vm.m_killed)
        return;
    vm.m_killed = now();
    vm.m_process->signal(SIGKILL);
}

void Fleet::freeze(const Fault &fault)
{
    Vm &vm = *m_vms[fault.m_subject];
    if (!vm.m_process || vm.m_frozen)
        return;
    disrupt(Place::Vm, fault.m_subject, fault);
    vm.m_frozen = true;
    vm.m_process->signal(SIGSTOP);
    later(fault.m_length, [&vm, start = vm.m_starts] {
        if (vm.m_process && vm.m_starts == start)
            vm.m_process->signal(SIGCONT);
        vm.m_frozen = false;
    });
}

void Fleet::changeSettings(const Fault &fault)
{
    const size_t index = fault.m_subject;
    ++m_settingsChanges;
    const auto change = [this, index](bool readable) {
        writeSettings(index, readable);
        if (m_vms[index]->m_process)
            m_vms[index]->m_process->signal(SIGHUP);
    };
    if (fault.m_kind == FaultKind::Settings)
        return change(true);
    change(false);
    later(fault.m_length, [change] { change(true); });
}

void Fleet::changeConfiguration(const Fault &fault, TrafficSource &traffic)
{
    if (fault.m_kind == FaultKind::Route) {
        m_movedToSpare = !m_movedToSpare;
        return declare();
    }
    const std::string replaced = keyNamed(m_key++);
    declare();
    traffic.setKeys({ keyNamed(m_key), replaced });
}

void Fleet::tick()
{
    while (!m_due.empty() && m_due.begin()->first <= now()) {
        const auto action = std::move(m_due.begin()->second);
        m_due.erase(m_due.begin());
        action();
    }
    for (size_t i = 0; i < m_vms.size(); ++i)
        watchProcess(i);
    if (now() - m_memoryLooked >= MemoryPeriod)
        lookAtMemory();
}

void Fleet::watchProcess(size_t index)
{
    Vm &vm = *m_vms[index];
    if (!vm.m_process)
        return;
    const auto exit = vm.m_process->awaitExit(Millis(0));
    if (exit)
        return noteExit(index, *exit);
    if (!vm.m_terminated || vm.m_killed || now() < *vm.m_terminated + m_bounds.m_grace)
        return;
    vm.m_overdue = true;
    kill(index);
}

void Fleet::noteExit(size_t index, const ProcessExit &exit)
{
    Vm &vm = *m_vms[index];
    const Millis at = now();
    m_seen.m_exits.push_back({ index, at, exit.m_status, exit.m_signal, vm.m_terminated,
                               vm.m_killed && !vm.m_overdue, vm.m_overdue });
    const Millis until = at + RestartPause;
    if (vm.m_terminated)
        m_seen.m_disruptions.push_back(
            { Place::Vm, index, *vm.m_terminated, until, true, "SIGTERM" });
    // A daemon that overstays its grace is cut by its own fault: that excuses nothing.
    if (vm.m_killed && !vm.m_overdue)
        m_seen.m_disruptions.push_back({ Place::Vm, index, *vm.m_killed, until, false, "SIGKILL" });
    keepLog(vm);
    vm.m_process.reset();
    if (m_ending)
        return;
    later(RestartPause, [this, index] {
        const Status started = startVm(index);
        if (!started)
            log(LogPart::Standin).error("Cannot start. error={}", toString(started.error()));
    });
}

void Fleet::keepLog(const Vm &vm) const
{
    std::ofstream file(fmt::format("{}/{}-{}.log", m_directory, vm.m_name, vm.m_starts));
    for (const std::string &line : vm.m_process->lines())
        file << line << "\n";
}

void Fleet::lookAtMemory()
{
    m_memoryLooked = now();
    for (const auto &slot : m_slots) {
        if (!slot->m_worker)
            continue;
        uint64_t tokens = 0;
        for (const auto &[id, reservation] : slot->m_worker->m_standin.reservations())
            tokens += reservation.m_tokens;
        if (tokens > 0)
            m_seen.m_memory.push_back({ m_memoryLooked, slot->m_id, slot->m_index, tokens });
    }
}

void Fleet::endAll()
{
    m_ending = true;
    for (size_t i = 0; i < m_vms.size(); ++i)
        terminate(i);
}

bool Fleet::allEnded() const
{
    return std::all_of(m_vms.begin(), m_vms.end(),
                       [](const auto &vm) { return vm->m_process == nullptr; });
}

void Fleet::report(Observations &seen)
{
    for (const auto &slot : m_slots) {
        if (slot->m_worker)
            collectRuns(*slot, std::nullopt);
    }
    std::vector<SentRequest> requests = std::move(seen.m_requests);
    seen = m_seen;
    seen.m_requests = std::move(requests);
}

} // namespace stackquay::soak
