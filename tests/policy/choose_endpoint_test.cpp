#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Now = TimePoint{} + Seconds(1'000);

std::vector<EndpointView> views(size_t count)
{
    std::vector<EndpointView> result(count);
    for (size_t i = 0; i < count; ++i)
        result[i].m_id = EndpointId("e" + std::to_string(i));
    return result;
}

TEST(RoutingPolicyTest, NamesRoundTrip)
{
    for (const char *name : { "round-robin", "least-reported", "steward" })
        EXPECT_EQ(routingPolicyName(*parseRoutingPolicy(name)), name);
    EXPECT_FALSE(parseRoutingPolicy("best"));
}

TEST(BaselineTest, RoundRobinSkipsDrainingAndExcluded)
{
    auto endpoints = views(4);
    endpoints[1].m_draining = true;
    const std::vector<EndpointId> excluded = { EndpointId("e2") };
    RoundRobinState state;
    EXPECT_EQ(chooseRoundRobin(state, endpoints, excluded, Now), 0u);
    EXPECT_EQ(chooseRoundRobin(state, endpoints, excluded, Now), 3u);
    EXPECT_EQ(chooseRoundRobin(state, endpoints, excluded, Now), 0u);
    EXPECT_FALSE(chooseRoundRobin(state, {}, {}, Now));
}

TEST(BaselineTest, LeastReportedChoosesTheLowestLoadAndSpreadsTies)
{
    auto endpoints = views(3);
    endpoints[0].m_reported.m_prefillBacklogTokens = 10;
    std::array<int, 3> counts{};
    RandomEngine random(1);
    for (int i = 0; i < 300; ++i)
        ++counts[*chooseLeastReported(endpoints, {}, Now, random)];
    EXPECT_EQ(counts[0], 0);
    EXPECT_GT(counts[1], 100);
    EXPECT_GT(counts[2], 100);
}

