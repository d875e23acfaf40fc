#include <unordered_set>

#include <gtest/gtest.h>

#include "policy/policy.h"
#include "pool_loads.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(1'000);

EngineCosts declaredEngineCosts()
{
    return declaredCosts(16, 43);
}

std::vector<EndpointRecord> engines(size_t from, size_t to)
{
    std::vector<EndpointRecord> list;
    for (size_t i = from; i < to; ++i) {
        EndpointRecord record;
        record.m_id = EndpointId("e" + std::to_string(100 + i));
        record.m_address = "10.0.0." + std::to_string(i) + ":80";
        list.push_back(record);
    }
    return list;
}

LoadPart part(const EndpointRecord &engine, double readMs, uint64_t tokens = 0)
{
    return { engine.m_id, readMs, tokens };
}

AttemptLoad load(std::vector<LoadPart> parts, uint32_t gapLimitMs, TimePoint at = Start)
{
    return { std::move(parts), gapLimitMs, false, at, at + Seconds(10) };
}

/// The entry of a request whose latest start is @p after Start.
QueuedRequest queuedAt(Millis after)
{
    return { Start + after, Start + after, 0 };
}

/// A pool whose streams tolerate gaps of a second.
PoolSize declaredPool(size_t engines)
{
    return { engines, maxPassPrefill({}, declaredEngineCosts(), Millis(1'000)) };
}

GangQuery strictQuery(double tokens)
{
    GangQuery query;
    query.m_promptTokens = tokens;
    query.m_answerTokens = 1'300;
    query.m_gapLimitMs = 250;
    return query;
}

GangQuery longQuery(double tokens)
{
    GangQuery query = strictQuery(tokens);
    query.m_gapLimitMs = 1'000;
    query.m_expectedFirstEvent =
        longPromptFirstEvent({}, declaredEngineCosts(), tokens, 18, declaredPool(18).m_passPrefill);
    return query;
}

TEST(EngineCostsTest, FollowTheDeclaredCosts)
{
    const EngineCosts costs = declaredEngineCosts();
    EXPECT_NEAR(prefillDuration(costs, 4'960).count(), 24.08 + 1.70, 0.1);
    EXPECT_NEAR(prefillDuration(costs, 133'000).count(), 645.6 + 1'220.5, 1);
    EXPECT_NEAR(passTime(costs, 10, 55'000).count(), 43 * (1.02 + 0.0226 + 0.237), 0.1);
}

TEST(StreamLedgerTest, SumsPartsAndRemovesEndedAttempts)
{
    StreamLedger ledger;
    const auto pool = engines(0, 2);
    ledger.place({ 1, 1 }, load({ part(pool[0], 100, 5'000), part(pool[1], 100) }, 1'000));
    ledger.place({ 1, 2 }, load({ part(pool[0], 20, 3'000) }, 250));
    EndpointUses uses = ledger.uses(Start);
    EXPECT_EQ(uses[pool[0].m_id].m_attempts, 2u);
    EXPECT_EQ(uses[pool[0].m_id].m_strictAttempts, 1u);
    EXPECT_EQ(uses[pool[0].m_id].m_tokens, 8'000u);
    EXPECT_DOUBLE_EQ(uses[pool[0].m_id].m_prefillBacklogMs, 120);
    EXPECT_DOUBLE_EQ(uses[pool[0].m_id].m_longPrefillMs, 100);
    EXPECT_EQ(uses[pool[1].m_id].m_attempts, 0u);
    EXPECT_DOUBLE_EQ(uses[pool[1].m_id].m_prefillBacklogMs, 100);
    EXPECT_EQ(ledger.activeLongPrefills().m_prompts, 1u);
    EXPECT_DOUBLE_EQ(ledger.activeLongPrefills().m_prefillMs, 200);
    ledger.recordFirstEvent({ 1, 1 });
    EXPECT_EQ(ledger.activeLongPrefills().m_prompts, 0u);
    uses = ledger.uses(Start);
    EXPECT_DOUBLE_EQ(uses[pool[1].m_id].m_prefillBacklogMs, 0);
    EXPECT_EQ(uses[pool[0].m_id].m_decodingStreams, 1u);
    ledger.end({ 1, 1 });
    ledger.forgetOrigin(1);
    EXPECT_EQ(ledger.size(), 0u);
}

TEST(StreamLedgerTest, EntriesWithoutReportedEndExpire)
{
    StreamLedger ledger;
    const auto pool = engines(0, 1);
    ledger.place({ 1, 1 }, load({ part(pool[0], 100) }, 1'000));
    EXPECT_EQ(ledger.uses(Start + Seconds(10)).size(), 0u);
    EXPECT_EQ(ledger.size(), 0u);
}

TEST(StreamLedgerTest, LatePlacementReportsCountAtTheirTime)
{
    StreamLedger ledger;
    const auto pool = engines(0, 1);
    const auto placedAt = [](AttemptLoad load, TimePoint at) {
        load.m_placedAt = at;
        return load;
    };
    const TimePoint now = Start + Seconds(3);
    ledger.place({ 1, 1 }, placedAt(load({ part(pool[0], 100) }, 1'000), now));
    ledger.place({ 2, 1 }, placedAt(load({ part(pool[0], 30) }, 1'000), now - Millis(1'000)));
    ledger.place({ 2, 2 }, placedAt(load({ part(pool[0], 7) }, 1'000), now - LongPrefillWindow));
    ledger.place({ 2, 3 }, placedAt(load({ part(pool[0], 10) }, 250), now - StrictRateWindow));
    ledger.place({ 2, 4 }, placedAt(load({ part(pool[0], 10) }, 250), now - Millis(100)));
    EXPECT_DOUBLE_EQ(ledger.uses(now)[pool[0].m_id].m_recentLongPrefillMs, 130);
    EXPECT_EQ(ledger.recentStrictPlacements(now), 1u);
    const TimePoint later = now - Millis(1'000) + LongPrefillWindow;
    EXPECT_DOUBLE_EQ(ledger.uses(later)[pool[0].m_id].m_recentLongPrefillMs, 100);
}

TEST(StreamLedgerTest, DuplicatePlacementReportsCountOnce)
{
    StreamLedger ledger;
    const auto pool = engines(0, 1);
    for (int i = 0; i < 2; ++i) {
        ledger.place({ 1, 1 }, load({ part(pool[0], 100) }, 1'000));
        ledger.place({ 1, 2 }, load({ part(pool[0], 20) }, 250));
    }
    EXPECT_EQ(ledger.size(), 2u);
    EXPECT_DOUBLE_EQ(ledger.uses(Start)[pool[0].m_id].m_recentLongPrefillMs, 100);
    EXPECT_EQ(ledger.recentStrictPlacements(Start), 1u);
}

// If idle time counted as work done, an engine that had finished its part of an unfinished prompt
// would show no backlog after a later placement. First events of long prompts then came 1 s after
// their prediction.
TEST(StreamLedgerTest, IdleTimeDoesNotReduceTheBacklog)
{
    StreamLedger ledger;
    const auto pool = engines(0, 2);
    // The second engine still prefills its part, so the prompt has no first event.
    ledger.place({ 1, 1 }, load({ part(pool[1], 3'000), part(pool[0], 300) }, 1'000));
    const TimePoint later = Start + Seconds(1);
    ledger.place({ 1, 2 }, load({ part(pool[0], 400) }, 1'000, later));
    EXPECT_DOUBLE_EQ(ledger.uses(later)[pool[0].m_id].m_prefillBacklogMs, 400);
    EXPECT_DOUBLE_EQ(ledger.uses(later + Millis(100))[pool[0].m_id].m_prefillBacklogMs, 300);
}

TEST(StreamLedgerTest, SumsUpTheSmallestGapLimit)
{
    StreamLedger ledger;
    const auto pool = engines(0, 2);
    ledger.place({ 1, 1 }, load({ part(pool[0], 100), part(pool[1], 100) }, 1'000));
    ledger.place({ 1, 2 }, load({ part(pool[0], 20) }, 250));
    EndpointUses uses = ledger.uses(Start);
    EXPECT_EQ(uses[pool[0].m_id].m_minGapLimitMs, 250u);
    EXPECT_EQ(uses[pool[1].m_id].m_minGapLimitMs, 0u);
}

TEST(GangPlanTest, ShortPromptGoesToTheLeastLoadedEngine)
{
    const auto pool = engines(0, 4);
    StreamLedger ledger;
    for (uint64_t i = 0; i < 3; ++i)
        ledger.place({ 1, i }, load({ part(pool[i], 20, 6'000) }, 250));
    const auto plan =
        planGang({}, declaredEngineCosts(), { pool, {} }, ledger.uses(Start), strictQuery(5'000));
    ASSERT_TRUE(plan);
    ASSERT_EQ(plan->m_members.size(), 1u);
    EXPECT_EQ(plan->m_members[0].m_endpoint.m_id, pool[3].m_id);
}

TEST(GangPlanTest, OwnSidePrefillsLongPromptInEqualParts)
{
    const auto own = engines(0, 14);
    const auto plan =
        planGang({}, declaredEngineCosts(), { own, engines(14, 18) }, {}, longQuery(133'000));
    ASSERT_TRUE(plan);
    EXPECT_EQ(plan->m_members.size(), 14u);
    const double whole = prefillDuration(declaredEngineCosts(), 133'000).count();
    for (const GangMember &member : plan->m_members) {
        EXPECT_NEAR(member.m_prefillMs, whole / 14, 0.01);
        EXPECT_FALSE(member.m_reserve);
    }
}

// Guards against short prompts that wait behind a long one on their side while others are idle.
TEST(GangPlanTest, ShortPromptUsesOtherEnginesIfItsOwnSideIsBehind)
{
    const auto own = engines(0, 1);
    const auto others = engines(1, 4);
    GangQuery query = strictQuery(5'000);
    query.m_expectedFirstEvent = FloatMillis(150);
    const auto answerer = [&](const EndpointUses &uses) {
        return planGang({}, declaredEngineCosts(), { own, others }, uses, query)
            ->m_members.front()
            .m_endpoint.m_id;
    };
    EXPECT_EQ(answerer({}), own[0].m_id);
    StreamLedger ledger;
    ledger.place({ 1, 1 }, load({ part(own[0], 1'000) }, 0));
    EXPECT_NE(answerer(ledger.uses(Start)), own[0].m_id);
    // The other engines are no faster.
    for (uint64_t i = 0; i < others.size(); ++i)
        ledger.place({ 2, i }, load({ part(others[i], 1'000) }, 0));
    EXPECT_EQ(answerer(ledger.uses(Start)), own[0].m_id);
}

TEST(GangPlanTest, SmallSideUsesOtherEnginesOnlyForShortParts)
{
    const auto own = engines(0, 1);
    const auto others = engines(1, 18);
    StreamLedger ledger;
    for (uint64_t i = 0; i < 17; ++i) {
        ledger.place({ 1, i }, load({ part(others[i], 0, 5'000) }, 250));
        ledger.recordFirstEvent({ 1, i });
    }
    const EndpointUses uses = ledger.uses(Start);
    const auto usual =
        planGang({}, declaredEngineCosts(), { own, others }, uses, longQuery(120'000));
    ASSERT_TRUE(usual);
    EXPECT_EQ(usual->m_members.size(), 17u);
    // The part and a pass together stay below the gap limit of 250 ms.
    for (const GangMember &member : usual->m_members)
        EXPECT_LE(member.m_prefillMs, 110);
    const auto huge =
        planGang({}, declaredEngineCosts(), { own, others }, uses, longQuery(200'000));
    ASSERT_TRUE(huge);
    EXPECT_EQ(huge->m_members.size(), 1u);
}

// Guards against engines of strict streams that are used for a prompt because its caller
// leaves soon, and not because its own side is behind.
TEST(GangPlanTest, OtherEnginesHelpOnlyIfTheOwnSideTakesLongerThanExpected)
{
    const auto own = engines(0, 8);
    const auto others = engines(8, 18);
    const auto usesOthers = [&](const GangQuery &query, const EndpointUses &uses) {
        const auto plan = planGang({}, declaredEngineCosts(), { own, others }, uses, query);
        return plan
               && std::any_of(plan->m_members.begin(), plan->m_members.end(),
                              [&](const GangMember &member) {
                                  return member.m_endpoint.m_id >= others.front().m_id;
                              });
    };
    ModelRequest request;
    request.m_promptTokens = 120'000;
    request.m_gapLimitMs = 1'000;
    for (const Duration patience : { Millis(100), Millis(1'000), Millis(10'000) }) {
        request.m_leavesAt = Start + patience;
        const GangQuery query = gangQueryOf({}, declaredEngineCosts(), request,
                                            DisruptionPolicy::Avoid, declaredPool(18));
        EXPECT_FALSE(usesOthers(query, {}));
        StreamLedger busy;
        for (uint64_t i = 0; i < own.size(); ++i)
            busy.place({ 1, i }, load({ part(own[i], 3'000) }, 0));
        EXPECT_TRUE(usesOthers(query, busy.uses(Start)));
    }
}

TEST(GangPlanTest, PromptBeyondOneEnginesMemoryIsReservedInFull)
{
    const auto own = engines(0, 14);
    for (const double tokens : { 230'000.0, 400'000.0, 600'000.0 }) {
        const auto plan = planGang({}, declaredEngineCosts(), { own, {} }, {}, longQuery(tokens));
        ASSERT_TRUE(plan) << tokens;
        uint64_t held = 0;
        for (const GangMember &member : plan->m_members) {
            held += member.m_tokens;
            EXPECT_LE(member.m_tokens, 232'000u);
        }
        EXPECT_GE(held, static_cast<uint64_t>(tokens) + 1'300);
        EXPECT_FALSE(plan->m_members[0].m_reserve);
    }
}

TEST(GangPlanTest, NoPlanIfTheMemoryIsNotThere)
{
    EXPECT_FALSE(
        planGang({}, declaredEngineCosts(), { engines(0, 2), {} }, {}, longQuery(600'000)));
    EXPECT_FALSE(planGang({}, declaredEngineCosts(), {}, {}, longQuery(1'000)));
}

// An engine with a long backlog delays every prompt that it helps with: the predicted first event
// of prompts that thirteen other engines prefill in 0.3 s was 12 s.
TEST(GangPlanTest, EngineWithLongBacklogIsNotUsed)
{
    const auto own = engines(0, 14);
    StreamLedger ledger;
    ledger.place({ 1, 1 }, load({ part(own[3], 12'000) }, 1'000));
    const auto plan =
        planGang({}, declaredEngineCosts(), { own, {} }, ledger.uses(Start), longQuery(133'000));
    ASSERT_TRUE(plan);
    EXPECT_EQ(plan->m_members.size(), 13u);
    EXPECT_LT(plan->m_firstEvent.count(), 400);
    for (const GangMember &member : plan->m_members)
        EXPECT_NE(member.m_endpoint.m_id, own[3].m_id);
}

// On each engine the part, a pass and the backlog together stay below the gap limit of its streams.
// Without that, 24 in 100 of the longest streams that started in time exceeded their gap limit
// later.
TEST(GangPlanTest, PartsKeepStreamsWithinTheirGapLimits)
{
    const auto own = engines(0, 14);
    const EngineCosts costs = declaredEngineCosts();
    StreamLedger ledger;
    for (uint64_t i = 0; i < 7; ++i) {
        ledger.place({ 1, i }, load({ part(own[i], 0, 130'000) }, 600));
        ledger.recordFirstEvent({ 1, i });
        ledger.place({ 2, i }, load({ part(own[13], 0), part(own[i], 60.0 * i) }, 0));
    }
    const EndpointUses uses = ledger.uses(Start);
    const auto plan = planGang({}, costs, { own, {} }, uses, longQuery(300'000));
    ASSERT_TRUE(plan);
    EXPECT_EQ(plan->m_disruptedStreams, 0u);
    EXPECT_GE(plan->m_members.size(), 7u);
    for (const GangMember &member : plan->m_members) {
        const auto use = uses.find(member.m_endpoint.m_id);
        if (use == uses.end() || use->second.m_minGapLimitMs == 0)
            continue;
        const double pass = passTime(costs, 1, 130'000).count();
        EXPECT_LE(member.m_prefillMs + use->second.m_prefillBacklogMs + pass,
                  use->second.m_minGapLimitMs);
    }
}

TEST(GangPlanTest, NoPlanWithoutDisruptionIfStreamsTolerateNothing)
{
    const auto own = engines(0, 4);
    StreamLedger ledger;
    for (uint64_t i = 0; i < 8; ++i)
        ledger.place({ 1, i }, load({ part(own[i % 4], 0, 5'000) }, 100));
    GangQuery query = longQuery(133'000);
    EXPECT_FALSE(planGang({}, declaredEngineCosts(), { own, {} }, ledger.uses(Start), query));
    query.m_disruption = DisruptionPolicy::Permit;
    const auto plan = planGang({}, declaredEngineCosts(), { own, {} }, ledger.uses(Start), query);
    ASSERT_TRUE(plan);
    EXPECT_EQ(plan->m_disruptedStreams, 8u);
}

// Answers gather on engines that already decode, so that the other engines stay free for prefills.
TEST(GangPlanTest, DecodingEngineAnswersTheNextLongPrompt)
{
    const auto own = engines(0, 14);
    StreamLedger ledger;
    ledger.place({ 1, 1 }, load({ part(own[5], 0, 50'000) }, 1'000));
    ledger.recordFirstEvent({ 1, 1 });
    const auto plan =
        planGang({}, declaredEngineCosts(), { own, {} }, ledger.uses(Start), longQuery(133'000));
    ASSERT_TRUE(plan);
    EXPECT_EQ(plan->m_members[0].m_endpoint.m_id, own[5].m_id);
}

TEST(PoolSplitTest, DependsOnTheDemandOfBothSides)
{
    const auto pool = engines(0, 18);
    PoolSplit split;
    StreamLedger ledger;
    EXPECT_EQ(strictEngines(split, pool, ledger.uses(Start), {}, Start).size(), 1u);
    for (uint64_t i = 0; i < 60; ++i)
        ledger.place({ 1, i }, load({ part(pool[i % 18], 0, 5'000) }, 250));
    EXPECT_EQ(strictEngines(split, pool, ledger.uses(Start), {}, Start).size(), 6u);
    for (uint64_t i = 60; i < 240; ++i)
        ledger.place({ 1, i }, load({ part(pool[i % 18], 0, 5'000) }, 250));
    const size_t most = strictEngines(split, pool, ledger.uses(Start), {}, Start).size();
    EXPECT_GT(most, 14u);
    EXPECT_LT(most, 18u);
}

TEST(PoolSplitTest, ShrinksAfterADelay)
{
    const auto pool = engines(0, 18);
    PoolSplit split;
    StreamLedger ledger;
    for (uint64_t i = 0; i < 60; ++i)
        ledger.place({ 1, i }, load({ part(pool[i % 18], 0, 5'000) }, 250));
    EXPECT_EQ(strictEngines(split, pool, ledger.uses(Start), {}, Start).size(), 6u);
    ledger.forgetOrigin(1);
    const TimePoint soon = Start + split.m_settings.m_shrinkDelay / 2;
    EXPECT_EQ(strictEngines(split, pool, ledger.uses(soon), {}, soon).size(), 6u);
    const TimePoint later = Start + split.m_settings.m_shrinkDelay;
    EXPECT_EQ(strictEngines(split, pool, ledger.uses(later), {}, later).size(), 1u);
}

TEST(PoolSplitTest, OverloadRaisesStrictStreamsPerEngine)
{
    const auto pool = engines(0, 18);
    PoolSplit split;
    StreamLedger ledger;
    for (uint64_t i = 0; i < 100; ++i)
        ledger.place({ 1, i }, load({ part(pool[i % 18], 0, 5'000) }, 250));
    for (uint64_t i = 0; i < 18; ++i)
        ledger.place({ 2, i }, load({ part(pool[i], 2'000) }, 1'000));
    // 13.6 streams per engine; in proportion they would get 6 engines, with 16.7 on each.
    EXPECT_EQ(strictEngines(split, pool, ledger.uses(Start), {}, Start).size(), 8u);
}

TEST(PoolSplitTest, LongPromptsKeepEnginesUnderStrictOverload)
{
    const auto pool = engines(0, 20);
    PoolSplit split;
    StreamLedger ledger;
    for (uint64_t i = 0; i < 18; ++i)
        ledger.place({ 2, i }, load({ part(pool[i], 2'000) }, 1'000));
    StrictDemand demand;
    demand.m_waiting = 230;
    EXPECT_EQ(strictEngines(split, pool, ledger.uses(Start), demand, Start).size(), 17u);
}

TEST(PoolSplitTest, CountsWaitingAndArrivingStreams)
{
    const auto pool = engines(0, 18);
    PoolSplit waiting;
    StrictDemand demand;
    demand.m_waiting = 60;
    EXPECT_EQ(strictEngines(waiting, pool, {}, demand, Start).size(), 6u);
    PoolSplit arriving;
    demand.m_waiting = 0;
    demand.m_arrivals = 40; // A hundred per second, each for 1.33 s.
    demand.m_streamTime = FloatMillis(1'330);
    EXPECT_GE(strictEngines(arriving, pool, {}, demand, Start).size(), 13u);
}

// When a phase of short prompts ends, the remaining strict streams stay on all engines for seconds.
// These engines have to be available to long prompts, as new strict streams need only a few.
TEST(PoolSplitTest, LeftoverStreamsReserveNoEngines)
{
    const auto pool = engines(0, 60);
    PoolSplit split;
    StreamLedger ledger;
    for (uint64_t i = 0; i < 240; ++i)
        ledger.place({ 1, i }, load({ part(pool[i % 60], 0, 5'000) }, 250));
    StrictDemand demand;
    demand.m_arrivals = 12; // Thirty per second.
    demand.m_streamTime = FloatMillis(1'500);
    demand.m_slots = 12;
    EXPECT_LE(strictEngines(split, pool, ledger.uses(Start), demand, Start).size(), 12u);
    // If as many new streams arrive as end, the load is steady and keeps its engines.
    demand.m_arrivals = 60;
    EXPECT_GE(strictEngines(split, pool, ledger.uses(Start), demand, Start).size(), 30u);
}

// Strict streams on engines that no longer belong to their side use no slots of that side.
TEST(DispatchQueueTest, StreamsOnOtherEnginesUseNoSlotOfTheSide)
{
    const auto pool = engines(0, 4);
    StreamLedger ledger;
    for (uint64_t i = 0; i < 8; ++i)
        ledger.place({ 1, i }, load({ part(pool[i % 4], 0, 5'000) }, 250));
    const SideLoad side = sideLoadOf(declaredEngineCosts(), pool, { pool[0].m_id },
                                     ledger.uses(Start), ledger.activeLongPrefills(), true);
    EXPECT_EQ(side.m_engines, 1u);
    EXPECT_EQ(side.m_strictStreams, 2u);
}

// Streams that tolerate longer gaps permit a larger prefill backlog.
TEST(DispatchQueueTest, AllowedPrefillsDependOnWhatStreamsTolerate)
{
    const DispatchSettings settings;
    SideLoad load;
    load.m_engines = 10;
    load.m_activePrefills = { settings.m_minConcurrentPrefills, 8'000 };
    load.m_passPrefill = FloatMillis(250);
    EXPECT_FALSE(mayStartPrefill(settings, load, {}));
    load.m_passPrefill = FloatMillis(500);
    EXPECT_TRUE(mayStartPrefill(settings, load, {}));
}

// Engines with twelve slots take fewer streams than those with sixteen.
TEST(PoolSplitTest, DependsOnTheSlotsOfAnEngine)
{
    const auto pool = engines(0, 18);
    PoolSplit split;
    StrictDemand demand;
    demand.m_waiting = 60;
    demand.m_slots = 12;
    EXPECT_EQ(strictEngines(split, pool, {}, demand, Start).size(), 8u);
}

// VMs that start at the same time, such as after a power failure, do not know each other's load.
TEST(PoolSplitTest, RestartedVmAssignsHalfToStrictStreams)
{
    PoolSplit split;
    StrictDemand demand;
    demand.m_peerLoadUnknown = true;
    EXPECT_EQ(strictEngines(split, engines(0, 18), {}, demand, Start).size(), 9u);
}

TEST(GangPlanTest, VmsWithoutKnownLoadChooseDifferentEngines)
{
    RandomEngine random(3);
    std::unordered_set<EndpointId> chosen;
    for (int vm = 0; vm < 40; ++vm) {
        GangQuery query = strictQuery(5'000);
        query.m_candidateQuery.m_drawJitter = [&] {
            return std::uniform_real_distribution<double>(0, 1)(random);
        };
        const auto plan = planGang({}, declaredEngineCosts(), { engines(0, 9), {} }, {}, query);
        chosen.insert(plan->m_members[0].m_endpoint.m_id);
    }
    EXPECT_GE(chosen.size(), 7u);
}

TEST(GangPlanTest, MediumPromptIsAnsweredOnTheStrictSide)
{
    const auto own = engines(0, 14);
    const auto others = engines(14, 18);
    const auto plan = planGang({}, declaredEngineCosts(), { own, others }, {}, longQuery(45'000));
    ASSERT_TRUE(plan);
    EXPECT_GE(plan->m_members[0].m_endpoint.m_id, others[0].m_id);
    for (size_t i = 1; i < plan->m_members.size(); ++i)
        EXPECT_LT(plan->m_members[i].m_endpoint.m_id, others[0].m_id);
}

// Guards against an order that leaves one caller less of its time than another.
TEST(DispatchQueueTest, OrdersByTheLatestStart)
{
    const LoadKey expired{ 1, 1 };
    const LoadKey early{ 1, 2 };
    const LoadKey other{ 1, 3 };
    const auto ahead = [](const DispatchQueue &queue, const LoadKey &key) {
        return positionOf(queue, key, Start).m_requestsAhead;
    };
    DispatchQueue queue;
    queue[expired] = queuedAt(Millis(0));
    queue[early] = queuedAt(Millis(500));
    queue[other] = queuedAt(Millis(900));
    EXPECT_EQ(ahead(queue, early), 0u);
    EXPECT_EQ(ahead(queue, other), 1u);
    EXPECT_EQ(ahead(queue, { 9, 9 }), 2u); // Not in the queue.
    queue.erase(early);
    EXPECT_EQ(ahead(queue, other), 0u);
}

// Starting one request at a time delayed a burst of 250 per second by 1.1 s although slots were
// free.
TEST(DispatchQueueTest, AllRequestsWithinTheLimitStartAtOnce)
{
    SideLoad load;
    load.m_slots = 64; // Of which 61 may be filled.
    load.m_strictStreams = 58;
    EXPECT_TRUE(mayStartStream({}, load, { 2, 0 }));
    EXPECT_FALSE(mayStartStream({}, load, { 3, 0 }));
    load.m_strictStreams = 61;
    EXPECT_FALSE(mayStartStream({}, load, { 0, 0 }));
}

TEST(DispatchQueueTest, EntryWithoutReportedEndExpires)
{
    const LoadKey gone{ 1, 1 };
    const LoadKey mine{ 2, 1 };
    DispatchQueue queue;
    queue[gone] = queuedAt(Seconds(2));
    queue[mine] = queuedAt(Seconds(4));
    EXPECT_EQ(positionOf(queue, mine, Start).m_requestsAhead, 1u);
    EXPECT_EQ(positionOf(queue, mine, Start + Seconds(2)).m_requestsAhead, 0u);
    dropExpired(queue, mine, Start + Seconds(5));
    EXPECT_EQ(queue.size(), 1u);
}

TEST(DispatchQueueTest, AllowedStartsDependOnTheLoad)
{
    const DispatchSettings settings;
    SideLoad load;
    load.m_passPrefill = FloatMillis(375);
    load.m_engines = 4;
    load.m_slots = 64;
    const auto allowed = [&](double aheadMs) {
        return mayStartPrefill(settings, load, { aheadMs > 0 ? 1u : 0u, aheadMs });
    };
    load.m_activePrefills = { settings.m_minConcurrentPrefills - 1, 10'000 };
    EXPECT_TRUE(allowed(0));
    EXPECT_FALSE(allowed(1));
    load.m_activePrefills = { settings.m_minConcurrentPrefills, 10'000 };
    EXPECT_FALSE(allowed(0));
    load.m_activePrefills = { settings.m_minConcurrentPrefills, 100 };
    EXPECT_TRUE(allowed(0));
    EXPECT_TRUE(allowed(2'899));
    EXPECT_FALSE(allowed(2'900));
    load.m_activePrefills = { 0, 0 };
    EXPECT_TRUE(mayStartPrefill(settings, load, { settings.m_minConcurrentPrefills - 1, 1e6 }));
    EXPECT_FALSE(mayStartPrefill(settings, load, { settings.m_minConcurrentPrefills, 1e6 }));
}

// To keep 48 engines busy for half a second, eight prompts of the largest declared kind have to be
// in prefill.
TEST(DispatchQueueTest, LargePoolsPrefillMorePromptsConcurrently)
{
    const DispatchSettings settings;
    const double read = prefillDuration(declaredEngineCosts(), 190'000).count();
    SideLoad load;
    load.m_passPrefill = FloatMillis(375);
    load.m_engines = 48;
    load.m_activePrefills = { 7, 7 * read };
    EXPECT_TRUE(mayStartPrefill(settings, load, {}));
    load.m_engines = 12;
    load.m_activePrefills = { 5, 5 * read };
    EXPECT_FALSE(mayStartPrefill(settings, load, {}));
}

// Guards against a backlog that follows a latency target instead of what streams tolerate.
TEST(DispatchQueueTest, TheBacklogIsWhatStreamsTolerateInTwoPasses)
{
    const EngineCosts costs = declaredEngineCosts();
    const FloatMillis pass = fullPassTime(costs);
    const FloatMillis tolerated = maxPassPrefill({}, costs, Millis(1'000));
    EXPECT_NEAR((tolerated + pass).count(), CandidateSettings{}.m_maxGapUse * 1'000, 1e-6);
    EXPECT_EQ(maxBacklogPerEngine({}, tolerated), tolerated * 2);
    // Streams without a gap limit, or with one that is shorter than a pass.
    EXPECT_EQ(maxPassPrefill({}, costs, Millis(0)), pass);
    EXPECT_EQ(maxPassPrefill({}, costs, Millis(1)), pass);
}

/// A long prompt with ten seconds until its caller leaves.
ModelRequest longRequest(double tokens)
{
    ModelRequest request;
    request.m_promptTokens = tokens;
    request.m_answerTokens = 1'300;
    request.m_gapLimitMs = 1'000;
    request.m_arrival = Start;
    request.m_leavesAt = Start + Seconds(10);
    request.m_deadline = Start + Seconds(60);
    return request;
}

// Guards against refusals that hide the reason: no set of engines had the memory, or all were busy.
TEST(DispatchQueueTest, RefusalReportsTheObstacle)
{
    const ModelRequest request = longRequest(100'000);
    const QueuedRequest queued =
        queuedRequestOf({}, declaredEngineCosts(), request, declaredPool(18));
    const GangPlanner noPlan = [](DisruptionPolicy) { return std::nullopt; };
    const auto decideAt = [&](Millis after, bool next) {
        return decideStart({}, declaredEngineCosts(), request, queued, next, Duration::zero(),
                           noPlan, Start + after);
    };
    const DispatchDecision waits = decideAt(Millis(100), true);
    EXPECT_FALSE(waits.m_tooLate);
    EXPECT_EQ(waits.m_obstacle, DispatchObstacle::NoEligibleEngines);
    const DispatchDecision refused = decideAt(Millis(9'500), true);
    EXPECT_TRUE(refused.m_tooLate);
    EXPECT_EQ(refused.m_obstacle, DispatchObstacle::NoEligibleEngines);
    EXPECT_EQ(decideAt(Millis(9'500), false).m_obstacle, DispatchObstacle::TurnTooLate);
}

// If the limit grew with the pool, long prompts of all sizes would bypass the queue in a large
// pool, and the largest would be refused behind them.
TEST(DispatchQueueTest, CheapPrefillLimitDoesNotGrowWithThePool)
{
    const DispatchSettings settings;
    SideLoad load;
    for (const size_t engines : { 4, 18, 75, 300 }) {
        load.m_engines = engines;
        load.m_passPrefill = declaredPool(engines).m_passPrefill;
        EXPECT_TRUE(isCheapPrefill(settings, declaredEngineCosts(), load, 45'000)) << engines;
        EXPECT_FALSE(isCheapPrefill(settings, declaredEngineCosts(), load, 180'000)) << engines;
    }
}

// Guards against large prompts whose turn comes too late for the time that they need.
TEST(DispatchQueueTest, LargePromptsGoFirstByTheTimeThatTheyNeed)
{
    const EngineCosts costs = declaredEngineCosts();
    const PoolSize pool = declaredPool(60);
    const auto orderOf = [&](double tokens) {
        return queuedRequestOf({}, costs, longRequest(tokens), pool).m_order;
    };
    const FloatMillis lead = orderOf(50'000) - orderOf(600'000);
    const FloatMillis longer =
        longPromptFirstEvent({}, costs, 600'000, pool.m_engines, FloatMillis(0))
        - longPromptFirstEvent({}, costs, 50'000, pool.m_engines, FloatMillis(0));
    EXPECT_GE(lead, longer - FloatMillis(1));
}

// An estimate as if all engines of the pool prefilled each prompt started prompts too late.
TEST(DispatchQueueTest, FirstEventEstimateUsesTheLimitOfEngines)
{
    const DispatchSettings settings;
    const EngineCosts costs = declaredEngineCosts();
    const auto firstEvent = [&](size_t engines, FloatMillis backlog) {
        return longPromptFirstEvent(settings, costs, 180'000, engines, backlog);
    };
    const FloatMillis none(0);
    EXPECT_EQ(firstEvent(60, none), firstEvent(settings.m_maxPrefillEngines, none));
    EXPECT_GE(firstEvent(60, none), FloatMillis(180) + fullPassTime(costs));
    EXPECT_LE(firstEvent(60, none), FloatMillis(190) + fullPassTime(costs) * 2);
    EXPECT_EQ(firstEvent(60, FloatMillis(700)), firstEvent(60, none) + FloatMillis(700));
    EXPECT_GT(firstEvent(4, none), firstEvent(60, none));
}

} // namespace
} // namespace stackquay
