#include <array>

#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start{ Seconds(1'000) };

OverflowCandidate candidate(const char *id, bool sameRegion, Millis delay, Duration wait)
{
    return { DataCentreId(id), sameRegion, delay, toWaitLevel(wait), Duration{}, true };
}

OverflowQuery longWaitHere()
{
    return { false, Seconds(20), Seconds(1), Start + Seconds(30) };
}

std::optional<DataCentreId> choose(const OverflowQuery &query,
                                   const std::vector<OverflowCandidate> &candidates,
                                   double fraction = 1)
{
    RandomEngine random(1);
    OverflowState state;
    state.m_fraction = fraction;
    return chooseOverflow({}, state, query, candidates, Start, random);
}

TEST(Overflow, WaitLevelsRoundUpByAFifthAtMost)
{
    EXPECT_EQ(toWaitLevel({}), 0);
    EXPECT_EQ(fromWaitLevel(0), Duration{});
    for (int64_t ms = 1; ms < 100'000'000; ms += 1 + ms / 50) {
        const Duration back = fromWaitLevel(toWaitLevel(Millis(ms)));
        if (ms < 86'000'000) {
            ASSERT_GE(back, Millis(ms));
        }
        ASSERT_LE(back, Millis(ms) * 1.2);
        ASSERT_LT(toWaitLevel(Millis(ms)), NoCapacityLevel);
    }
}

TEST(Overflow, PrefersTheNearestInTheOwnRegion)
{
    const auto far = candidate("far", false, Millis(1), {});
    const auto near = candidate("near", true, Millis(20), Millis(500));
    EXPECT_EQ(choose(longWaitHere(), { far, near }), DataCentreId("near"));
    const auto busy = candidate("near", true, Millis(20), Seconds(2));
    EXPECT_EQ(choose(longWaitHere(), { far, busy }), DataCentreId("far"));
}

TEST(Overflow, ForwardsOnlyIfTheDeadlineIsMet)
{
    OverflowQuery query = longWaitHere();
    query.m_deadline = Start + Seconds(2);
    EXPECT_EQ(choose(query, { candidate("b", true, Millis(1), {}) }), DataCentreId("b"));
    EXPECT_FALSE(choose(query, { candidate("b", true, Millis(400), {}) }));
    EXPECT_FALSE(choose(query, { candidate("b", true, Millis(1), Seconds(1)) }));
}

TEST(Overflow, StaysLocalWhenOthersAreUnusableOrForwardedOrNotNeeded)
{
    auto unreachable = candidate("b", true, Millis(1), {});
    unreachable.m_reachable = false;
    EXPECT_FALSE(choose(longWaitHere(), { unreachable }));
    auto old = candidate("b", true, Millis(1), {});
    old.m_age = Seconds(11);
    EXPECT_FALSE(choose(longWaitHere(), { old }));
    auto full = candidate("b", true, Millis(1), {});
    full.m_wait = NoCapacityLevel;
    EXPECT_FALSE(choose(longWaitHere(), { full }));

    OverflowQuery forwarded = longWaitHere();
    forwarded.m_forwarded = true;
    EXPECT_FALSE(choose(forwarded, { candidate("b", true, Millis(1), {}) }));
    EXPECT_FALSE(choose(longWaitHere(), { candidate("b", true, Millis(1), {}) }, 0));
    EXPECT_FALSE(choose(longWaitHere(), { candidate("b", true, Millis(1), Seconds(18)) }));
}

/// Simulates three data centres as queues of work, with reports that are seconds old.
struct Fleet {
    static constexpr size_t Count = 3;
    static constexpr double Capacity = 100; ///< Requests per second of each data centre.
    static constexpr size_t ReportDelay = 3; ///< Seconds.