TEST(EjectionTest, ConsecutiveFailuresEjectForLongerEachTime)
{
    EndpointHealth health;
    EXPECT_FALSE(noteFailure(health, Now));
    noteSuccess(health);
    EXPECT_FALSE(noteFailure(health, Now));
    EXPECT_FALSE(noteFailure(health, Now));
    EXPECT_TRUE(noteFailure(health, Now));
    EXPECT_TRUE(isEjected(health, Now + Millis(1'999)));
    const auto later = Now + Seconds(2);
    EXPECT_FALSE(isEjected(health, later));
    EXPECT_TRUE(noteFailure(health, later)); // On probation: one failure ejects.
    EXPECT_TRUE(isEjected(health, later + Millis(3'999)));
    noteSuccess(health);
    EXPECT_FALSE(isEjected(health, later));
}

TEST(EjectionTest, UsesEjectedEndpointsIfAllAreEjected)
{
    auto endpoints = views(3);
    for (auto &endpoint : endpoints)
        endpoint.m_health.m_ejectedUntil = Now + Seconds(5);
    EXPECT_EQ(usableEndpoints(endpoints, {}, Now).size(), 3u);
    endpoints[1].m_health = {};
    EXPECT_EQ(usableEndpoints(endpoints, {}, Now), std::vector<size_t>{ 1 });
    endpoints[1].m_draining = true;
    EXPECT_EQ(usableEndpoints(endpoints, {}, Now), (std::vector<size_t>{ 0, 2 }));
}

class StewardChoiceTest : public testing::Test
{
protected:
    StewardChoiceTest()
        : m_ledgers(4)
        , m_costs(4, coldStartCostModel("v1"))
        , m_prefixes(4)
    {
        for (size_t i = 0; i < m_ledgers.size(); ++i) {
            m_ledgers[i].m_endpoint = EndpointId("e" + std::to_string(i));
            m_candidates.push_back({ &m_ledgers[i], &m_costs[i], &m_prefixes[i] });
        }
    }

    void load(size_t index, uint64_t tokens)
    {
        Grant grant;
        grant.m_id = GrantId(std::to_string(m_next++));
        grant.m_class = lengthClass(tokens);
        grant.m_uncachedTokens = tokens;
        grant.m_memoryTokens = tokens;
        grant.m_predictedPrefill = predictPrefill(m_costs[index], { tokens, 0, 0 });
        addGrant(m_ledgers[index], grant, Now);
    }

    auto choose(const RequestNeed &need)
    {
        return chooseBySteward(m_candidates, need, Now, m_weights);
    }

    std::vector<EndpointLedger> m_ledgers;
    std::vector<CostModel> m_costs;
    std::vector<PrefixIndex> m_prefixes;
    std::vector<StewardCandidate> m_candidates;
    StewardWeights m_weights;
    int m_next = 0;
};

TEST_F(StewardChoiceTest, ChoosesTheLowestPredictedTtft)
{
    load(0, 3'000);
    load(1, 3'000);
    load(3, 100);
    const auto choice = choose({ 1'000, 100, {} });
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->m_index, 2u);
    EXPECT_EQ(choice->m_uncachedTokens, 1'000u);
    EXPECT_EQ(choice->m_predictedTtft, predictTtft(m_costs[2], EndpointQueue{}, 1'000));
}

TEST_F(StewardChoiceTest, PrefersTheCachedPrefixUntilItsQueueCostsMore)
{
    const PrefixBlocks prefix = { { 1, 11 }, { 2, 12 }, { 3, 13 }, { 4, 14 } };
    const RequestNeed need{ 2'000, 100, prefix };
    notePrompt(m_prefixes[1], prefix);
    EXPECT_EQ(choose(need)->m_index, 1u);
    EXPECT_EQ(choose(need)->m_cachedTokens, 1'024u);
    load(1, 4'000);
    EXPECT_NE(choose(need)->m_index, 1u);
}

TEST_F(StewardChoiceTest, UncachedPrefixIsPlacedByRendezvousHashingWithBoundedLoad)
{
    const PrefixBlocks prefix = { { 1, 21 } };
    const RequestNeed need{ 1'000, 100, prefix };
    const size_t preferred = choose(need)->m_index;
    for (size_t i = 0; i < m_ledgers.size(); ++i)
        EXPECT_LE(affinityScore(21, m_ledgers[i].m_endpoint),
                  affinityScore(21, m_ledgers[preferred].m_endpoint));
    for (int i = 0; i < 3; ++i)
        load(preferred, 0);
    EXPECT_NE(choose(need)->m_index, preferred);
}

TEST_F(StewardChoiceTest, LongPromptsUseTheirEnginesWithinTheBudget)
{
    for (size_t i = 0; i < 3; ++i)
        m_candidates[i].m_acceptsLong = false;
    const RequestNeed longNeed{ 100'000, 100, {} };
    EXPECT_EQ(choose(longNeed)->m_index, 3u);
    load(3, 100'000);
    ASSERT_FALSE(choose(longNeed));
    EXPECT_EQ(choose(longNeed).error(), LedgerRefusal::LongPrefill);
    EXPECT_NE(choose({ 1'000, 100, {} })->m_index, 3u);
}

TEST_F(StewardChoiceTest, TooLongOnlyIfItFitsOnNoEndpoint)
{
    for (auto &ledger : m_ledgers)
        ledger.m_capacity.m_memoryTokens = 50'000;
    EXPECT_EQ(choose({ 60'000, 0, {} }).error(), LedgerRefusal::TooLong);
    m_ledgers[2].m_capacity.m_memoryTokens = 100'000;
    load(2, 60'000);
    EXPECT_EQ(choose({ 60'000, 0, {} }).error(), LedgerRefusal::Memory);
}

TEST_F(StewardChoiceTest, UnusableEndpointsGetNothing)
{
    for (auto &candidate : m_candidates)
        candidate.m_usable = false;
    EXPECT_FALSE(choose({ 1'000, 100, {} }));
    m_candidates[2].m_usable = true;
    EXPECT_EQ(choose({ 1'000, 100, {} })->m_index, 2u);
}

} // namespace
} // namespace stackquay
