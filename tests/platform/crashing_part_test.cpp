// A part of prompts that crashes each engine which begins to write an answer on it.
#include <atomic>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "crashing_engines.h"

namespace stackquay::platform {
namespace {

constexpr size_t Engines = 10;
constexpr const char *SharedPart = "5c1e07a2:40";
constexpr const char *CrashingPart = "91bd3f06:410";
/// A part that crashes engines as the last one of a list is not meant by the promises tested here.
constexpr const char *CrashBody = "a prompt that crashes its engine by its own part";
/// Ends after which the promises count.
constexpr size_t CountedEnds = 5;
constexpr ptrdiff_t MaxLaterArrivals = 3;

bool hasCrashingPart(const HttpRequest &request)
{
    const std::string_view parts = findHeader(request.m_headers, "X-Prompt-Prefix");
    return parts.find(CrashingPart) != std::string_view::npos || request.m_body == CrashBody;
}

class CrashingPartTest : public testing::Test
{
protected:
    void start(size_t daemons)
    {
        m_deployment.declare(1);
        m_engines.start(Engines);
        for (size_t i = 0; i < daemons; ++i)
            m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
        ASSERT_TRUE(m_deployment.awaitPeers());
        ASSERT_TRUE(eventually([this] { return m_deployment.poolSize("model") == Engines; }));
    }

    void TearDown() override
    {
        m_engines.stop();
        m_deployment.m_daemons.clear();
    }

    /// A request that differs from all others, and lists @p parts before its own part.
    ClientRequest question(const std::string &parts)
    {
        const size_t number = ++m_questions;
        ClientRequest request = streamRequest("/once/x");
        request.m_body = fmt::format("prompt {}", number);
        request.m_id = fmt::format("question-{}", number);
        request.m_headers.push_back(
            { "X-Prompt-Prefix", fmt::format("{},{:08x}:250", parts, number) });
        return request;
    }

    ClientRequest crashingQuestion()
    {
        return question(fmt::format("{},{}", SharedPart, CrashingPart));
    }

    /// Sends requests with the crashing part to @p daemons in turn.
    void sendCrashing(Duration time, const std::vector<size_t> &daemons)
    {
        const TimePoint until = Clock::now() + time;
        for (size_t i = 0; Clock::now() < until; ++i) {
            m_tries.push_back(m_deployment.begin(crashingQuestion(), daemons[i % daemons.size()]));
            std::this_thread::sleep_for(Millis(100));
        }
    }

    /// Sends such requests until the VMs refuse them.
    void quarantine(const std::vector<size_t> &daemons)
    {
        sendCrashing(Seconds(2), daemons);
        ASSERT_GE(m_engines.ends().size(), 3u);
        m_arrived = m_engines.arrivals().size();
    }

    /// Requests with the part that began later than the recovery time after the fifth end.
    ptrdiff_t laterArrivals()
    {
        const auto ends = m_engines.ends();
        if (ends.size() < CountedEnds)
            return 0;
        const TimePoint from = ends[CountedEnds - 1] + m_deployment.m_bounds.m_recoveryTime;
        const auto all = m_engines.arrivals();
        return std::count_if(all.begin(), all.end(), [from](TimePoint at) { return at > from; });
    }

    void expectRefused(size_t daemon)
    {
        const ClientAnswer answer = m_deployment.call(crashingQuestion(), daemon);
        EXPECT_EQ(answer.m_status, 503u);
        EXPECT_GT(std::atof(answer.header("Retry-After").c_str()), 60);
        EXPECT_LT(answer.m_took, Millis(200));
        EXPECT_EQ(m_engines.arrivals().size(), m_arrived);
    }

