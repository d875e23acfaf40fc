#include <gtest/gtest.h>

#include "load/load.h"

namespace stackquay {
namespace {

std::vector<PlannedRequest> drawAll(const LoadOptions &options, size_t thread = 0)
{
    LoadPlan plan(options, thread);
    std::vector<PlannedRequest> requests;
    PlannedRequest request;
    while (plan.next(request))
        requests.push_back(request);
    return requests;
}

LoadOptions plannedOptions()
{
    LoadOptions options;
    options.m_threads = 1;
    options.m_phases = { { Seconds(10), 100 }, { Seconds(10), 0 }, { Seconds(10), 300 } };
    return options;
}

TEST(LoadPlanTest, SameSeedSameRequests)
{
    LoadOptions options = plannedOptions();
    const auto first = drawAll(options);
    const auto second = drawAll(options);
    ASSERT_EQ(first.size(), second.size());
    for (size_t i = 0; i < first.size(); ++i) {
        EXPECT_EQ(first[i].m_arrival, second[i].m_arrival);
        EXPECT_EQ(first[i].m_promptSeed, second[i].m_promptSeed);
    }
    options.m_seed = 2;
    EXPECT_NE(first[0].m_promptSeed, drawAll(options)[0].m_promptSeed);
    EXPECT_NE(first[0].m_promptSeed, drawAll(plannedOptions(), 1)[0].m_promptSeed);
}

TEST(LoadPlanTest, PhasesHaveTheirRates)
{
    std::array<size_t, 3> counts{};
    Duration last{ 0 };
    for (const PlannedRequest &request : drawAll(plannedOptions())) {
        ++counts[request.m_phase];
        EXPECT_GE(request.m_arrival, last);
        last = request.m_arrival;
    }
    // Five standard deviations of a Poisson count.
    EXPECT_NEAR(counts[0], 1'000, 5 * 32);
    EXPECT_EQ(counts[1], 0u);
    EXPECT_NEAR(counts[2], 3'000, 5 * 55);
    EXPECT_LT(last, Seconds(30));
}

TEST(LoadPlanTest, LengthsKeepToTheirRangesAndWeights)
{
    const LoadOptions options = plannedOptions();
    const auto requests = drawAll(options);
    size_t above = 0;
    for (const PlannedRequest &request : requests) {
        EXPECT_GE(request.m_promptTokens, 1'000u);
        EXPECT_LE(request.m_promptTokens, 1'000'000u);
        EXPECT_EQ(request.m_class, classOfPrompt(request.m_promptTokens));
        above += request.m_promptTokens > 100'000 ? 1 : 0;
    }
    EXPECT_NEAR(static_cast<double>(above) / static_cast<double>(requests.size()), 0.02, 0.012);
}

TEST(LoadPlanTest, RepeatsAndServiceCalls)
{
    LoadOptions options = plannedOptions();
    options.m_service = "entry-desk";
    options.m_serviceShare = 0.5;
    options.m_serviceRepeatShare = 0.2;
    options.m_repeatShare = 0.5;
    std::set<uint64_t> seeds;
    std::set<std::string> keys;
    size_t repeated = 0;
    for (const PlannedRequest &request : drawAll(options)) {
        const bool fresh = request.m_service ? keys.insert(request.m_idempotencyKey).second
                                             : seeds.insert(request.m_promptSeed).second;
        EXPECT_EQ(fresh, !request.m_repeated);
        EXPECT_EQ(request.m_idempotencyKey.empty(), !request.m_service);
        repeated += request.m_repeated ? 1 : 0;
    }
    EXPECT_GT(repeated, 500u);
    EXPECT_GT(keys.size(), 1'000u);
}

TEST(PromptTextTest, ExactLengthsAndSharedPrefixes)
{
    const PromptText text;
    PlannedRequest request;
    request.m_promptTokens = 2'000'000;
    request.m_promptSeed = 7;
    request.m_prefix = 3;
    std::string first;
    text.append(first, request, 100);
    request.m_promptSeed = 8;
    std::string second;
    text.append(second, request, 100);
    EXPECT_EQ(first.size(), 8'000'000u);
    EXPECT_EQ(first.substr(0, 400), second.substr(0, 400));
    EXPECT_NE(first.substr(400, 16), second.substr(400, 16));
    std::string tiny;
    request.m_promptTokens = 1;
    request.m_prefix = 0;
    text.append(tiny, request, 100);
    EXPECT_EQ(tiny.size(), 4u);
}

TEST(LoadOptionsTest, ParsesAndRefuses)
{
    const auto lengths = parseLengths("1000-4000=0.7,32000");
    ASSERT_TRUE(lengths);
    EXPECT_EQ((*lengths)[0].m_high, 4'000u);
    EXPECT_DOUBLE_EQ((*lengths)[0].m_weight, 0.7);
    EXPECT_EQ((*lengths)[1].m_low, 32'000u);
    for (const char *text : { "", "0", "5-4", "1-2=x", "1-", "99999999", "1,,2", "1-2=-1" })
        EXPECT_FALSE(parseLengths(text)) << text;
    ASSERT_TRUE(parsePhases("1.5:20,2:0"));
    EXPECT_EQ((*parsePhases("1.5:20,2:0"))[0].m_length, Millis(1'500));
    EXPECT_FALSE(parsePhases("10"));
    EXPECT_EQ((*parseCustomers("a=3,b"))[1].m_key, "b");
    EXPECT_FALSE(parseCustomers("a=b"));
    EXPECT_FALSE(parseTargets("127.0.0.1:80,nowhere"));
    LoadOptions options;
    EXPECT_FALSE(checkOptions(options));
    options.m_targets = { Address{} };
    EXPECT_TRUE(checkOptions(options));
    options.m_serviceShare = 0.1;
    EXPECT_FALSE(checkOptions(options));
}

} // namespace
} // namespace stackquay
