#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

/// Prefill time of the simulated engine: 1 ms, 40 us per token, and terms for attention and batch.
Duration truePrefill(const PrefillWork &work, double speed = 1)
{
    const auto tokens = static_cast<double>(work.m_uncachedTokens);
    const double context = static_cast<double>(work.m_cachedTokens) + tokens / 2;
    const double micros = 1'000 + 40 * tokens + 2e-4 * tokens * context + tokens * work.m_batch;
    return Micros(static_cast<int64_t>(micros * speed));
}

PrefillWork randomWork(RandomEngine &random)
{
    std::uniform_real_distribution<double> logTokens(6, 12);
    std::uniform_int_distribution<uint32_t> batch(0, 32);
    const auto tokens = static_cast<uint64_t>(std::exp(logTokens(random)));
    return { tokens, random() % 4'000, batch(random) };
}

void train(CostModel &model, RandomEngine &random, int samples, double speed = 1)
{
    std::uniform_real_distribution<double> noise(0.9, 1.1);
    for (int i = 0; i < samples; ++i) {
        const auto work = randomWork(random);
        observePrefill(model, work, truePrefill(work, speed * noise(random)));
    }
}

double relativeError(const CostModel &model, const PrefillWork &work, double speed = 1)
{
    const auto truth = truePrefill(work, speed);
    return std::abs(std::chrono::duration<double>(predictPrefill(model, work) - truth)
                    / std::chrono::duration<double>(truth));
}

const std::vector<PrefillWork> Probes = {
    { 1'000, 0, 4 }, { 4'000, 2'000, 8 }, { 30'000, 0, 16 }, { 100'000, 0, 2 }
};

TEST(CostModelTest, LearnsPrefillOverAllLengths)
{
    for (const uint64_t seed : { 1, 2, 3, 4, 5 }) {
        RandomEngine random(seed);
        auto model = coldStartCostModel("v1");
        train(model, random, 200);
        for (const auto &probe : Probes)
            EXPECT_LT(relativeError(model, probe), 0.15) << seed << " " << probe.m_uncachedTokens;
    }
}

TEST(CostModelTest, AdaptsToAnEngineThatBecomesSlower)
{
    RandomEngine random(1);
    auto model = coldStartCostModel("v1");
    train(model, random, 300);
    train(model, random, 500, 2);
    for (const auto &probe : Probes)
        EXPECT_LT(relativeError(model, probe, 2), 0.2) << probe.m_uncachedTokens;
}

TEST(CostModelTest, OneOutlierChangesLittle)
{
    RandomEngine random(1);
    auto model = coldStartCostModel("v1");
    train(model, random, 200);
    const PrefillWork work{ 1'000, 0, 4 };
    observePrefill(model, work, Seconds(60));
    EXPECT_LT(relativeError(model, work), 0.25);
}

TEST(CostModelTest, ColdStartUsesOnlySiblingsOfTheSameVersion)
{
    RandomEngine random(1);
    auto sibling = coldStartCostModel("v1");
    train(sibling, random, 200);
    const std::vector<CostModel> siblings = { sibling };
    const PrefillWork work{ 4'000, 0, 4 };
    EXPECT_LT(relativeError(coldStartCostModel("v1", siblings), work), 0.15);
    const auto otherVersion = coldStartCostModel("v2", siblings);
    EXPECT_EQ(predictPrefill(otherVersion, work), predictPrefill(coldStartCostModel("v2"), work));
    EXPECT_EQ(otherVersion.m_prefill.m_samples, 0u);
}

TEST(CostModelTest, NewVersionResetsTheModel)
{
    RandomEngine random(1);
    auto model = coldStartCostModel("v1");
    train(model, random, 200);
    EXPECT_FALSE(resetForVersion(model, "v1"));
    EXPECT_EQ(model.m_prefill.m_samples, 200u);
    EXPECT_TRUE(resetForVersion(model, "v2"));
    EXPECT_EQ(model.m_prefill.m_samples, 0u);
}

TEST(CostModelTest, ConstantWorkKeepsTheModelFinite)
{
    auto model = coldStartCostModel("v1");
    const PrefillWork work{ 1'000, 0, 4 };
    for (int i = 0; i < 100'000; ++i)
        observePrefill(model, work, truePrefill(work));
    EXPECT_LT(relativeError(model, work), 0.05);
    EXPECT_GE(predictPrefill(model, { 500'000, 0, 0 }), Duration::zero());
    for (const auto &row : model.m_prefill.m_covariance) {
        for (const double value : row)
            EXPECT_TRUE(std::isfinite(value));
    }
}

TEST(CostModelTest, LearnsDecodeStepsAndTtftIncludesTheQueue)
{
    auto model = coldStartCostModel("v1");
    for (uint32_t i = 0; i < 300; ++i)
        observeDecodeStep(model, 1 + i % 32, Micros(8'000 + 100 * (1 + i % 32)));
    const auto step = predictDecodeStep(model, 16);
    EXPECT_NEAR(std::chrono::duration<double>(step).count(), 0.0096, 0.0005);
    const auto idle = predictTtft(model, {}, 1'000);
    EXPECT_EQ(predictTtft(model, { Seconds(1), 0 }, 1'000), idle + Seconds(1));
    EXPECT_GT(predictTtft(model, {}, 2'000), idle);
}

} // namespace
} // namespace stackquay
