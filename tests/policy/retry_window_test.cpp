#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(1'000);
const ServiceId Plain{ "plain" };

// Three VMs, each on its own: the fleet's repeats in any window stay within ratio and slack.
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
    std::vector<TimePoint> repeats;
    TimePoint now = Start;
    for (int i = 0; i < 6'000; ++i) {
        now += Millis(std::uniform_int_distribution<int>(0, i % 900 < 300 ? 4 : 40)(random));
        RetryWindows &vm = vms[random() % Vms];
        countArrival(vm, Plain, now);
        requests.push_back(now);
        for (int tries = 0; tries < 3; ++tries) {
            if (takeRepeat(vm, Plain, now))
                repeats.push_back(now);
        }
    }
    for (size_t first = 0; first < repeats.size(); ++first) {
        const TimePoint from = repeats[first];
        const auto inWindow = [&](const std::vector<TimePoint> &moments, TimePoint start) {
            return std::lower_bound(moments.begin(), moments.end(), start + Window)
                   - std::lower_bound(moments.begin(), moments.end(), start);
        };
        const auto asked = std::max({ inWindow(requests, from), inWindow(requests, from - Window),
                                      inWindow(requests, from - Window / 2) });
        EXPECT_LE(inWindow(repeats, from), Ratio * double(asked) + Slack);
    }
    EXPECT_GT(repeats.size(), 500u);
}

TEST(RetryWindowTest, BudgetsOfServicesAreApart)
{
    RetryWindows windows;
    windows.m_settings = { 0, 2, 1, Seconds(10), 1 };
    EXPECT_TRUE(takeRepeat(windows, Plain, Start));
    EXPECT_TRUE(takeRepeat(windows, Plain, Start));
    EXPECT_FALSE(takeRepeat(windows, Plain, Start));
    EXPECT_TRUE(takeRepeat(windows, ServiceId("other"), Start));
    EXPECT_TRUE(takeRepeat(windows, Plain, Start + Seconds(11)));
}

} // namespace
} // namespace stackquay
