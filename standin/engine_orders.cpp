#include "standin/engine_orders.h"

#include <algorithm>

namespace stackquay::standin {

namespace {

LoadedModel *findModel(EngineOrders &orders, const EngineOrder &order)
{
    for (LoadedModel &model : orders.m_models) {
        if (model.m_model == order.m_model && model.m_version == order.m_version)
            return &model;
    }
    return nullptr;
}

OrderOutcome loadModel(EngineOrders &orders, const EngineOrder &order)
{
    orders.m_anyModel = false;
    if (findModel(orders, order))
        return OrderOutcome::Applied;
    LoadedModel model;
    model.m_model = order.m_model;
    model.m_version = order.m_version;
    model.m_loading = true;
    orders.m_models.push_back(std::move(model));
    return OrderOutcome::Loading;
}

OrderOutcome unloadModel(EngineOrders &orders, const EngineOrder &order)
{
    std::erase_if(orders.m_models, [&](const LoadedModel &model) {
        return model.m_model == order.m_model && model.m_version == order.m_version;
    });
    return OrderOutcome::Applied;
}

OrderOutcome loadAdapter(EngineOrders &orders, const EngineOrder &order)
{
    LoadedModel *model = findModel(orders, order);
    if (!model || order.m_adapter.empty())
        return OrderOutcome::Invalid;
    if (model->m_adapters.contains(order.m_adapter))
        return OrderOutcome::Applied;
    model->m_loadingAdapters.insert(order.m_adapter);
    return OrderOutcome::Loading;
}

OrderOutcome unloadAdapter(EngineOrders &orders, const EngineOrder &order)
{
    if (LoadedModel *model = findModel(orders, order)) {
        model->m_adapters.erase(order.m_adapter);
        model->m_loadingAdapters.erase(order.m_adapter);
    }
    return OrderOutcome::Applied;
}

OrderOutcome carryOut(EngineOrders &orders, const EngineOrder &order)
{
    if (order.m_action == "load")
        return loadModel(orders, order);
    if (order.m_action == "unload")
        return unloadModel(orders, order);
    if (order.m_action == "load_adapter")
        return loadAdapter(orders, order);
    if (order.m_action == "unload_adapter")
        return unloadAdapter(orders, order);
    if (order.m_action != "role")
        return OrderOutcome::Invalid;
    orders.m_role = order.m_role;
    return OrderOutcome::Applied;
}

} // namespace

EngineOrder orderFromJson(const Json &body)
{
    return { textMember(body, "order"), intMember(body, "fence", 0), textMember(body, "action"),
             textMember(body, "model"), textMember(body, "version"), textMember(body, "adapter"),
             textMember(body, "role") };
}

OrderOutcome applyOrder(EngineOrders &orders, const EngineOrder &order)
{
    if (orders.m_checkFencing && order.m_fence < orders.m_fence)
        return OrderOutcome::StaleFence;
    orders.m_fence = std::max(orders.m_fence, order.m_fence);
    if (orders.m_seen.contains(order.m_order))
        return OrderOutcome::Repeated;
    const OrderOutcome outcome = carryOut(orders, order);
    if (outcome == OrderOutcome::Invalid)
        return outcome;
    orders.m_seen.insert(order.m_order);
    ++orders.m_applied;
    return outcome;
}

void finishLoading(EngineOrders &orders, const EngineOrder &order)
{
    LoadedModel *model = findModel(orders, order);
    if (!model)
        return;
    if (order.m_action == "load")
        model->m_loading = false;
    else if (model->m_loadingAdapters.erase(order.m_adapter) > 0)
        model->m_adapters.insert(order.m_adapter);
}

bool serves(const EngineOrders &orders, const std::string &model, const std::string &version,
            const std::string &adapter)
{
    if (orders.m_anyModel)
        return true;
    return std::any_of(orders.m_models.begin(), orders.m_models.end(),
                       [&](const LoadedModel &loaded) {
                           return loaded.m_model == model && !loaded.m_loading
                                  && (version.empty() || loaded.m_version == version)
                                  && (adapter.empty() || loaded.m_adapters.contains(adapter));
                       });
}

Json modelsToJson(const EngineOrders &orders)
{
    Json models = Json::array();
    for (const LoadedModel &model : orders.m_models)
        models.push_back({ { "model", model.m_model },
                           { "version", model.m_version },
                           { "adapters", model.m_adapters },
                           { "loading", model.m_loading } });
    return models;
}

} // namespace stackquay::standin