    std::array<double, Count> m_load{}; ///< Requests per second.
    std::array<double, Count> m_backlog{};
    std::array<OverflowState, Count> m_state;
    std::vector<std::array<double, Count>> m_history;
    bool m_partitioned = false; ///< Data centre 0 is separated from the others.
    RandomEngine m_random{ 17 };
    std::array<double, Count> m_forwardedCount{}; ///< Forwarded in the last second.

    void advanceOneSecond(TimePoint now)
    {
        m_history.push_back(m_backlog);
        const auto &seen =
            m_history[m_history.size() - 1 - std::min(ReportDelay, m_history.size() - 1)];
        std::array<double, Count> arrivals{};
        m_forwardedCount = {};
        for (size_t from = 0; from < Count; ++from) {
            const Duration wait = waitFor(m_backlog[from]);
            const auto others = candidates(from, seen);
            stepOverflow({}, m_state[from], wait, others, now);
            for (int i = 0; i < static_cast<int>(m_load[from]); ++i) {
                const size_t to = route(from, others, wait, now);
                arrivals[to] += 1;
                m_forwardedCount[from] += to == from ? 0 : 1;
            }
        }
        for (size_t i = 0; i < Count; ++i)
            m_backlog[i] = std::max(0.0, m_backlog[i] + arrivals[i] - Capacity);
    }

    static Duration waitFor(double backlog)
    {
        return Millis(static_cast<int64_t>(backlog / Capacity * 1'000));
    }

    std::vector<OverflowCandidate> candidates(size_t from, const std::array<double, Count> &seen)
    {
        std::vector<OverflowCandidate> others;
        for (size_t to = 0; to < Count; ++to) {
            if (to == from)
                continue;
            auto other = candidate(std::to_string(to).c_str(), true, Millis(1), waitFor(seen[to]));
            other.m_age = Seconds(ReportDelay);
            other.m_reachable = !m_partitioned || (to != 0 && from != 0);
            others.push_back(other);
        }
        return others;
    }

    size_t route(size_t from, const std::vector<OverflowCandidate> &others, Duration wait,
                 TimePoint now)
    {
        const OverflowQuery query{ false, wait, Millis(500), now + Seconds(60) };
        const auto chosen = chooseOverflow({}, m_state[from], query, others, now, m_random);
        return chosen ? std::stoul(chosen->str()) : from;
    }
};

TEST(Overflow, PartitionAndHealingCauseNoOscillation)
{
    Fleet fleet;
    fleet.m_load = { 140, 60, 60 };
    TimePoint now = Start;
    const auto run = [&](int seconds) {
        for (int i = 0; i < seconds; ++i) {
            now += Seconds(1);
            fleet.advanceOneSecond(now);
        }
    };
    run(120);
    EXPECT_GT(fleet.m_forwardedCount[0], 20);
    EXPECT_LT(Fleet::waitFor(fleet.m_backlog[0]), Seconds(6));

    fleet.m_partitioned = true;
    for (int i = 0; i < 20; ++i) {
        run(1);
        ASSERT_EQ(fleet.m_forwardedCount[0], 0);
        ASSERT_EQ(fleet.m_forwardedCount[1], 0);
    }
    fleet.m_partitioned = false;
    double maxRemoteBacklog = 0;
    double forwardedBack = 0;
    for (int i = 0; i < 120; ++i) {
        run(1);
        forwardedBack += fleet.m_forwardedCount[1] + fleet.m_forwardedCount[2];
        maxRemoteBacklog = std::max({ maxRemoteBacklog, fleet.m_backlog[1], fleet.m_backlog[2] });
    }
    RecordProperty("backwards", std::to_string(forwardedBack));
    RecordProperty("largest_elsewhere", std::to_string(maxRemoteBacklog));
    EXPECT_EQ(forwardedBack, 0);
    EXPECT_LT(Fleet::waitFor(fleet.m_backlog[0]), Seconds(6));
    EXPECT_LT(Fleet::waitFor(maxRemoteBacklog), Seconds(2));
}

} // namespace
} // namespace stackquay
