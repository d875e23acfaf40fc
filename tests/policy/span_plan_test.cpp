#include <map>

#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

std::vector<SpanEngine> engines(const std::vector<uint64_t> &freeTokens, uint64_t total)
{
    std::vector<SpanEngine> result;
    for (size_t i = 0; i < freeTokens.size(); ++i)
        result.push_back({ EndpointId("e" + std::to_string(i)), total, freeTokens[i] });
    return result;
}

TEST(SpanPlan, UsesTheFewestEnginesInIdOrder)
{
    const auto plan =
        planSpan({ 900'000, 1'000, 4 }, engines({ 400'000, 100'000, 390'000, 380'000 }, 400'000));
    ASSERT_TRUE(plan);
    ASSERT_EQ(plan->size(), 3U);
    uint64_t next = 0;
    for (const SpanSegment &segment : *plan) {
        EXPECT_EQ(segment.m_firstToken, next);
        next += segment.m_promptTokens;
    }
    EXPECT_EQ(next, 900'000U);
    EXPECT_EQ(plan->front().m_endpoint, EndpointId("e0"));
    EXPECT_EQ(plan->back().m_endpoint, EndpointId("e3"));
    EXPECT_EQ(plan->back().m_reservedTokens, plan->back().m_promptTokens + 1'000);
}

TEST(SpanPlan, RefusalMessagesContainTheLimit)
{
    const auto tooLong = planSpan({ 900'000, 0, 2 }, engines({ 1, 1, 1 }, 400'000));
    ASSERT_FALSE(tooLong);
    EXPECT_EQ(tooLong.error().m_error, RequestError::PromptTooLong);
    EXPECT_EQ(tooLong.error().m_outcome, Outcome::RefusedNotRun);
    EXPECT_NE(tooLong.error().m_message.find("800000 tokens on 2 engines"), std::string::npos);
    const auto notNow = planSpan({ 700'000, 0, 2 }, engines({ 400'000, 1, 1 }, 400'000));
    ASSERT_FALSE(notNow);
    EXPECT_EQ(notNow.error().m_error, RequestError::NoCapacity);
    EXPECT_GT(notNow.error().m_retryAfter, Duration{});
    EXPECT_FALSE(planSpan({ 10, 0, 2 }, {}));
}

TEST(SpanPlan, RandomPlansFitTheirEngines)
{
    RandomEngine random(9);
    int planned = 0;
    for (int i = 0; i < 5'000; ++i) {
        std::vector<uint64_t> free;
        for (size_t n = 1 + random() % 6; n > 0; --n)
            free.push_back(random() % 1'000);
        const auto all = engines(free, 1'000);
        const SpanNeed need{ 1 + random() % 3'000, random() % 100,
                             static_cast<uint32_t>(1 + random() % 5) };
        const auto plan = planSpan(need, all);
        if (!plan)
            continue;
        planned += 1;
        ASSERT_LE(plan->size(), need.m_maxSpan);
        uint64_t tokens = 0;
        for (const SpanSegment &segment : *plan) {
            const size_t index = std::stoul(segment.m_endpoint.str().substr(1));
            ASSERT_LE(segment.m_reservedTokens, free[index]);
            ASSERT_EQ(segment.m_firstToken, tokens);
            tokens += segment.m_promptTokens;
        }
        ASSERT_EQ(tokens, need.m_promptTokens);
    }
    EXPECT_GT(planned, 500);
}

/// Simulates engines with finite memory. With faults, messages are lost, duplicated, delayed and
/// reordered, and engines die.
class SpanSim
{
public:
    static constexpr uint64_t Memory = 100;
    static constexpr size_t EngineCount = 4;

    SpanSim(uint64_t seed, bool faults)
        : m_random(seed)
        , m_faults(faults)
    { }

    void start(size_t index, const std::vector<SpanSegment> &segments)
    {
        m_spans.resize(std::max(m_spans.size(), index + 1));
        m_spans[index] = makeSpan(m_settings, AttemptId("a" + std::to_string(index)), segments);
        handle(index, { SpanEventKind::Start, {}, {} });
    }

    void run(Duration length)
    {
        const TimePoint end = m_now + length;
        while (m_now < end) {
            m_now += Millis(100);
            dropExpired();
            while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
                const auto message = m_queue.begin()->second;
                m_queue.erase(m_queue.begin());
                message();
            }
            for (size_t i = 0; i < m_spans.size(); ++i)
                tick(i);
            checkMemory();
        }
    }

    size_t handlesLeft() const { return m_handles.size(); }
    const Span &span(size_t index) const { return m_spans[index]; }
    int reports(size_t index) const { return m_reports.contains(index) ? m_reports.at(index) : 0; }

private:
    struct Handle {
        size_t m_span = 0;
        EndpointId m_engine;
        uint64_t m_tokens = 0;
        TimePoint m_expiry{};
        bool m_used = false;
    };

    bool chance(unsigned percent) { return m_faults && m_random() % 100 < percent; }

    void send(std::function<void()> message)
    {
        if (chance(15))
            return;
        const bool late = chance(10);
        const Duration delay = Millis(late ? m_random() % 40'000 : 1 + m_random() % 50);
        if (chance(10))
            m_queue.emplace(m_now + delay + Millis(500), message);
        m_queue.emplace(m_now + delay, std::move(message));
    }

    void tick(size_t index)
    {
        const auto due = nextSpanTick(m_spans[index]);
        if (due && *due <= m_now)
            handle(index, { SpanEventKind::Tick, {}, {} });
        if (chance(1) && m_spans[index].m_state != SpanState::Ended)
            handle(index, { SpanEventKind::Cancel, {}, {} });
        if (!chance(1) || m_random() % 5 != 0)
            return;
        const EndpointId dead("e" + std::to_string(m_random() % EngineCount));
        std::erase_if(m_handles, [&](const auto &item) { return item.second.m_engine == dead; });
        for (size_t i = 0; i < m_spans.size(); ++i)
            handle(i, { SpanEventKind::MemberDied, dead, {} });
    }

    void handle(size_t index, const SpanEvent &event)
    {
        for (const SpanAction &action : onSpanEvent(m_spans[index], event, m_now))
            perform(index, action);
    }

    void reply(size_t index, SpanEventKind kind, const EndpointId &engine, const std::string &name)
    {
        send([this, index, kind, engine, name] { handle(index, { kind, engine, name }); });
    }

    void perform(size_t index, const SpanAction &action)
    {
        if (action.m_kind == SpanActionKind::Report) {
            m_reports[index] += 1;
            return;
        }
        send([this, index, action] { onEngine(index, action); });
    }

    void onEngine(size_t index, const SpanAction &action)
    {
        const EndpointId &engine = action.m_endpoint;
        switch (action.m_kind) {
        case SpanActionKind::Reserve: {
            if (used(engine) + action.m_tokens > Memory)
                return reply(index, SpanEventKind::Refused, engine, {});
            const std::string name = "h" + std::to_string(++m_lastHandle);
            m_handles[name] = { index, engine, action.m_tokens, m_now + m_settings.m_reservationTtl,
                                false };
            return reply(index, SpanEventKind::Reserved, engine, name);
        }
        case SpanActionKind::Fill: {
            const auto found = m_handles.find(action.m_handle);
            if (found == m_handles.end())
                return reply(index, SpanEventKind::FillFailed, engine, {});
            found->second.m_used = true;
            return reply(index, SpanEventKind::Filled, engine, {});
        }
        case SpanActionKind::Run:
            return reply(index, chance(20) ? SpanEventKind::RunFailed : SpanEventKind::RunComplete,
                         {}, {});
        default:
            std::erase_if(m_handles, [&](const auto &item) {
                return item.second.m_span == index && item.second.m_engine == engine;
            });
            return reply(index, SpanEventKind::Released, engine, {});
        }
    }

    uint64_t used(const EndpointId &engine) const
    {
        uint64_t sum = 0;
        for (const auto &[name, handle] : m_handles)
            sum += handle.m_engine == engine ? handle.m_tokens : 0;
        return sum;
    }

    void dropExpired()
    {
        std::erase_if(m_handles, [&](const auto &item) {
            return !item.second.m_used && item.second.m_expiry <= m_now;
        });
    }

    void checkMemory() const
    {
        for (size_t i = 0; i < EngineCount; ++i)
            ASSERT_LE(used(EndpointId("e" + std::to_string(i))), Memory);
    }

    RandomEngine m_random;
    bool m_faults;
    TimePoint m_now{ Seconds(1'000) };
    SpanSettings m_settings;
    std::vector<Span> m_spans;
    std::map<std::string, Handle> m_handles;
    std::map<size_t, int> m_reports;
    std::multimap<TimePoint, std::function<void()>> m_queue;
    int m_lastHandle = 0;
};

std::vector<SpanSegment> segmentsOnAllEngines()
{
    std::vector<SpanSegment> segments;
    for (size_t i = 0; i < SpanSim::EngineCount; ++i)
        segments.push_back({ EndpointId("e" + std::to_string(i)), i * 100, 100, 100 });
    return segments;
}

TEST(Span, CompletesAndLeavesNoHandle)
{
    SpanSim sim(1, false);
    sim.start(0, segmentsOnAllEngines());
    sim.run(Seconds(30));
    EXPECT_EQ(sim.span(0).m_result, SpanResult::Complete);
    EXPECT_EQ(sim.span(0).m_state, SpanState::Ended);
    EXPECT_EQ(sim.handlesLeft(), 0U);
    EXPECT_EQ(sim.reports(0), 1);
}

TEST(Span, OneOfTwoCompetingSpansCompletes)
{
    for (uint64_t seed = 0; seed < 200; ++seed) {
        SpanSim sim(seed, false);
        sim.start(0, segmentsOnAllEngines());
        sim.start(1, segmentsOnAllEngines());
        sim.run(Seconds(30));
        int complete = 0;
        for (size_t i = 0; i < 2; ++i) {
            ASSERT_EQ(sim.span(i).m_state, SpanState::Ended);
            complete += sim.span(i).m_result == SpanResult::Complete ? 1 : 0;
        }
        ASSERT_GE(complete, 1) << "seed " << seed;
        ASSERT_EQ(sim.handlesLeft(), 0U);
    }
}

TEST(Span, NoHandleIsLeftAfterAnyFailure)
{
    std::map<SpanResult, int> results;
    for (uint64_t seed = 0; seed < 2'000; ++seed) {
        SpanSim sim(seed, true);
        for (size_t i = 0; i < 3; ++i)
            sim.start(i, segmentsOnAllEngines());
        sim.run(Seconds(240));
        for (size_t i = 0; i < 3; ++i) {
            ASSERT_EQ(sim.span(i).m_state, SpanState::Ended) << "seed " << seed;
            ASSERT_EQ(sim.reports(i), 1) << "seed " << seed;
            results[sim.span(i).m_result] += 1;
        }
        ASSERT_EQ(sim.handlesLeft(), 0U) << "seed " << seed;
    }
    EXPECT_GT(results[SpanResult::Complete], 0);
    EXPECT_GT(results[SpanResult::NoMemory], 0);
    EXPECT_GT(results[SpanResult::Expired], 0);
    EXPECT_GT(results[SpanResult::MemberLost], 0);
}

TEST(Span, ReportsBeforeReleasesAreConfirmed)
{
    Span span = makeSpan({}, AttemptId("a"), segmentsOnAllEngines());
    const TimePoint now{ Seconds(1'000) };
    onSpanEvent(span, { SpanEventKind::Start, {}, {} }, now);
    onSpanEvent(span, { SpanEventKind::Reserved, EndpointId("e0"), "h" }, now);
    const auto actions = onSpanEvent(span, { SpanEventKind::Refused, EndpointId("e1"), {} }, now);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(actions[0].m_kind, SpanActionKind::Report);
    EXPECT_EQ(actions[1].m_kind, SpanActionKind::Release);
    EXPECT_EQ(actions[1].m_handle, "h");
    EXPECT_EQ(span.m_result, SpanResult::NoMemory);
}

} // namespace
} // namespace stackquay
