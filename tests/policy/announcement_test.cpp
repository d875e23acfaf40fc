/// A VM that takes most requests of its cell announces them at a cost that does not depend on the
/// number of VMs, and the others hear nearly all of them in order.
#include "policy/announcement.h"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>

namespace stackquay {
namespace {

constexpr Seconds LoadTime{ 5 };
constexpr Millis EventPeriod{ 2 };
constexpr Millis MinForwardTime{ 1 };
/// The ledger tolerates this fraction of lost messages, see docs/design/admission.md.
constexpr double MaxMissed = 0.2;

struct Faults {
    double m_loss = 0; ///< Of datagrams.
    double m_dead = 0; ///< Of the VMs, not noticed yet.
    Millis m_maxForwardTime{
        20
    }; ///< Until a VM forwards a batch; longer if its processor is busy.
};

struct Outcome {
    uint64_t m_datagrams = 0; ///< Sent by the VM that takes the requests.
    uint64_t m_mostForwarded = 0; ///< By one other VM.
    uint64_t m_applied = 0;
    uint64_t m_due = 0; ///< Events times VMs that could hear them.
    uint64_t m_disordered = 0; ///< Events applied after later ones, or twice.

    double missed() const { return 1 - double(m_applied) / double(m_due); }
    double datagramsPerSecond() const
    {
        return double(m_datagrams) / std::chrono::duration<double>(LoadTime).count();
    }
};

/// One VM with events at a constant rate, and its peers; a network in virtual time.
class Simulation
{
public:
    Simulation(size_t peers, Faults faults, uint64_t seed)
        : m_peers(peers)
        , m_faults(faults)
        , m_random(seed)
        , m_forwarded(peers)
        , m_receivers(peers)
        , m_lastApplied(peers)
    {
        for (size_t i = 0; i < peers; ++i)
            m_dead.push_back(draw() < faults.m_dead);
    }

