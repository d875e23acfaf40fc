#include <set>

#include <boost/fiber/fiber.hpp>
#include <gtest/gtest.h>

#include "fake_objects.h"

namespace stackquay {
namespace {

/// The claim stores of several VMs on one fake object store, on the calling thread, with a
/// simulated clock that only sleep advances.
class SimulatedClaimStores
{
public:
    explicit SimulatedClaimStores(uint64_t seed, ClaimSettings settings = {}, size_t vms = 1)
        : m_random(seed)
    {
        m_objects.m_pause = [this] { yieldRandomly(); };
        for (size_t i = 0; i < vms; ++i)
            m_stores.push_back(std::make_unique<ClaimStore>(m_objects, settings, runtime(),
                                                            VmId("vm" + std::to_string(i)),
                                                            RandomEngine(seed + i)));
    }

    ~SimulatedClaimStores()
    {
        m_objects.m_faults = {};
        for (const auto &store : m_stores)
            waitIdle(*store);
    }

    static void waitIdle(const ClaimStore &store)
    {
        while (!store.idle())
            boost::this_fiber::yield();
    }

    ClaimRuntime runtime()
    {
        ClaimRuntime runtime;
        runtime.m_sleep = [this](Duration duration) {
            const TimePoint until = m_now + duration;
            do {
                m_now += Millis(1);
                yieldRandomly();
            } while (m_now < until);
            return true;
        };
        runtime.m_now = [this] { return m_now; };
        runtime.m_wallNow = [this] { return WallTime(m_now.time_since_epoch() + m_wallShift); };
        return runtime;
    }

    ClaimResult claim(const std::string &key, const std::string &attempt, size_t vm = 0,
                      const std::string &body = "body", Duration within = Seconds(60))
    {
        ClaimRequest request;
        request.m_customer = CustomerId("c");
        request.m_key = key;
        request.m_bodyHash = body;
        request.m_attempt = AttemptId(attempt);
        request.m_deadline = m_now + within;
        return m_stores[vm]->claim(request);
    }

    Status record(const std::string &key, const std::string &attempt, const std::string &outcome)
    {
        return m_stores[0]->record({ CustomerId("c"), key, AttemptId(attempt) }, outcome,
                                   m_now + Seconds(60));
    }

    Status free(const std::string &key, const std::string &attempt, size_t vm = 0)
    {
        return m_stores[vm]->free({ CustomerId("c"), key, AttemptId(attempt) },
                                  m_now + Seconds(60));
    }

    void yieldRandomly()
    {
        for (uint64_t i = m_random() % 3; i > 0; --i)
            boost::this_fiber::yield();
    }

