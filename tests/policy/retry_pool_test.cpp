#include <functional>

#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(1'000);
const ServiceId Model{ "model" };
constexpr double Ratio = 0.2;
constexpr Duration Window = Seconds(10);
constexpr Duration Played = Seconds(80);
constexpr Millis Step{ 20 };
constexpr size_t Holders = 2;

/// A fleet in virtual time: groups of VMs of one data centre and cell, whose requests need a retry
/// with a fixed probability.
class Fleet
{
public:
    struct Vm {
        RetryWindows m_windows;
        RetryDepositor m_depositor;
        RetryPool m_pool;
        std::vector<size_t> m_holders; ///< Indices in the group.
        bool m_alive = true;
        uint64_t m_process = 1;
    };
    using Group = std::vector<Vm>;

    Fleet(size_t vms, size_t groupSize, double slack, bool pooled)
        : m_slack(slack)
        , m_pooled(pooled)
    {
        const auto sharing = static_cast<uint32_t>(static_cast<double>(vms) * 1.5) + 1;
        for (size_t first = 0; first < vms; first += groupSize) {
            Group group(std::min(groupSize, vms - first));
            for (Vm &vm : group) {
                vm.m_windows.m_settings = { Ratio, slack, sharing, Window, 0.8 };
                vm.m_holders = holdersAmong(group, 0, group.size());
            }
            m_groups.push_back(std::move(group));
        }
    }

    /// The ablest live VMs from @p first to @p last.
    static std::vector<size_t> holdersAmong(const Group &group, size_t first, size_t last)
    {
        std::vector<size_t> holders;
        for (size_t i = first; i < last && holders.size() < Holders; ++i) {
            if (group[i].m_alive)
                holders.push_back(i);
        }
        return holders;
    }

    void play(double requestsPerVm, double failing)
    {
        const double perStep = requestsPerVm * std::chrono::duration<double>(Step).count();
        for (TimePoint now = Start; now < Start + Played; now += Step) {
            disturb(now - Start);
            for (Group &group : m_groups) {
                for (size_t i = 0; i < group.size(); ++i)
                    step(group, i, perStep, failing, now);
            }
        }
    }

    double share() const { return double(m_retries.size()) / double(m_wanted); }

    /// Whether no window holds more retries than the users allow.
    bool staysWithinBudget() const
    {
        const auto inWindow = [](const std::vector<TimePoint> &times, TimePoint start) {
            return std::lower_bound(times.begin(), times.end(), start + Window)
                   - std::lower_bound(times.begin(), times.end(), start);
        };
        for (const TimePoint from : m_retries) {
            const auto requests =
                std::max({ inWindow(m_requests, from), inWindow(m_requests, from - Window),
                           inWindow(m_requests, from - Window / 2) });
            if (double(inWindow(m_retries, from)) > Ratio * double(requests) + m_slack)
                return false;
        }
        return true;
    }

    /// Called with the time since the start before each step.
    std::function<void(std::vector<Group> &groups, Duration since)> m_disturb;

private:
    void disturb(Duration since)
    {
        if (m_disturb)
            m_disturb(m_groups, since);
    }

    static uint64_t originOf(const Group &group, size_t index)
    {
        return group[index].m_process * 10'000 + index + 1;
    }

    void step(Group &group, size_t index, double perStep, double failing, TimePoint now)
    {
        Vm &vm = group[index];
        if (!vm.m_alive)
            return;
        if (m_pooled && (now - Start) % RetryDepositPeriod == Duration::zero())
            deposit(group, index, now);
        std::uniform_real_distribution<double> draw(0, 1);
        if (draw(m_random) >= perStep)
            return;
        countArrival(vm.m_windows, Model, now);
        m_requests.push_back(now);
        if (draw(m_random) >= failing)
            return;
        ++m_wanted;
        if (spend(group, index, now))
            m_retries.push_back(now);
    }

    void deposit(Group &group, size_t index, TimePoint now)
    {
        Vm &vm = group[index];
        if (vm.m_holders.empty() || !poolsRetries(vm.m_windows.m_settings))
            return;
        size_t holder = vm.m_holders[index % vm.m_holders.size()];
        for (const size_t known : vm.m_holders) {
            if (originOf(group, known) == vm.m_depositor.m_holder)
                holder = known;
        }
        if (!mayDeposit(vm.m_depositor, vm.m_windows, originOf(group, holder), now))
            return;
        if (group[holder].m_alive)
            receiveDeposit(group[holder].m_pool, originOf(group, index),
                           ownDeposit(vm.m_windows, now), now);
    }

    bool spend(Group &group, size_t index, TimePoint now)
    {
        Vm &vm = group[index];
        const RetryWindowSettings &settings = vm.m_windows.m_settings;
        const bool pools = m_pooled && poolsRetries(settings);
        if ((!pools || ownsItsPart(vm.m_depositor, settings, now))
            && spendRetryBudget(vm.m_windows, Model, now))
            return true;
        if (!pools)
            return false;
        return std::any_of(vm.m_holders.begin(), vm.m_holders.end(), [&](size_t holder) {
            return group[holder].m_alive && grantRetry(group[holder].m_pool, settings, Model, now);
        });
    }

