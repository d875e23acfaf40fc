/// Simulates the slices of one customer's limit in one data centre: processes with drifting clocks
/// that pause, die and are replaced; lost, duplicated and delayed messages; a store with lost
/// answers and outages; and processes that disagree on which one is the steward.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "policy/policy.h"

namespace stackquay {

enum class SliceVariant {
    Real,
    /// The steward grants slices without a lease, once its view has named it for longer than the
    /// life of a slice. A node counts that life from receipt and uses its fallback amount at once
    /// after it.
    Naive,
    /// As Real, but the steward waits as in Naive instead of holding the leader lease.
    WaitInsteadOfLease,
};

struct SliceFaults {
    double m_loss = 0;
    double m_duplicate = 0;
    double m_delayed = 0; ///< Fraction of messages that take up to m_longestDelay.
    double m_longestDelay = 25; ///< Seconds.
    double m_pausesPerSecond = 0; ///< Of each process.
    double m_deathsPerSecond = 0;
    double m_viewChangesPerSecond = 0;
    double m_storeOutage = 0; ///< Fraction of the time.
    double m_drift = 0.01;
};

class SliceSim
{
public:
    static constexpr uint32_t NodeCount = 5;
    static constexpr double Reserved = 0.5;

    SliceSim(SliceVariant variant, const SliceFaults &faults, uint64_t seed);

    /// Continues the simulation for this many simulated seconds.
    void run(double seconds);

    /// The sum of what all running processes may use now.
    LimitAmount sumUsable();
    LimitAmount usableOf(size_t slot);
    /// Number of checks that found the sum above the limit.
    int violations() const { return m_violations; }
    void setDemand(size_t slot, const LimitAmount &demand) { m_demand[slot] = demand; }
    void setStoreDown(bool down) { m_storeDown = down; }
    void setView(size_t slot) { m_commonView = slot; }
    void kill(size_t slot);
    /// The slot of the process that may grant slices now; no value if there is none.
    std::optional<size_t> allocatingSlot();

    const LimitAmount m_limit{ 1'000, 23 };

private:
    struct Process {
        uint64_t m_id = 0;
        double m_offset = 0;
        double m_rate = 1;
        double m_pausedUntil = 0;
        SliceHolder m_holder;
        SliceAllocator m_allocator;
        LeaderLease m_lease;
        bool m_allocating = false;
        bool m_storeBusy = false;
        uint64_t m_handoverRequest = 0; ///< Number of the open handover request; 0: none.
        TimePoint m_handoverRequestedAt{};
        size_t m_view = 0;
        TimePoint m_viewSince{};
        // Used by the naive variant only.
        std::map<SliceNodeId, std::pair<LimitAmount, TimePoint>> m_naiveGrants;
        LimitAmount m_naiveSlice;
        TimePoint m_naiveExpiry{};
    };
    using Handler = std::function<void(Process &)>;
    struct Event {
        double m_time = 0;
        uint64_t m_order = 0;
        std::function<void()> m_run;
        bool operator<(const Event &other) const
        {
            return std::pair(other.m_time, other.m_order) < std::pair(m_time, m_order);
        }
    };

    double uniform(double from, double to);
    bool chance(double probability);
    TimePoint clock(const Process &process) const;
    void at(double time, std::function<void()> run);
    void deliver(size_t slot, uint64_t id, double delay, Handler handler);
    void send(size_t slot, Handler handler);
    double messageDelay();
    void start(size_t slot);
    void tick(size_t slot, uint64_t id);
    void check();

    void stepView(Process &process);
    void stepSteward(size_t slot, Process &process);
    void stepNode(size_t slot, Process &process);
    void stepNaiveNode(size_t slot, Process &process);
    void answerSliceRequest(Process &steward, size_t slot, const SliceRequest &request);
    void answerNaiveRequest(Process &steward, size_t slot, const SliceRequest &request);
    void applyLeaderLease(Process &process, const std::vector<OutstandingSlice> &slices);
    void requestHandover(size_t slot, Process &process);
    void answerHandoverRequest(Process &holder, size_t slot, uint64_t number);
    void readStore(size_t slot, Process &process);
    void writeStore(size_t slot, Process &process, const LeaderLeaseWrite &write);
    bool storeUp() { return !m_storeDown && !chance(m_faults.m_storeOutage); }

    SliceVariant m_variant;
    SliceFaults m_faults;
    RandomEngine m_random;
    double m_now = 100;
    uint64_t m_order = 0;
    uint64_t m_lastId = 0;
    uint64_t m_lastHandoverRequest = 0;
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<Process>> m_slots;
    std::vector<LimitAmount> m_demand;
    SliceSettings m_settings;
    LeaderLeaseSettings m_leaseSettings;
    SliceLimits m_limits;
    size_t m_commonView = 0;
    bool m_storeDown = false;
    uint64_t m_storeVersion = 0;
    LeaderLeaseRecord m_storeRecord;
    int m_violations = 0;
};

} // namespace stackquay
