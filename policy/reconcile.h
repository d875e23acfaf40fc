/// Which orders bring the engines of a data centre to what is declared. Pure planning.
///
/// Every engine that may serve a model is to hold its declared version and adapters. The model's
/// replicas are the floor under a version change: an engine that serves gets a load order only if
/// enough others serve meanwhile. Loads draw on the weight-store budget.
#pragma once

#include <map>

#include "policy/intent.h"

namespace stackquay {

enum class OrderAction {
    Load,
    Unload,
    LoadAdapter,
    UnloadAdapter,
};

/// "load_adapter", as in the engines' protocol.
std::string_view orderActionName(OrderAction action);

/// What an order is about; its identity for retries.
struct OrderKey {
    EndpointId m_endpoint;
    OrderAction m_action = OrderAction::Load;
    ModelId m_model;
    std::string m_version;
    std::string m_adapter; ///< For the adapter actions.

    auto operator<=>(const OrderKey &) const = default;
};

/// A model as an engine reports it.
struct LoadedModel {
    ModelId m_model;
    std::string m_version;
    std::vector<std::string> m_adapters;
    bool m_loading = false;
};

struct EngineReport {
    std::vector<LoadedModel> m_models;
    uint64_t m_fence = 0; ///< Highest fencing number seen; 0 if it keeps none.
};

/// Engines that did not answer are absent.
using EngineReports = std::map<EndpointId, EngineReport>;

struct PlannedOrder {
    OrderKey m_key;
    bool m_due = false; ///< False: waits for what m_reason says.
    std::string m_reason;
};

/// How far a model is in the data centre.
struct ModelProgress {
    ModelId m_model;
    uint32_t m_declared = 0; ///< Replicas that have to serve.
    uint32_t m_engines = 0; ///< That may serve it and do not drain.
    uint32_t m_current = 0; ///< Serve the declared version.
    uint32_t m_older = 0; ///< Serve another version only.
    uint32_t m_loading = 0;
    uint32_t m_unreachable = 0;
};

struct ReconcilePlan {
    std::vector<PlannedOrder> m_orders; ///< In the order in which they are to go out.
    std::vector<ModelProgress> m_models;
    uint32_t m_loadsInFlight = 0;
};

/// @p inFlight names loads that were sent and that no report shows yet.
ReconcilePlan planReconcile(const Intent &intent, const DataCentreId &dataCentre,
                            const EngineReports &reports, const std::vector<OrderKey> &inFlight);

} // namespace stackquay