    const double m_slack;
    const bool m_pooled;
    std::vector<Group> m_groups;
    RandomEngine m_random{ 17 };
    std::vector<TimePoint> m_requests;
    std::vector<TimePoint> m_retries;
    size_t m_wanted = 0;
};

struct Size {
    size_t m_vms;
    size_t m_groupSize;
    double m_slack;
};

/// The first holder of each group ends, is known to have ended after 5 s, and returns as another
/// process. Later each group is cut into halves, which know each other's VMs as gone after 5 s.
void endHoldersAndCut(std::vector<Fleet::Group> &groups, Duration since)
{
    const auto at = [since](Seconds time) { return since == Duration(time); };
    for (Fleet::Group &group : groups) {
        const size_t half = group.size() / 2;
        const auto setHolders = [&](size_t first, size_t last) {
            const auto holders = Fleet::holdersAmong(group, first, last);
            for (size_t i = first; i < last; ++i)
                group[i].m_holders = holders;
        };
        if (at(Seconds(20))) {
            group.front().m_alive = false;
        } else if (at(Seconds(25))) {
            setHolders(0, group.size());
        } else if (at(Seconds(30))) {
            ++group.front().m_process;
            group.front().m_alive = true;
            group.front().m_pool = {};
            group.front().m_windows.m_services.clear();
            group.front().m_depositor = {};
            setHolders(0, group.size());
        } else if (at(Seconds(45))) {
            setHolders(0, half);
            setHolders(half, group.size());
        } else if (at(Seconds(60))) {
            setHolders(0, group.size());
        }
    }
}

TEST(RetryPoolTest, LargeFleetUsesItsBudgetAndStaysWithinIt)
{
    constexpr double RequestsPerVm = 0.163;
    constexpr double Failing = 0.25;
    for (const Size &size : { Size{ 985, 25, 1'040 }, Size{ 1'970, 25, 2'080 } }) {
        Fleet alone(size.m_vms, size.m_groupSize, size.m_slack, false);
        alone.play(RequestsPerVm, Failing);
        Fleet pooled(size.m_vms, size.m_groupSize, size.m_slack, true);
        pooled.play(RequestsPerVm, Failing);
        EXPECT_TRUE(pooled.staysWithinBudget()) << size.m_vms;
        EXPECT_GT(pooled.share(), 0.9) << size.m_vms;
        EXPECT_LT(alone.share(), 0.5) << size.m_vms << ": no need for a pool";
    }
}

TEST(RetryPoolTest, SumStaysWithinTheBudgetWhileHoldersEndAndDataCentresAreCut)
{
    for (const Size &size : { Size{ 72, 24, 20 }, Size{ 985, 25, 1'040 }, Size{ 985, 25, 100 },
                              Size{ 1'970, 25, 1'040 } }) {
        for (const double failing : { 0.25, 1.0 }) {
            Fleet fleet(size.m_vms, size.m_groupSize, size.m_slack, true);
            fleet.m_disturb = endHoldersAndCut;
            fleet.play(0.163, failing);
            EXPECT_TRUE(fleet.staysWithinBudget()) << size.m_vms << " " << failing;
        }
    }
}

TEST(RetryPoolTest, SmallFleetsDoNotPool)
{
    RetryWindowSettings settings{ Ratio, 100, 10, Window, 0.8 }; // 6 VMs.
    EXPECT_FALSE(poolsRetries(settings));
    settings = { Ratio, 248, 130, Window, 0.8 }; // 86 VMs.
    EXPECT_FALSE(poolsRetries(settings));
    settings = { Ratio, 1'040, 1'478, Window, 0.8 }; // 985 VMs.
    EXPECT_TRUE(poolsRetries(settings));
}

TEST(RetryPoolTest, VmThatChangesItsHolderWaitsUntilTheFormerOneCannotUseItsPart)
{
    RetryWindows windows;
    windows.m_settings = { Ratio, 1'040, 1'478, Window, 0.8 };
    RetryDepositor depositor;
    EXPECT_TRUE(ownsItsPart(depositor, windows.m_settings, Start));
    EXPECT_TRUE(mayDeposit(depositor, windows, 1, Start));
    EXPECT_FALSE(ownsItsPart(depositor, windows.m_settings, Start));
    EXPECT_FALSE(mayDeposit(depositor, windows, 2, Start + Seconds(13)));
    EXPECT_TRUE(mayDeposit(depositor, windows, 2, Start + RetryDepositTime + Window));
}

TEST(RetryPoolTest, VmThatSpentItsPartDoesNotDepositItWithinTheWindow)
{
    RetryWindows windows;
    windows.m_settings = { Ratio, 2, 1, Window, 1 };
    ASSERT_TRUE(spendRetryBudget(windows, Model, Start));
    RetryDepositor depositor;
    EXPECT_FALSE(mayDeposit(depositor, windows, 1, Start + Seconds(9)));
    EXPECT_TRUE(mayDeposit(depositor, windows, 1, Start + Seconds(11)));
}

} // namespace
} // namespace stackquay
