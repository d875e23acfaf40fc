/// Plans the orders that bring the engines of a data centre to the declared state, without I/O.
///
/// Every engine that may serve a model is to load the declared version and adapters. During a
/// version change, the declared replica count is a minimum: an engine that serves the model gets a
/// load order only if enough others serve it in the meantime. The weight-store budget limits the
/// number of concurrent loads.
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

/// Name of the action in the engines' protocol, such as "load_adapter".
std::string_view orderActionName(OrderAction action);

/// Identifies an order; a retry of an order has the same key.
struct OrderKey {
    EndpointId m_endpoint;
    OrderAction m_action = OrderAction::Load;
    ModelId m_model;
    std::string m_version;
    std::string m_adapter; ///< Empty unless the action concerns an adapter.

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
    uint64_t m_fence = 0; ///< Highest fencing number that the engine saw; 0 if it stores none.
};

/// Reports by engine, without engines that did not answer.
using EngineReports = std::map<EndpointId, EngineReport>;

struct PlannedOrder {
    OrderKey m_key;
    bool m_due = false; ///< Whether to send it now; if not, m_reason says what it waits for.
    std::string m_reason; ///< Why the order is needed or waits, for operators.
};

/// Progress of a model in the data centre; counts of engines.
struct ModelProgress {
    ModelId m_model;
    uint32_t m_declared = 0; ///< Declared replicas.
    uint32_t m_engines = 0; ///< May serve the model and are not draining.
    uint32_t m_current = 0; ///< Serve the declared version.
    uint32_t m_older = 0; ///< Serve only other versions.
    uint32_t m_loading = 0; ///< Load the declared version.
    uint32_t m_unreachable = 0; ///< Have no report.
};

struct ReconcilePlan {
    std::vector<PlannedOrder> m_orders; ///< In sending order.
    std::vector<ModelProgress> m_models;
    uint32_t m_loadsInFlight = 0; ///< Loads of models and adapters, including those due now.
};

/// @p inFlight are the orders that were sent and that no report shows yet.
ReconcilePlan planReconcile(const Intent &intent, const DataCentreId &dataCentre,
                            const EngineReports &reports, const std::vector<OrderKey> &inFlight);

} // namespace stackquay
