#include <gtest/gtest.h>

#include "control/control.h"

namespace stackquay {
namespace {

Intent baseIntent()
{
    Intent intent;
    intent.m_revision = 7;
    intent.m_regions.push_back({ RegionId("r") });
    intent.m_dataCentres.push_back({ DataCentreId("d"), RegionId("r"), {} });
    intent.m_dataCentres.push_back({ DataCentreId("f"), RegionId("r"), {} });
    Model model;
    model.m_id = ModelId("m");
    model.m_version = "1";
    intent.m_models.push_back(model);
    for (int index = 1; index <= 3; ++index) {
        Endpoint engine;
        engine.m_id = EndpointId("e" + std::to_string(index));
        engine.m_address = "127.0.0.1:" + std::to_string(index);
        engine.m_dataCentre = DataCentreId("d");
        engine.m_models = { ModelId("m") };
        intent.m_endpoints.push_back(engine);
    }
    return intent;
}

Result<Intent> run(const Intent &intent, const std::string &text)
{
    const Result<Statement> statement = parseStatement(text);
    if (!statement)
        return tl::unexpected(statement.error());
    return applyChanges(intent, std::get<ChangeStatement>(statement->m_body));
}

Intent accepted(const Intent &intent, const std::string &text)
{
    const Result<Intent> changed = run(intent, text);
    EXPECT_TRUE(changed) << text << ": " << changed.error().m_message;
    return changed.value_or(Intent());
}

ErrorCode refusal(const Intent &intent, const std::string &text)
{
    const Result<Intent> changed = run(intent, text);
    EXPECT_FALSE(changed) << text;
    return changed ? ErrorCode::Internal : changed.error().m_code;
}

TEST(Apply, setsFieldsOfAllShapes)
{
    const Intent changed =
        accepted(baseIntent(), "set model m version = 7.10, replicas.d = 2, adapters = [a, \"b\"], "
                               "objective = ttft_by_length, max_tokens = 5e3");
    EXPECT_EQ(changed.m_revision, 8u);
    const Model &model = changed.m_models.front();
    EXPECT_EQ(model.m_version, "7.10");
    EXPECT_EQ(model.m_adapters, (std::vector<std::string>{ "a", "b" }));
    EXPECT_EQ(model.m_replicas, (std::vector<ReplicaCount>{ { DataCentreId("d"), 2 } }));
    EXPECT_EQ(model.m_objective, RoutingObjective::TtftByLength);
    EXPECT_EQ(accepted(changed, "set model m replicas.d = none").m_models[0].m_replicas.size(), 0u);
}

TEST(Apply, aBlockTakesEffectWholeOrNotAtAll)
{
    const Intent base = baseIntent();
    const Intent changed = accepted(base, "begin; remove endpoint e3; add region s; "
                                          "add data_centre g (region = s); commit");
    EXPECT_EQ(changed.m_endpoints.size(), 2u);
    EXPECT_EQ(changed.m_dataCentres.back().m_region, RegionId("s"));
    EXPECT_EQ(refusal(base, "begin; remove endpoint e3; add region r; commit"),
              ErrorCode::AlreadyExists);
    // An intermediate state may be impossible if the whole is not.
    accepted(base, "begin; add data_centre g (region = s); add region s; commit");
}

TEST(Apply, conditionsAreCheckedAgainstTheState)
{
    const Intent base = baseIntent();
    accepted(base, "drain endpoint e1 if revision = 7 and draining = false");
    accepted(base, "set model m max_span = 2 if max_span < 2 and adapters = []");
    EXPECT_EQ(refusal(base, "drain endpoint e1 if revision = 6"), ErrorCode::Conflict);
    EXPECT_EQ(refusal(base, "promote model m version 2 if version = 3"), ErrorCode::Conflict);
    EXPECT_EQ(refusal(base, "set model m max_span = 2 if replicas.d = 1"), ErrorCode::Conflict);
    EXPECT_EQ(refusal(base, "drain endpoint e1 if colour = red"), ErrorCode::InvalidArgument);
}

TEST(Apply, refusesWhatLeavesTheIntentUnsound)
{
    const Intent base = baseIntent();
    EXPECT_EQ(refusal(base, "remove model m"), ErrorCode::InvalidArgument);
    EXPECT_EQ(refusal(base, "set model m replicas.d = 4"), ErrorCode::InvalidArgument);
    EXPECT_EQ(refusal(base, "set model m replicas.x = 1"), ErrorCode::InvalidArgument);
    EXPECT_EQ(refusal(base, "set model m name = n"), ErrorCode::InvalidArgument);
    EXPECT_EQ(refusal(base, "set endpoint e1 address.d = 1"), ErrorCode::InvalidArgument);
    EXPECT_EQ(refusal(base, "set intent revision = 3"), ErrorCode::InvalidArgument);
    EXPECT_EQ(refusal(base, "set intent models = []"), ErrorCode::InvalidArgument);
    EXPECT_EQ(refusal(base, "remove customer c"), ErrorCode::NotFound);
}

TEST(Apply, showsTheDifference)
{
    const Intent base = baseIntent();
    const Intent changed =
        accepted(base, "begin; drain endpoint e1; remove endpoint e2; add region s; commit");
    EXPECT_EQ(renderText(compareIntents(base, changed)),
              "+ region s {\"name\":\"s\"}\n"
              "~ endpoint e1, draining: false -> true\n"
              "- endpoint e2 {\"name\":\"e2\",\"kind\":\"engine\",\"address\":\"127.0.0.1:2\","
              "\"data_centre\":\"d\",\"models\":[\"m\"],\"service\":null,\"checks_fencing\":false,"
              "\"draining\":false}\n");
    EXPECT_EQ(renderText(compareIntents(base, base)), "no difference\n");
}

TEST(Undo, takesOneChangeBackAndKeepsLaterOnes)
{
    const Intent before = baseIntent();
    const Intent after = accepted(before, "begin; promote model m version 2; remove endpoint e3; "
                                          "add region s; commit");
    const Intent later = accepted(after, "set model m max_span = 3");
    const UndoStatement undo{ after.m_revision, {}, false };
    const Result<Intent> undone = applyUndo(later, before, after, undo, "undo 8");
    ASSERT_TRUE(undone) << undone.error().m_message;
    EXPECT_EQ(undone->m_revision, later.m_revision + 1);
    EXPECT_EQ(renderText(compareIntents(before, *undone)), "~ model m, max_span: 1 -> 3\n");
}

TEST(Undo, isRefusedWhenTheSameFieldChangedAgain)
{
    const Intent before = baseIntent();
    const Intent after = accepted(before, "promote model m version 2");
    const Intent later = accepted(after, "promote model m version 3");
    const UndoStatement undo{ after.m_revision, {}, false };
    const Result<Intent> undone = applyUndo(later, before, after, undo, "undo 8");
    ASSERT_FALSE(undone);
    EXPECT_EQ(undone.error().m_code, ErrorCode::Conflict);
    EXPECT_EQ(undone.error().m_message,
              "In \"undo 8\": found model m changed in \"version\" since.");
}

} // namespace
} // namespace stackquay
