#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const DataCentreId Here("d");

Intent fleet(int engines, uint32_t replicas, const std::string &version = "2")
{
    Intent intent;
    Model model;
    model.m_id = ModelId("m");
    model.m_version = version;
    model.m_replicas = { { Here, replicas } };
    intent.m_models.push_back(model);
    for (int index = 0; index < engines; ++index) {
        Endpoint engine;
        engine.m_id = EndpointId("e" + std::to_string(index));
        engine.m_dataCentre = Here;
        engine.m_models = { ModelId("m") };
        intent.m_endpoints.push_back(engine);
    }
    return intent;
}

EngineReport reporting(std::vector<std::string> versions, bool loading = false)
{
    EngineReport report;
    for (const std::string &version : versions)
        report.m_models.push_back({ ModelId("m"), version, {}, loading });
    return report;
}

EngineReports all(const Intent &intent, const EngineReport &report)
{
    EngineReports reports;
    for (const Endpoint &endpoint : intent.m_endpoints)
        reports[endpoint.m_id] = report;
    return reports;
}

/// The orders that are due as text, such as "load e0 2, unload e1 1".
std::string due(const ReconcilePlan &plan)
{
    std::string text;
    for (const PlannedOrder &order : plan.m_orders) {
        if (!order.m_due)
            continue;
        text += (text.empty() ? "" : ", ") + std::string(orderActionName(order.m_key.m_action))
                + " " + order.m_key.m_endpoint.str() + " "
                + (order.m_key.m_adapter.empty() ? order.m_key.m_version : order.m_key.m_adapter);
    }
    return text;
}

TEST(Reconcile, nothingToDoWhenReportsMatch)
{
    const Intent intent = fleet(3, 2);
    const ReconcilePlan plan = planReconcile(intent, Here, all(intent, reporting({ "2" })), {});
    EXPECT_TRUE(plan.m_orders.empty());
    EXPECT_EQ(plan.m_models[0].m_current, 3u);
}

TEST(Reconcile, loadsStayWithinTheWeightStoreBudget)
{
    const Intent intent = fleet(5, 4);
    EngineReports reports = all(intent, EngineReport());
    EXPECT_EQ(due(planReconcile(intent, Here, reports, {})), "load e0 2, load e1 2");
    reports[EndpointId("e0")] = reporting({ "2" }, true);
    EXPECT_EQ(due(planReconcile(intent, Here, reports, {})), "load e1 2");
    const std::vector<OrderKey> sent{ { EndpointId("e1"), OrderAction::Load, ModelId("m"), "2",
                                        "" } };
    // The load that was sent is planned again, and the budget has no room for another.
    EXPECT_EQ(due(planReconcile(intent, Here, reports, sent)), "load e1 2");
}

TEST(Reconcile, versionChangeKeepsTheDeclaredReplicasServing)
{
    const Intent intent = fleet(4, 3);
    EngineReports reports = all(intent, reporting({ "1" }));
    const ReconcilePlan first = planReconcile(intent, Here, reports, {});
    EXPECT_EQ(due(first), "load e0 2");
    EXPECT_EQ(first.m_orders[1].m_reason, "3 serve, 3 are declared: none can be spared");
    reports[EndpointId("e0")] = reporting({ "1", "2" });
    reports[EndpointId("e0")].m_models[1].m_loading = true;
    EXPECT_EQ(due(planReconcile(intent, Here, reports, {})), "");
    reports[EndpointId("e0")].m_models[1].m_loading = false;
    EXPECT_EQ(due(planReconcile(intent, Here, reports, {})), "load e1 2, unload e0 1");
    EXPECT_EQ(due(planReconcile(fleet(4, 4), Here, all(intent, reporting({ "1" })), {})), "");
}

TEST(Reconcile, rollingUpdateKeepsTheDeclaredReplicas)
{
    const Intent intent = fleet(7, 5);
    EngineReports reports = all(intent, reporting({ "1" }));
    int rounds = 0;
    for (bool done = false; !done && rounds < 50; ++rounds) {
        const ReconcilePlan plan = planReconcile(intent, Here, reports, {});
        done = plan.m_orders.empty() && plan.m_loadsInFlight == 0;
        // Loads of the previous round are complete. An engine serves nothing while it loads.
        for (auto &[id, report] : reports) {
            for (LoadedModel &loaded : report.m_models)
                loaded.m_loading = false;
        }
        uint32_t loading = 0;
        for (const PlannedOrder &order : plan.m_orders) {
            EngineReport &report = reports[order.m_key.m_endpoint];
            if (!order.m_due)
                continue;
            if (order.m_key.m_action == OrderAction::Load) {
                report.m_models.push_back({ ModelId("m"), order.m_key.m_version, {}, true });
                ++loading;
            } else {
                std::erase_if(report.m_models, [&](const LoadedModel &loaded) {
                    return loaded.m_version == order.m_key.m_version;
                });
            }
        }
        EXPECT_LE(loading, 2u); // Seven engines, five declared.
    }
    EXPECT_LT(rounds, 50);
    for (const auto &[id, report] : reports) {
        ASSERT_EQ(report.m_models.size(), 1u);
        EXPECT_EQ(report.m_models[0].m_version, "2");
    }
}

TEST(Reconcile, adaptersAndUndeclaredModels)
{
    Intent intent = fleet(1, 1);
    intent.m_models[0].m_adapters = { "a", "b" };
    EngineReport report = reporting({ "2" });
    report.m_models[0].m_adapters = { "b", "old" };
    report.m_models.push_back({ ModelId("x"), "9", {}, false });
    EXPECT_EQ(due(planReconcile(intent, Here, { { EndpointId("e0"), report } }, {})),
              "load_adapter e0 a, unload_adapter e0 old, unload e0 9");
}

TEST(Reconcile, skipsDrainingUnreachableAndForeignEngines)
{
    Intent intent = fleet(3, 1);
    intent.m_endpoints[0].m_draining = true;
    intent.m_endpoints[1].m_dataCentre = DataCentreId("other");
    EngineReports reports = all(intent, EngineReport());
    reports.erase(EndpointId("e2"));
    const ReconcilePlan plan = planReconcile(intent, Here, reports, {});
    EXPECT_EQ(due(plan), "");
    EXPECT_EQ(plan.m_models[0].m_engines, 1u);
    EXPECT_EQ(plan.m_models[0].m_unreachable, 1u);
}

} // namespace
} // namespace stackquay