    Deployment m_deployment;
    CrashingEngines m_engines{ m_deployment, hasCrashingPart };
    std::vector<std::future<ClientAnswer>> m_tries;
    size_t m_arrived = 0; ///< Requests that began to run, at the end of quarantine().

private:
    std::atomic<size_t> m_questions{ 0 };
};

TEST_F(CrashingPartTest, RequestsWithAPartThatEndedFiveEnginesReachThreeMoreAtMost)
{
    start(3);
    sendCrashing(m_deployment.m_bounds.m_recoveryTime + Seconds(3), { 0, 1, 2 });
    EXPECT_GE(m_engines.ends().size(), 3u);
    EXPECT_LE(laterArrivals(), MaxLaterArrivals);
}

TEST_F(CrashingPartTest, RequestsThatShareTheOtherPartsAreServedBesideIt)
{
    start(3);
    const Duration time = m_deployment.m_bounds.m_recoveryTime * 2 + Seconds(2);
    const TimePoint calmFrom = Clock::now() + m_deployment.m_bounds.m_recoveryTime * 2;
    auto crashes = std::async(std::launch::async, [this, time] {
        sendCrashing(time, { 0, 1, 2 });
    });
    std::vector<std::future<ClientAnswer>> answers;
    for (size_t i = 0; crashes.wait_for(Millis(30)) != std::future_status::ready; ++i) {
        auto answer = m_deployment.begin(question(SharedPart), i % 3);
        if (Clock::now() > calmFrom)
            answers.push_back(std::move(answer));
    }
    ASSERT_GE(answers.size(), 20u);
    size_t whole = 0;
    for (auto &answer : answers)
        whole += answer.get().m_whole ? 1 : 0;
    EXPECT_EQ(whole, answers.size());
}

TEST_F(CrashingPartTest, EachVmRefusesItAtOnce)
{
    start(3);
    quarantine({ 0 });
    for (size_t i = 0; i < m_deployment.m_daemons.size(); ++i)
        expectRefused(i);
    EXPECT_EQ(m_deployment.call(question(SharedPart)).m_status, 200u);
}

TEST_F(CrashingPartTest, VmThatStartsKnowsIt)
{
    start(2);
    quarantine({ 0, 1 });
    m_deployment.addDaemon();
    ASSERT_TRUE(m_deployment.awaitReady());
    expectRefused(2);
}

TEST_F(CrashingPartTest, EndOfAllVmsForgetsNothing)
{
    start(2);
    quarantine({ 0, 1 });
    std::this_thread::sleep_for(Seconds(1));
    m_deployment.m_daemons.clear();
    m_deployment.addDaemon();
    m_deployment.addDaemon();
    ASSERT_TRUE(m_deployment.awaitReady());
    for (size_t i = 0; i < m_deployment.m_daemons.size(); ++i)
        expectRefused(i);
}

TEST_F(CrashingPartTest, VmsThatDoNotHearEachOtherLearnItFromTheStore)
{
    start(1);
    // A VM that registers under another kind is found by none, and finds none.
    RelaySource apart = relaySource();
    apart.m_vmsKind = "other-vms";
    m_deployment.m_source = &apart;
    m_deployment.addDaemon();
    ASSERT_TRUE(m_deployment.awaitReady());
    sendCrashing(m_deployment.m_bounds.m_recoveryTime + Seconds(2), { 0 });
    const size_t before = m_engines.arrivals().size();
    sendCrashing(Seconds(2), { 1 });
    EXPECT_LE(m_engines.arrivals().size() - before, static_cast<size_t>(MaxLaterArrivals));
    m_deployment.m_daemons.clear();
}

TEST_F(CrashingPartTest, RequestsThatCrashByTheirOwnPartCondemnNoSharedPart)
{
    start(3);
    for (size_t i = 0; i < 12; ++i) {
        ClientRequest request = question(SharedPart);
        request.m_body = CrashBody;
        m_tries.push_back(m_deployment.begin(request, i % 3));
        std::this_thread::sleep_for(Millis(100));
    }
    ASSERT_GE(m_engines.ends().size(), 3u);
    for (size_t i = 0; i < 6; ++i)
        EXPECT_EQ(m_deployment.call(question(SharedPart), i % 3).m_status, 200u);
}

TEST_F(CrashingPartTest, EnginesThatEndTogetherCondemnNoPart)
{
    start(3);
    std::vector<std::future<ClientAnswer>> answers;
    for (size_t i = 0; i < 30; ++i)
        answers.push_back(m_deployment.begin(question(SharedPart), i % 3));
    std::this_thread::sleep_for(Millis(5));
    m_engines.endTogether(Engines / 2);
    for (auto &answer : answers)
        answer.get();
    for (size_t i = 0; i < 6; ++i)
        EXPECT_EQ(m_deployment.call(question(SharedPart), i % 3).m_status, 200u);
}

} // namespace
} // namespace stackquay::platform
