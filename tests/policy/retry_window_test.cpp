#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(1'000);
const ServiceId Plain{ "plain" };

// Three VMs enforce the budget independently; the fleet's retries in any window stay within ratio
// and slack.
TEST(RetryWindowTest, FleetStaysWithinItsBudgetInAnyWindow)
{
    constexpr uint32_t Vms = 3;
    constexpr double Ratio = 0.2;
    constexpr double Slack = 30;
    constexpr Duration Window = Seconds(10);
    std::vector<RetryWindows> vms(Vms);
    for (RetryWindows &vm : vms)
        vm.m_settings = { Ratio, Slack, Vms, Window, 0.8 };
    RandomEngine random(7);
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;
    TimePoint now = Start;
    for (int i = 0; i < 6'000; ++i) {
        now += Millis(std::uniform_int_distribution<int>(0, i % 900 < 300 ? 4 : 40)(random));
        RetryWindows &vm = vms[random() % Vms];
        countArrival(vm, Plain, now);
        requests.push_back(now);
        for (int attempt = 0; attempt < 3; ++attempt) {
            if (spendRetryBudget(vm, Plain, now))
                retries.push_back(now);
        }
    }
    for (size_t first = 0; first < retries.size(); ++first) {
        const TimePoint from = retries[first];
        const auto inWindow = [&](const std::vector<TimePoint> &times, TimePoint start) {
            return std::lower_bound(times.begin(), times.end(), start + Window)
                   - std::lower_bound(times.begin(), times.end(), start);
        };
        const auto requestCount =
            std::max({ inWindow(requests, from), inWindow(requests, from - Window),
                       inWindow(requests, from - Window / 2) });
        EXPECT_LE(inWindow(retries, from), Ratio * double(requestCount) + Slack);
    }
    EXPECT_GT(retries.size(), 500u);
}

TEST(RetryWindowTest, BudgetsOfServicesAreIndependent)
{
    RetryWindows windows;
    windows.m_settings = { 0, 2, 1, Seconds(10), 1 };
    EXPECT_TRUE(spendRetryBudget(windows, Plain, Start));
    EXPECT_TRUE(spendRetryBudget(windows, Plain, Start));
    EXPECT_FALSE(spendRetryBudget(windows, Plain, Start));
    EXPECT_TRUE(spendRetryBudget(windows, ServiceId("other"), Start));
    EXPECT_TRUE(spendRetryBudget(windows, Plain, Start + Seconds(11)));
}

} // namespace
} // namespace stackquay
