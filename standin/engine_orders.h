/// Orders to the engine stand-in: models, adapters, versions and role.
#pragma once

#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "standin/json_http.h"

namespace stackquay::standin {

struct LoadedModel {
    std::string m_model;
    std::string m_version;
    std::set<std::string> m_adapters;
    std::set<std::string> m_loadingAdapters;
    bool m_loading = false;
};

struct EngineOrder {
    std::string m_order;
    int64_t m_fence = 0;
    std::string m_action;
    std::string m_model;
    std::string m_version;
    std::string m_adapter;
    std::string m_role;
};

struct EngineOrders {
    bool m_checkFencing = false;
    bool m_anyModel = false; ///< Serves every model until its first load order.
    int64_t m_fence = 0; ///< The highest seen.
    std::string m_role = "any";
    std::vector<LoadedModel> m_models;
    std::unordered_set<std::string> m_seen; ///< Order ids.
    uint64_t m_applied = 0; ///< Orders that had an effect.
};

enum class OrderOutcome {
    Applied,
    Loading, ///< Takes effect when finishLoading() is called, after the load time.
    Repeated, ///< Its id was seen before.
    StaleFence,
    Invalid,
};

EngineOrder orderFromJson(const Json &body);
OrderOutcome applyOrder(EngineOrders &orders, const EngineOrder &order);
/// Ends a load, unless the model or adapter was unloaded meanwhile.
void finishLoading(EngineOrders &orders, const EngineOrder &order);
/// Whether a request for the model, version and adapter can run; empty version or adapter: any.
bool serves(const EngineOrders &orders, const std::string &model, const std::string &version,
            const std::string &adapter);
Json modelsToJson(const EngineOrders &orders);

} // namespace stackquay::standin
