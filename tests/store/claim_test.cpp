#include <set>

#include <boost/fiber/fiber.hpp>
#include <gtest/gtest.h>

#include "fake_objects.h"

namespace stackquay {
namespace {

/// Stores of several VMs over one fake service, on the calling thread, with a clock that only
/// sleep moves on.
class ClaimWorld
{
public:
    explicit ClaimWorld(uint64_t seed, ClaimSettings settings = {}, size_t vms = 1)
        : m_random(seed)
    {
        m_objects.m_pause = [this] { yieldSome(); };
        for (size_t i = 0; i < vms; ++i)
            m_stores.push_back(std::make_unique<ClaimStore>(m_objects, settings, runtime(),
                                                            VmId("vm" + std::to_string(i)),
                                                            RandomEngine(seed + i)));
    }

    ~ClaimWorld()
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
                yieldSome();
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

    void yieldSome()
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

TEST(ClaimTest, TheFirstAttemptRunsAndARepeatGetsItsOutcome)
{
    ClaimWorld world(1);
    EXPECT_EQ(world.claim("k", "a").m_outcome, ClaimOutcome::Claimed);
    const auto early = world.claim("k", "b");
    EXPECT_EQ(early.m_outcome, ClaimOutcome::InProgress);
    EXPECT_EQ(early.m_owner, VmId("vm0"));
    EXPECT_EQ(world.claim("k", "c", 0, "other").m_outcome, ClaimOutcome::DifferentBody);
    EXPECT_TRUE(world.record("k", "a", "entered"));
    EXPECT_TRUE(world.record("k", "a", "again"));
    EXPECT_FALSE(world.record("k", "b", "no"));
    const auto repeat = world.claim("k", "d");
    EXPECT_EQ(repeat.m_outcome, ClaimOutcome::Recorded);
    EXPECT_EQ(repeat.m_recorded, "entered");
    EXPECT_EQ(world.free("k", "a").error().m_code, ErrorCode::Conflict);
}

TEST(ClaimTest, OnlyTheHolderFreesAndThenAnotherMayClaim)
{
    ClaimWorld world(1);
    EXPECT_EQ(world.claim("k", "a").m_outcome, ClaimOutcome::Claimed);
    EXPECT_TRUE(world.free("k", "b"));
    EXPECT_EQ(world.claim("k", "c").m_outcome, ClaimOutcome::InProgress);
    EXPECT_TRUE(world.free("k", "a"));
    EXPECT_EQ(world.claim("k", "d").m_outcome, ClaimOutcome::Claimed);
    EXPECT_FALSE(world.record("k", "a", "late"));
}

TEST(ClaimTest, ALongOutcomeIsKeptWhole)
{
    ClaimWorld world(1, oneBucket());
    const std::string outcome(100'000, 'x');
    world.claim("k", "a");
    EXPECT_TRUE(world.record("k", "a", outcome));
    EXPECT_EQ(world.claim("k", "b").m_recorded, outcome);
    EXPECT_LT(world.m_objects.get(claimHeadKey(0))->m_value.size(), 1000u);
}

TEST(ClaimTest, CustomersDoNotShareKeys)
{
    EXPECT_NE(hashClaimKey(CustomerId("ab"), "c"), hashClaimKey(CustomerId("a"), "bc"));
    EXPECT_EQ(hashClaimKey(CustomerId("ab"), "c").size(), 32u);
}

TEST(ClaimTest, ClaimsOfAWindowShareOneWrite)
{
    ClaimWorld world(1, oneBucket());
    world.m_objects.m_pause = {};
    int claimed = 0;
    std::vector<boost::fibers::fiber> fibers;
    for (int i = 0; i < 50; ++i)
        fibers.emplace_back([&world, &claimed, i] {
            const std::string name = std::to_string(i);
            claimed += world.claim(name, "a" + name).m_outcome == ClaimOutcome::Claimed;
        });
    for (auto &fiber : fibers)
        fiber.join();
    EXPECT_EQ(claimed, 50);
    EXPECT_EQ(world.m_objects.m_writes, 1u);
}

TEST(ClaimTest, AnOutageRefusesAtOnce)
{
    ClaimWorld world(1, oneBucket());
    world.m_objects.m_faults = [](bool, const std::string &) { return FakeFault::Refused; };
    const auto refused = world.claim("k", "a");
    EXPECT_EQ(refused.m_outcome, ClaimOutcome::Refused);
    EXPECT_EQ(refused.m_error.m_code, ErrorCode::Unavailable);
    world.m_objects.m_faults = {};
    EXPECT_EQ(world.claim("k", "b").m_outcome, ClaimOutcome::Claimed);
}

TEST(ClaimTest, ARefusedClaimWhoseWriteWasAppliedIsFreed)
{
    ClaimWorld world(1, oneBucket());
    bool down = false;
    world.m_objects.m_faults = [&down](bool write, const std::string &) {
        if (down)
            return FakeFault::Refused;
        down = write;
        return write ? FakeFault::LostAfter : FakeFault::None;
    };
    EXPECT_EQ(world.claim("k", "a").m_outcome, ClaimOutcome::Refused);
    world.m_objects.m_faults = {};
    // The first VM frees it by itself; another VM meets it until then.
    ClaimStore other(world.m_objects, oneBucket(), world.runtime(), VmId("other"), RandomEngine(9));
    ClaimResult result;
    for (int i = 0; i < 1000 && result.m_outcome != ClaimOutcome::Claimed; ++i)
        result = other.claim({ CustomerId("c"), "k", "body", AttemptId("b" + std::to_string(i)) });
    EXPECT_EQ(result.m_outcome, ClaimOutcome::Claimed);
    ClaimWorld::waitIdle(other);
}

TEST(ClaimTest, SegmentsCloseAreFoundAndExpire)
{
    ClaimSettings settings = oneBucket();
    settings.m_openBytes = 2000;
    ClaimWorld world(1, settings, 2);
    const auto name = [](int i) { return "k" + std::to_string(i); };
    for (int i = 0; i < 100; ++i) {
        ASSERT_EQ(world.claim(name(i), "a").m_outcome, ClaimOutcome::Claimed);
        ASSERT_TRUE(world.record(name(i), "a", i == 0 ? std::string(5000, 'x') : name(i)));
    }
    EXPECT_GT(world.m_objects.count(claimSegmentPrefix(0)), 5u);
    EXPECT_EQ(world.m_objects.count(claimOutcomePrefix(0)), 1u);
    // A VM that reads the bucket for the first time knows them all.
    for (int i = 1; i < 100; ++i)
        ASSERT_EQ(world.claim(name(i), "b", 1).m_recorded, name(i));
    world.m_wallShift = std::chrono::hours(24 * 9);
    ASSERT_EQ(world.claim("new", "a").m_outcome, ClaimOutcome::Claimed);
    ClaimWorld::waitIdle(*world.m_stores[0]);
    EXPECT_EQ(world.m_objects.count(claimSegmentPrefix(0)), 0u);
    EXPECT_EQ(world.m_objects.count(claimOutcomePrefix(0)), 0u);
    EXPECT_EQ(world.claim(name(5), "c", 1).m_outcome, ClaimOutcome::Claimed);
}

TEST(ClaimTest, ALongListOfSegmentsClosesNoMoreOfThem)
{
    ClaimSettings settings = oneBucket();
    settings.m_openBytes = 2000;
    ClaimWorld world(1, settings);
    const int claims = 800;
    for (int i = 0; i < claims; ++i)
        ASSERT_EQ(world.claim(std::to_string(i), "a").m_outcome, ClaimOutcome::Claimed);
    ASSERT_GT(world.m_objects.get(claimHeadKey(0))->m_value.size(), 4000u);
    // Some eleven claims fill a segment, also when the list alone is longer than the open ones.
    EXPECT_LT(world.m_objects.count(claimSegmentPrefix(0)), claims / 6);
}

TEST(ClaimTest, AClosedClaimCanStillBeSettledOrFreed)
{
    ClaimSettings settings = oneBucket();
    settings.m_openBytes = 1;
    ClaimWorld world(1, settings);
    world.claim("k", "a");
    world.claim("l", "a");
    world.claim("m", "a");
    ASSERT_GT(world.m_objects.count(claimSegmentPrefix(0)), 0u);
    EXPECT_TRUE(world.record("k", "a", "done"));
    EXPECT_EQ(world.claim("k", "b").m_recorded, "done");
    EXPECT_TRUE(world.free("l", "a"));
    EXPECT_EQ(world.claim("l", "b").m_outcome, ClaimOutcome::Claimed);
    EXPECT_TRUE(world.free("l", "b"));
    EXPECT_EQ(world.claim("l", "c").m_outcome, ClaimOutcome::Claimed);
    EXPECT_EQ(world.claim("l", "d").m_outcome, ClaimOutcome::InProgress);
}

TEST(ClaimTest, OrphanedSegmentsAreDropped)
{
    ClaimWorld world(1, oneBucket());
    world.claim("k", "a");
    ASSERT_TRUE(world.m_objects.put(claimSegmentPrefix(0) + "00000000000000000000-x", "", 0));
    ASSERT_TRUE(world.m_objects.put(claimSegmentPrefix(0) + "00000000000000000001-x", "", 0));
    ASSERT_TRUE(world.m_stores[0]->dropOrphans(0));
    EXPECT_EQ(world.m_objects.count(claimSegmentPrefix(0)), 1u) << "one may yet be named";
}

/// Attempts of several VMs on a few keys, under seeded faults; each that is told Claimed runs.
class ClaimRace
{
public:
    explicit ClaimRace(uint64_t seed)
        : m_world(seed, settings(), 3)
        , m_random(seed)
    {
        m_world.m_objects.m_faults = [this](bool write, const std::string &) {
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
        // What was delayed for long takes effect now, or never will.
        for (int i = 0; i < Attempts * 4; ++i)
            m_world.m_objects.releaseDelayed();
        for (int key = 0; key < Keys; ++key)
            settle(std::to_string(key));
    }

    size_t claimed() const { return m_claimed; }
    size_t refused() const { return m_refused; }

private:
    static constexpr int Attempts = 40;
    static constexpr int Keys = 3;

    static ClaimSettings settings()
    {
        ClaimSettings settings = oneBucket();
        settings.m_openBytes = 600;
        return settings;
    }

    FakeFault chooseFault(bool write)
    {
        if (m_random() % 4 == 0)
            m_world.m_objects.releaseDelayed();
        if (!m_faults)
            return FakeFault::None;
        if (m_random() % 60 == 0)
            m_downUntil = m_world.m_now + Millis(m_random() % 3000);
        if (m_world.m_now < m_downUntil)
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
        const auto result = m_world.claim(key, id, vm, "body", Millis(m_random() % 2000));
        if (result.m_outcome == ClaimOutcome::Refused)
            ++m_refused;
        if (result.m_outcome == ClaimOutcome::Recorded) {
            EXPECT_EQ(result.m_recorded, m_ran[key]);
        }
        if (result.m_outcome != ClaimOutcome::Claimed)
            return;
        ++m_claimed;
        EXPECT_TRUE(m_holds.insert(key).second) << "two hold key " << key;
        m_world.yieldSome();
        if (m_random() % 3 == 0) {
            // Nothing sent: from here on another may be told Claimed.
            m_holds.erase(key);
            (void)m_world.free(key, id, vm);
            return;
        }
        EXPECT_TRUE(m_ran.emplace(key, id).second) << "key " << key << " ran twice";
        while (!m_world.m_stores[vm]->record({ CustomerId("c"), key, AttemptId(id) }, id,
                                             m_world.m_now + Seconds(60))) { }
    }

    /// After the faults every key answers truthfully.
    void settle(const std::string &key)
    {
        const auto result = m_world.claim(key, "last" + key, m_random() % 3);
        if (m_ran.contains(key)) {
            EXPECT_EQ(result.m_outcome, ClaimOutcome::Recorded);
            EXPECT_EQ(result.m_recorded, m_ran[key]);
        } else {
            EXPECT_NE(result.m_outcome, ClaimOutcome::Recorded);
            EXPECT_NE(result.m_outcome, ClaimOutcome::Refused);
        }
    }

    ClaimWorld m_world;
    RandomEngine m_random;
    bool m_faults = true;
    TimePoint m_downUntil{};
    std::set<std::string> m_holds; ///< Keys whose claim somebody holds.
    std::map<std::string, std::string> m_ran; ///< The attempt that ran each key.
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
