#include <set>

#include <gtest/gtest.h>

#include "control/control.h"

namespace stackquay {
namespace {

/// An engine that carries orders out at once, each id once.
struct FakeEngine {
    bool m_checksFencing = false;
    bool m_loseAnswers = false;
    EngineReport m_report;
    std::set<std::string> m_seen;
    int m_carriedOut = 0;

    Status take(const EngineOrder &order)
    {
        if (m_checksFencing && order.m_fence < m_report.m_fence)
            return makeError(ErrorCode::Conflict, "stale_fence");
        m_report.m_fence = std::max(m_report.m_fence, order.m_fence);
        if (m_seen.insert(order.m_id.str()).second)
            carryOut(order.m_key);
        if (m_loseAnswers)
            return makeError(ErrorCode::OutcomeUnknown, "answer lost");
        return {};
    }

    void carryOut(const OrderKey &key)
    {
        ++m_carriedOut;
        std::erase_if(m_report.m_models, [&](const LoadedModel &loaded) {
            return loaded.m_model == key.m_model && loaded.m_version == key.m_version;
        });
        if (key.m_action == OrderAction::Load)
            m_report.m_models.push_back({ key.m_model, key.m_version, {}, false });
    }
};

class ReconcilerTest : public testing::Test
{
protected:
    ReconcilerTest()
    {
        Intent intent;
        Model model;
        model.m_id = ModelId("m");
        model.m_version = "1";
        intent.m_models.push_back(model);
        Endpoint engine;
        engine.m_id = EndpointId("e");
        engine.m_dataCentre = DataCentreId("d");
        engine.m_models = { ModelId("m") };
        intent.m_endpoints.push_back(engine);
        m_intent = std::make_shared<Intent>(intent);
    }

    /// The reconciler of a VM that believes to hold the lease with this number.
    Reconciler reconciler(std::optional<FencingNumber> fence)
    {
        ReconcilerEnvironment environment;
        environment.m_intent = [this] { return m_intent; };
        environment.m_fence = [fence] { return fence; };
        environment.m_readState = [this](const Endpoint &) -> Result<EngineReport> {
            return m_engine.m_report;
        };
        environment.m_send = [this](const Endpoint &, const EngineOrder &order) {
            return m_engine.take(order);
        };
        environment.m_now = [this] { return m_now; };
        return Reconciler(DataCentreId("d"), environment);
    }

    std::string loaded() const
    {
        std::string text;
        for (const LoadedModel &model : m_engine.m_report.m_models)
            text += (text.empty() ? "" : " ") + model.m_version;
        return text;
    }

    std::shared_ptr<Intent> m_intent;
    FakeEngine m_engine;
    TimePoint m_now{};
};

TEST_F(ReconcilerTest, bringsTheEngineToTheDeclaredVersion)
{
    Reconciler holder = reconciler(3);
    holder.step();
    EXPECT_EQ(loaded(), "1");
    EXPECT_EQ(m_engine.m_report.m_fence, 3u);
    ASSERT_EQ(holder.orders().size(), 1u);
    EXPECT_EQ(holder.orders()[0].m_state, "accepted");
    m_intent->m_models[0].m_version = "2";
    for (int round = 0; round < 3; ++round)
        holder.step();
    EXPECT_EQ(loaded(), "2");
    EXPECT_TRUE(holder.orders().empty());
}

TEST_F(ReconcilerTest, withoutTheLeaseNothingIsSent)
{
    Reconciler other = reconciler(std::nullopt);
    other.step();
    EXPECT_EQ(m_engine.m_carriedOut, 0);
}

TEST_F(ReconcilerTest, lostAnswerIsSentAgainWithTheSameId)
{
    Reconciler holder = reconciler(3);
    m_engine.m_loseAnswers = true;
    holder.step();
    const EngineReport done = std::exchange(m_engine.m_report, EngineReport());
    holder.step();
    EXPECT_EQ(m_engine.m_seen.size(), 1u);
    EXPECT_EQ(m_engine.m_carriedOut, 1);
    m_engine.m_report = done;
    holder.step();
    EXPECT_TRUE(holder.orders().empty());
}

TEST_F(ReconcilerTest, acceptedOrderWithoutEffectGetsANewId)
{
    Reconciler holder = reconciler(3);
    holder.step();
    m_engine.m_report.m_models.clear();
    holder.step();
    EXPECT_EQ(m_engine.m_seen.size(), 1u);
    m_now += Seconds(11);
    holder.step();
    EXPECT_EQ(m_engine.m_seen.size(), 2u);
    EXPECT_EQ(loaded(), "1");
}

TEST_F(ReconcilerTest, lateOrderOfAnEarlierHolderIsCorrectedWhereFencingIsIgnored)
{
    Reconciler late = reconciler(3);
    late.step();
    late.step(); // Sees that its order took effect.
    m_intent->m_models[0].m_version = "2";
    Reconciler holder = reconciler(4);
    for (int round = 0; round < 3; ++round)
        holder.step();
    ASSERT_EQ(loaded(), "2");
    // The paused holder wakes up with an older intent.
    m_intent->m_models[0].m_version = "1";
    for (int round = 0; round < 3; ++round)
        late.step();
    ASSERT_EQ(loaded(), "1");
    m_intent->m_models[0].m_version = "2";
    for (int round = 0; round < 3; ++round)
        holder.step();
    EXPECT_EQ(loaded(), "2");
}

TEST_F(ReconcilerTest, lateOrderIsRefusedWhereFencingIsChecked)
{
    m_engine.m_checksFencing = true;
    reconciler(4).step();
    m_intent->m_models[0].m_version = "2";
    Reconciler late = reconciler(3);
    late.step();
    EXPECT_EQ(loaded(), "1");
    EXPECT_EQ(late.orders()[0].m_state, "failed");
}

TEST_F(ReconcilerTest, whyNamesDecisionAndFigures)
{
    Reconciler holder = reconciler(3);
    m_intent->m_dataCentres.push_back({ DataCentreId("d"), RegionId("r"), {} });
    m_intent->m_models[0].m_replicas = { { DataCentreId("d"), 1 } };
    m_engine.m_report.m_models = { { ModelId("m"), "0", {}, false } };
    holder.step();
    const Result<Explanation> model =
        explainModel(*m_intent, ModelId("m"), DataCentreId("d"), holder.plan());
    ASSERT_TRUE(model);
    EXPECT_EQ(model->m_decision, "m 1 serves on 0 engines, fewer than the 1 declared.");
    EXPECT_EQ(model->m_figures.back().m_value,
              "load m 1 (waiting): 1 serve, 1 are declared: none can be spared");
    const Result<Explanation> endpoint =
        explainEndpoint(*m_intent, EndpointId("e"), holder.readReports(*m_intent), holder.plan());
    ASSERT_TRUE(endpoint);
    EXPECT_EQ(endpoint->m_decision, "e serves m.");
    EXPECT_FALSE(explainEndpoint(*m_intent, EndpointId("x"), {}, {}));
}

} // namespace
} // namespace stackquay