    Outcome run()
    {
        for (TimePoint now = Start; now < Start + LoadTime; now += EventPeriod) {
            deliver(now);
            addEvent(now);
            if (!m_batch.empty() && now - m_batchBegan >= m_settings.m_batchPeriod)
                flush(now);
        }
        flush(Start + LoadTime);
        deliver(TimePoint::max());
        m_outcome.m_mostForwarded = *std::max_element(m_forwarded.begin(), m_forwarded.end());
        return m_outcome;
    }

private:
    static constexpr TimePoint Start{ Seconds(1'000) };
    static constexpr uint64_t Origin = 7;

    struct Datagram {
        uint64_t m_number = 0; ///< Zero: a single event.
        std::vector<uint64_t> m_repeats;
        std::vector<uint64_t> m_events;
    };

    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void addEvent(TimePoint now)
    {
        const uint64_t event = ++m_events;
        m_outcome.m_due += static_cast<uint64_t>(std::count(m_dead.begin(), m_dead.end(), false));
        if (m_budget.countEvent(m_peers, now)) {
            if (m_batch.empty())
                m_batchBegan = now;
            m_batch.push_back(event);
            return;
        }
        flush(now);
        for (size_t peer = 0; peer < m_peers; ++peer)
            send(peer, { 0, {}, { event } }, now + MinForwardTime);
        m_outcome.m_datagrams += m_peers;
    }

    void flush(TimePoint now)
    {
        if (m_batch.empty())
            return;
        const Datagram batch{ ++m_batches, m_lastBatch, m_batch };
        for (const auto &group : drawForwardGroups(m_peers, m_settings.m_maxGroups, m_random)) {
            ++m_outcome.m_datagrams;
            const size_t first = group.front();
            if (!send(first, batch, now + MinForwardTime))
                continue;
            m_forwarded[first] += group.size() - 1;
            const auto forwardTime =
                MinForwardTime + (m_faults.m_maxForwardTime - MinForwardTime) * draw();
            for (size_t i = 1; i < group.size(); ++i)
                send(group[i], batch, now + std::chrono::duration_cast<Duration>(forwardTime));
        }
        m_lastBatch = std::exchange(m_batch, {});
    }

    /// Returns whether it arrives.
    bool send(size_t peer, const Datagram &datagram, TimePoint at)
    {
        if (m_dead[peer] || draw() < m_faults.m_loss)
            return false;
        m_inFlight.emplace(at, std::make_pair(peer, datagram));
        return true;
    }

    void deliver(TimePoint now)
    {
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= now) {
            const auto [peer, datagram] = m_inFlight.begin()->second;
            m_inFlight.erase(m_inFlight.begin());
            BatchPart part = BatchPart::New;
            if (datagram.m_number > 0)
                part = m_receivers[peer].receive({ Origin, datagram.m_number });
            if (part == BatchPart::All)
                apply(peer, datagram.m_repeats);
            if (part != BatchPart::None)
                apply(peer, datagram.m_events);
        }
    }

    void apply(size_t peer, const std::vector<uint64_t> &events)
    {
        for (const uint64_t event : events) {
            ++m_outcome.m_applied;
            m_outcome.m_disordered += event <= m_lastApplied[peer] ? 1 : 0;
            m_lastApplied[peer] = std::max(m_lastApplied[peer], event);
        }
    }

    const AnnouncementSettings m_settings;
    AnnouncementBudget m_budget{ m_settings };
    const size_t m_peers;
    const Faults m_faults;
    RandomEngine m_random;
    std::vector<bool> m_dead;
    std::vector<uint64_t> m_forwarded;
    std::vector<ReceivedBatches> m_receivers;
    std::vector<uint64_t> m_lastApplied;
    std::multimap<TimePoint, std::pair<size_t, Datagram>> m_inFlight;
    std::vector<uint64_t> m_batch;
    std::vector<uint64_t> m_lastBatch;
    TimePoint m_batchBegan{};
    uint64_t m_batches = 0;
    uint64_t m_events = 0;
    Outcome m_outcome;
};

/// Peers of a VM in fleets of 6 and 76 VMs, and in a cell of a fleet of 985.
class AnnouncementFleetTest : public testing::TestWithParam<size_t>
{ };

INSTANTIATE_TEST_SUITE_P(Peers, AnnouncementFleetTest, testing::Values(5, 75, 123));

TEST_P(AnnouncementFleetTest, OneVmWithAllRequestsStaysWithinItsBudget)
{
    const AnnouncementSettings settings;
    const Outcome outcome = Simulation(GetParam(), {}, 1).run();
    // What was saved is spent once.
    const double saved =
        settings.m_datagramsPerSecond * std::chrono::duration<double>(settings.m_maxSaving).count();
    EXPECT_LE(outcome.m_datagrams, settings.m_datagramsPerSecond * 5 + saved);
    EXPECT_LE(outcome.m_mostForwarded, settings.m_datagramsPerSecond * 5);
    EXPECT_EQ(outcome.missed(), 0);
    EXPECT_EQ(outcome.m_disordered, 0u);
}

TEST_P(AnnouncementFleetTest, LostMessagesAndDeadVmsHideFewEvents)
{
    for (const Faults &faults : { Faults{ 0.03, 0 }, Faults{ 0.2, 0 }, Faults{ 0, 0.17 },
                                  Faults{ 0.03, 0, Millis(100) } }) {
        for (uint64_t seed = 1; seed <= 10; ++seed) {
            const Outcome outcome = Simulation(GetParam(), faults, seed).run();
            EXPECT_LE(outcome.missed(), MaxMissed)
                << faults.m_loss << " " << faults.m_dead << " " << faults.m_maxForwardTime.count();
            EXPECT_EQ(outcome.m_disordered, 0u);
        }
    }
}

TEST(AnnouncementBudgetTest, EventsAreAnnouncedAtOnceAgainWhenTheLoadHasEnded)
{
    const AnnouncementSettings settings;
    AnnouncementBudget budget(settings);
    constexpr size_t Peers = 75;
    TimePoint now{ Seconds(1'000) };
    for (int i = 0; i < 1'000; ++i)
        budget.countEvent(Peers, now += EventPeriod);
    EXPECT_TRUE(budget.batches());
    EXPECT_TRUE(budget.countEvent(Peers, now + settings.m_maxSaving / 2));
    EXPECT_FALSE(budget.countEvent(Peers, now + 2 * settings.m_maxSaving));
}

TEST(AnnouncementBudgetTest, EvenLoadOfTheTargetFleetsIsAnnouncedAtOnce)
{
    AnnouncementBudget budget;
    constexpr size_t Peers = 75;
    constexpr Millis Period{ 100 };
    TimePoint now{ Seconds(1'000) };
    for (int i = 0; i < 100; ++i)
        EXPECT_FALSE(budget.countEvent(Peers, now += Period));
}

TEST(ReceivedBatchesTest, OlderBatchesAreDroppedAndMissingOnesAreMadeUpFor)
{
    ReceivedBatches received;
    EXPECT_EQ(received.receive({ 1, 1 }), BatchPart::New);
    EXPECT_EQ(received.receive({ 1, 3 }), BatchPart::All);
    EXPECT_EQ(received.receive({ 1, 2 }), BatchPart::None);
    EXPECT_EQ(received.receive({ 1, 4 }), BatchPart::New);
    EXPECT_EQ(received.receive({ 2, 9 }), BatchPart::All); // Of another VM.
    received.forget(2);
    EXPECT_EQ(received.receive({ 2, 9 }), BatchPart::All);
}

} // namespace
} // namespace stackquay