    FakeObjects m_objects;
    RandomEngine m_random;
    TimePoint m_now{ Seconds(1) };
    Duration m_wallShift{};
    std::vector<std::unique_ptr<ClaimStore>> m_stores;
};

ClaimSettings oneBucket()
{
    ClaimSettings settings;
    settings.m_buckets = 1;
    return settings;
}

TEST(ClaimTest, TheFirstAttemptRunsAndARetryGetsItsOutcome)
{
    SimulatedClaimStores simulation(1);
    EXPECT_EQ(simulation.claim("k", "a").m_outcome, ClaimOutcome::Claimed);
    const auto early = simulation.claim("k", "b");
    EXPECT_EQ(early.m_outcome, ClaimOutcome::InProgress);
    EXPECT_EQ(early.m_owner, VmId("vm0"));
    EXPECT_EQ(simulation.claim("k", "c", 0, "other").m_outcome, ClaimOutcome::DifferentBody);
    EXPECT_TRUE(simulation.record("k", "a", "entered"));
    EXPECT_TRUE(simulation.record("k", "a", "again"));
    EXPECT_FALSE(simulation.record("k", "b", "no"));
    const auto repeat = simulation.claim("k", "d");
    EXPECT_EQ(repeat.m_outcome, ClaimOutcome::Recorded);
    EXPECT_EQ(repeat.m_recorded, "entered");
    EXPECT_EQ(simulation.free("k", "a").error().m_code, ErrorCode::Conflict);
}

TEST(ClaimTest, OnlyTheHolderFreesAndThenAnotherMayClaim)
{
    SimulatedClaimStores simulation(1);
    EXPECT_EQ(simulation.claim("k", "a").m_outcome, ClaimOutcome::Claimed);
    EXPECT_TRUE(simulation.free("k", "b"));
    EXPECT_EQ(simulation.claim("k", "c").m_outcome, ClaimOutcome::InProgress);
    EXPECT_TRUE(simulation.free("k", "a"));
    EXPECT_EQ(simulation.claim("k", "d").m_outcome, ClaimOutcome::Claimed);
    EXPECT_FALSE(simulation.record("k", "a", "late"));
}

TEST(ClaimTest, ALongOutcomeIsStoredComplete)
{
    SimulatedClaimStores simulation(1, oneBucket());
    const std::string outcome(100'000, 'x');
    simulation.claim("k", "a");
    EXPECT_TRUE(simulation.record("k", "a", outcome));
    EXPECT_EQ(simulation.claim("k", "b").m_recorded, outcome);
    EXPECT_LT(simulation.m_objects.get(claimHeadKey(0))->m_value.size(), 1000u);
}

TEST(ClaimTest, CustomersDoNotShareKeys)
{
    EXPECT_NE(hashClaimKey(CustomerId("ab"), "c"), hashClaimKey(CustomerId("a"), "bc"));
    EXPECT_EQ(hashClaimKey(CustomerId("ab"), "c").size(), 32u);
}

TEST(ClaimTest, ClaimsWithinABatchWindowShareOneWrite)
{
    SimulatedClaimStores simulation(1, oneBucket());
    simulation.m_objects.m_pause = {};
    int claimed = 0;
    std::vector<boost::fibers::fiber> fibers;
    for (int i = 0; i < 50; ++i)
        fibers.emplace_back([&simulation, &claimed, i] {
            const std::string name = std::to_string(i);
            claimed += simulation.claim(name, "a" + name).m_outcome == ClaimOutcome::Claimed;
        });
    for (auto &fiber : fibers)
        fiber.join();
    EXPECT_EQ(claimed, 50);
    EXPECT_EQ(simulation.m_objects.m_writes, 1u);
}

TEST(ClaimTest, AnOutageRefusesAtOnce)
{
    SimulatedClaimStores simulation(1, oneBucket());
    simulation.m_objects.m_faults = [](bool, const std::string &) { return FakeFault::Refused; };
    const auto refused = simulation.claim("k", "a");
    EXPECT_EQ(refused.m_outcome, ClaimOutcome::Refused);
    EXPECT_EQ(refused.m_error.m_code, ErrorCode::Unavailable);
    simulation.m_objects.m_faults = {};
    EXPECT_EQ(simulation.claim("k", "b").m_outcome, ClaimOutcome::Claimed);
}

TEST(ClaimTest, ARefusedClaimWhoseWriteWasAppliedIsFreed)
{
    SimulatedClaimStores simulation(1, oneBucket());
    bool down = false;
    simulation.m_objects.m_faults = [&down](bool write, const std::string &) {
        if (down)
            return FakeFault::Refused;
        down = write;
        return write ? FakeFault::LostAfter : FakeFault::None;
    };
    EXPECT_EQ(simulation.claim("k", "a").m_outcome, ClaimOutcome::Refused);
    simulation.m_objects.m_faults = {};
    // The first VM frees the claim in the background; until then it blocks the other VM.
    ClaimStore other(simulation.m_objects, oneBucket(), simulation.runtime(), VmId("other"),
                     RandomEngine(9));
    ClaimResult result;
    for (int i = 0; i < 1000 && result.m_outcome != ClaimOutcome::Claimed; ++i)
        result = other.claim({ CustomerId("c"), "k", "body", AttemptId("b" + std::to_string(i)) });
    EXPECT_EQ(result.m_outcome, ClaimOutcome::Claimed);
    SimulatedClaimStores::waitIdle(other);
}

TEST(ClaimTest, SegmentsAreWrittenSearchedAndExpired)
{
    ClaimSettings settings = oneBucket();
    settings.m_maxOpenBytes = 2000;
    SimulatedClaimStores simulation(1, settings, 2);
    const auto name = [](int i) { return "k" + std::to_string(i); };
    for (int i = 0; i < 100; ++i) {
        ASSERT_EQ(simulation.claim(name(i), "a").m_outcome, ClaimOutcome::Claimed);
        ASSERT_TRUE(simulation.record(name(i), "a", i == 0 ? std::string(5000, 'x') : name(i)));
    }
    EXPECT_GT(simulation.m_objects.count(claimSegmentPrefix(0)), 5u);
    EXPECT_EQ(simulation.m_objects.count(claimOutcomePrefix(0)), 1u);
    // A VM that reads the bucket for the first time finds all claims.
    for (int i = 1; i < 100; ++i)
        ASSERT_EQ(simulation.claim(name(i), "b", 1).m_recorded, name(i));
    simulation.m_wallShift = std::chrono::hours(24 * 9);
    ASSERT_EQ(simulation.claim("new", "a").m_outcome, ClaimOutcome::Claimed);
    SimulatedClaimStores::waitIdle(*simulation.m_stores[0]);
    EXPECT_EQ(simulation.m_objects.count(claimSegmentPrefix(0)), 0u);
    EXPECT_EQ(simulation.m_objects.count(claimOutcomePrefix(0)), 0u);
    EXPECT_EQ(simulation.claim(name(5), "c", 1).m_outcome, ClaimOutcome::Claimed);
}

TEST(ClaimTest, ALongListOfSegmentsDoesNotTriggerMoreSegments)
{
    ClaimSettings settings = oneBucket();
    settings.m_maxOpenBytes = 2000;
    SimulatedClaimStores simulation(1, settings);
    const int claims = 800;
    for (int i = 0; i < claims; ++i)
        ASSERT_EQ(simulation.claim(std::to_string(i), "a").m_outcome, ClaimOutcome::Claimed);
    ASSERT_GT(simulation.m_objects.get(claimHeadKey(0))->m_value.size(), 4000u);
    // About eleven claims fill a segment, even when the list of segments alone exceeds the limit of
    // the open claims.
    EXPECT_LT(simulation.m_objects.count(claimSegmentPrefix(0)), claims / 6);
}

TEST(ClaimTest, AnArchivedClaimCanStillBeRecordedOrFreed)
{
    ClaimSettings settings = oneBucket();
    settings.m_maxOpenBytes = 1;
    SimulatedClaimStores simulation(1, settings);
    simulation.claim("k", "a");
    simulation.claim("l", "a");
    simulation.claim("m", "a");
    ASSERT_GT(simulation.m_objects.count(claimSegmentPrefix(0)), 0u);
    EXPECT_TRUE(simulation.record("k", "a", "done"));
    EXPECT_EQ(simulation.claim("k", "b").m_recorded, "done");
    EXPECT_TRUE(simulation.free("l", "a"));
    EXPECT_EQ(simulation.claim("l", "b").m_outcome, ClaimOutcome::Claimed);
    EXPECT_TRUE(simulation.free("l", "b"));
    EXPECT_EQ(simulation.claim("l", "c").m_outcome, ClaimOutcome::Claimed);
    EXPECT_EQ(simulation.claim("l", "d").m_outcome, ClaimOutcome::InProgress);
}

TEST(ClaimTest, OrphanedSegmentsAreRemoved)
{
    SimulatedClaimStores simulation(1, oneBucket());
    simulation.claim("k", "a");
    ASSERT_TRUE(simulation.m_objects.put(claimSegmentPrefix(0) + "00000000000000000000-x", "", 0));
    ASSERT_TRUE(simulation.m_objects.put(claimSegmentPrefix(0) + "00000000000000000001-x", "", 0));
    ASSERT_TRUE(simulation.m_stores[0]->removeOrphanedSegments(0));
    EXPECT_EQ(simulation.m_objects.count(claimSegmentPrefix(0)), 1u)
        << "a pending write may still add the second segment to the head";
}

/// Concurrent attempts of several VMs on a few keys, under seeded faults. Every attempt whose claim
/// succeeds runs or frees its claim.
class ClaimRace
{
public:
    explicit ClaimRace(uint64_t seed)
        : m_simulation(seed, settings(), 3)
        , m_random(seed)
    {
        m_simulation.m_objects.m_faults = [this](bool write, const std::string &) {
            return chooseFault(write);
        };
    }

    void run()
    {
        std::vector<boost::fibers::fiber> fibers;
        for (int i = 0; i < Attempts; ++i)
            fibers.emplace_back([this, i] { attempt(i); });
        for (auto &fiber : fibers)
            fiber.join();
        m_faults = false;
        // Writes that are still delayed are applied now, or never if their version has changed.
        for (int i = 0; i < Attempts * 4; ++i)
            m_simulation.m_objects.releaseDelayed();
        for (int key = 0; key < Keys; ++key)
            checkOutcome(std::to_string(key));
    }

    size_t claimed() const { return m_claimed; }
    size_t refused() const { return m_refused; }

private:
    static constexpr int Attempts = 40;
    static constexpr int Keys = 3;

    static ClaimSettings settings()
    {
        ClaimSettings settings = oneBucket();
        settings.m_maxOpenBytes = 600;
        return settings;
    }

    FakeFault chooseFault(bool write)
    {
        if (m_random() % 4 == 0)
            m_simulation.m_objects.releaseDelayed();
        if (!m_faults)
            return FakeFault::None;
        if (m_random() % 60 == 0)
            m_downUntil = m_simulation.m_now + Millis(m_random() % 3000);
        if (m_simulation.m_now < m_downUntil)
            return FakeFault::Refused;
        if (!write || m_random() % 3 != 0)
            return FakeFault::None;
        const FakeFault faults[] = { FakeFault::LostBefore, FakeFault::LostAfter,
                                     FakeFault::Delayed };
        return faults[m_random() % 3];
    }

    void attempt(int number)
    {
        const std::string key = std::to_string(m_random() % Keys);
        const std::string id = "a" + std::to_string(number);
        const size_t vm = m_random() % 3;
        for (uint64_t i = m_random() % 300; i > 0; --i)
            boost::this_fiber::yield();
        const auto result = m_simulation.claim(key, id, vm, "body", Millis(m_random() % 2000));
        if (result.m_outcome == ClaimOutcome::Refused)
            ++m_refused;
        if (result.m_outcome == ClaimOutcome::Recorded) {
            EXPECT_EQ(result.m_recorded, m_ranAttempts[key]);
        }
        if (result.m_outcome != ClaimOutcome::Claimed)
            return;
        ++m_claimed;
        EXPECT_TRUE(m_heldKeys.insert(key).second) << "two attempts hold key " << key;
        m_simulation.yieldRandomly();
        if (m_random() % 3 == 0) {
            // Nothing was sent: from here on another attempt may claim the key.
            m_heldKeys.erase(key);
            (void)m_simulation.free(key, id, vm);
            return;
        }
        EXPECT_TRUE(m_ranAttempts.emplace(key, id).second) << "key " << key << " ran twice";
        while (!m_simulation.m_stores[vm]->record({ CustomerId("c"), key, AttemptId(id) }, id,
                                                  m_simulation.m_now + Seconds(60))) { }
    }

    /// Checks after the faults that a claim of the key reports whether an attempt ran.
    void checkOutcome(const std::string &key)
    {
        const auto result = m_simulation.claim(key, "last" + key, m_random() % 3);
        if (m_ranAttempts.contains(key)) {
            EXPECT_EQ(result.m_outcome, ClaimOutcome::Recorded);
            EXPECT_EQ(result.m_recorded, m_ranAttempts[key]);
        } else {
            EXPECT_NE(result.m_outcome, ClaimOutcome::Recorded);
            EXPECT_NE(result.m_outcome, ClaimOutcome::Refused);
        }
    }

    SimulatedClaimStores m_simulation;
    RandomEngine m_random;
    bool m_faults = true;
    TimePoint m_downUntil{};
    std::set<std::string> m_heldKeys; ///< Keys whose claim an attempt holds.
    std::map<std::string, std::string> m_ranAttempts; ///< By key, the attempt that ran.
    size_t m_claimed = 0;
    size_t m_refused = 0;
};

TEST(ClaimTest, AtMostOneAttemptRunsUnderSeededFaults)
{
    size_t claimed = 0;
    size_t refused = 0;
    for (uint64_t seed = 1; seed <= 500; ++seed) {
        ClaimRace race(seed);
        race.run();
        ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed;
        claimed += race.claimed();
        refused += race.refused();
    }
    EXPECT_GT(claimed, 1000u);
    EXPECT_GT(refused, 1000u);
}

} // namespace
} // namespace stackquay
