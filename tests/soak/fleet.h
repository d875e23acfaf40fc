/// The deployment that a run of the soak disturbs: real daemons, each a process of its own, and
/// stand-ins of the store and the workers behind relays of this process.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "platform/standin/store_standin.h"
#include "platform/standin/worker_standin.h"
#include "standin/fault_relay.h"
#include "standin/hosted.h"
#include "tests/soak/observations.h"
#include "tests/soak/schedule.h"
#include "tests/soak/socket_owners.h"
#include "tests/soak/traffic.h"
#include "tests/support/process.h"

namespace stackquay::soak {

/// Used by one thread. Its destructor ends the processes that it started, and no others.
class Fleet
{
public:
    /// Settings and logs go to @p directory, which exists; @p daemon is a path, or a name beside.
    Fleet(const Schedule &schedule, std::string directory, std::string daemon);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Starts all parts; the first error otherwise.
    Status start();
    std::vector<ClientsDoor> doors() const;
    /// From here on times are observed.
    void begin(TimePoint start);
    void apply(const Fault &fault, TrafficSource &traffic);
    /// What has come due: ends of faults, restarts, memory to look at.
    void tick();
    /// SIGTERM to all daemons, which may take their grace. True once all have ended.
    void endAll();
    bool allEnded() const;
    /// Adds what workers, processes and the operator saw.
    void report(Observations &seen);

private:
    struct Vm;
    struct Slot;

    Status startRelays();
    /// The VM whose process connected from the port @p from to @p to.
    std::optional<size_t> vmOf(uint16_t from, uint16_t to) const;
    Status startVm(size_t index);
    void writeSettings(size_t index, bool readable = true);
    void declare();
    void startWorker(Slot &slot, const std::string &service);
    void endWorker(Slot &slot);
    void describeWorker(const Slot &slot, const std::string &state);
    void removeEntry(const std::string &worker);
    void collectRuns(const Slot &slot, std::optional<TimePoint> cut);
    void applyLink(const Fault &fault);
    /// Of the connections of the VM @p source only, if given.
    void setLink(size_t target, const standin::RelayFault &fault,
                 std::optional<size_t> source = std::nullopt);
    void applyStore(const Fault &fault);
    void applyWorker(const Fault &fault);
    void crash(const Fault &fault, Slot &slot, const std::string &serviceAfter);
    void leave(const Fault &fault, Slot &slot);
    void failWorker(const Fault &fault, Slot &slot);
    void cutVm(const Fault &fault);
    void killTogether(const Fault &fault);
    void pauseWorkers(const Fault &fault);
    void pauseWorker(const Fault &fault, Slot &slot);
    void swapWorkers(const Fault &fault);
    void applyProcess(const Fault &fault);
    void changeSettings(const Fault &fault);
    void terminate(size_t vm);
    void kill(size_t vm);
    void freeze(const Fault &fault);
    void changeConfiguration(const Fault &fault, TrafficSource &traffic);
    void watchProcess(size_t index);
    void noteExit(size_t index, const ProcessExit &exit);
    void keepLog(const Vm &vm) const;
    void lookAtMemory();
    void later(Millis delay, std::function<void()> action);
    void disrupt(Place place, size_t subject, const Fault &fault);
    Millis now() const;
    Millis since(TimePoint at) const;

    const Schedule m_schedule;
    const std::string m_directory;
    const std::string m_daemon;
    const Bounds m_bounds;
    TimePoint m_begun;
    SocketOwners m_owners; ///< Of the daemons' processes.
    FiberThread m_relayThread{ "relays" };
    standin::FaultRelay m_relay{ m_relayThread };
    standin::Hosted<platform::StoreStandin> m_store;
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::vector<std::unique_ptr<Slot>> m_slots;
    /// Targets of the relay, and sources if set apart, whose connections lose bytes.
    std::set<std::pair<size_t, std::optional<size_t>>> m_swallowing;
    std::multimap<Millis, std::function<void()>> m_due;
    Observations m_seen;
    uint64_t m_version = 0;
    uint64_t m_key = 0;
    bool m_movedToSpare = false;
    uint64_t m_settingsChanges = 0;
    uint64_t m_workersStarted = 0;
    uint16_t m_nextPort = 0;
    Millis m_memoryLooked{ 0 };
    bool m_ending = false;
};

} // namespace stackquay::soak
