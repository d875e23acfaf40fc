/// A simulated data centre for the slices of one customer's limit: processes with drifting clocks
/// that pause, die and are replaced; messages that are lost, repeated and late; a store with lost
/// answers and outages; and views that differ on who the steward is.
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
    /// Lends whenever its view says so, once a slice's life has passed since the view changed; a
    /// node counts from the receipt and falls back at once.
    Naive,
    /// As Real, but with that same wait in place of the tenure.
    WaitOnly,
};

struct SliceFaults {
    double m_loss = 0;
    double m_repeat = 0;
    double m_late = 0; ///< Fraction of messages that take up to m_longestDelay.
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

    /// Runs on for this many seconds.
    void run(double seconds);

    /// The sum of what all living processes may use now.
    LimitAmount sumUsable();
    LimitAmount usableOf(size_t slot);
    /// Checks after which the sum was above the limit.
    int violations() const { return m_violations; }
    void setDemand(size_t slot, const LimitAmount &demand) { m_demand[slot] = demand; }
    void setStoreDown(bool down) { m_storeDown = down; }
    void setView(size_t slot) { m_commonView = slot; }
    void kill(size_t slot);
    /// The slot of the process that may lend now, if there is one.
    std::optional<size_t> lendingSlot();

    const LimitAmount m_limit{ 1'000, 23 };

private:
    struct Process {
        uint64_t m_id = 0;
        double m_offset = 0;
        double m_rate = 1;
        double m_pausedUntil = 0;
        SliceHolder m_holder;
        SliceLender m_lender;
        Tenure m_tenure;
        bool m_lending = false;
        bool m_storeBusy = false;
        uint64_t m_askedHandover = 0; ///< Number of the open question; 0: none.
        TimePoint m_askedAt{};
        size_t m_view = 0;
        TimePoint m_viewSince{};
        // Naive variant only.
        std::map<SliceNodeId, std::pair<LimitAmount, TimePoint>> m_naiveLent;
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
    void answerAsk(Process &steward, size_t slot, const SliceAsk &ask);
    void answerNaiveAsk(Process &steward, size_t slot, const SliceAsk &ask);
    void takeTenure(Process &process, const std::vector<LentSlice> &slices);
    void askHandover(size_t slot, Process &process);
    void answerHandover(Process &holder, size_t slot, uint64_t number);
    void readStore(size_t slot, Process &process);
    void writeStore(size_t slot, Process &process, const TenureWrite &write);
    bool storeUp() { return !m_storeDown && !chance(m_faults.m_storeOutage); }

    SliceVariant m_variant;
    SliceFaults m_faults;
    RandomEngine m_random;
    double m_now = 100;
    uint64_t m_order = 0;
    uint64_t m_lastId = 0;
    uint64_t m_lastQuestion = 0;
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<Process>> m_slots;
    std::vector<LimitAmount> m_demand;
    SliceSettings m_settings;
    TenureSettings m_tenureSettings;
    SliceLimits m_limits;
    size_t m_commonView = 0;
    bool m_storeDown = false;
    uint64_t m_storeVersion = 0;
    TenureRecord m_storeRecord;
    int m_violations = 0;
};

} // namespace stackquay
