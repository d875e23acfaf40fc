/// Answers to `why endpoint` and `why model`: the decision with the figures that it used.
#pragma once

#include "control/command.h"
#include "policy/reconcile.h"

namespace stackquay {

/// Why an endpoint gets work and orders, or not. Its report is absent if it did not answer; the
/// plan is that of its data centre.
Result<Explanation> explainEndpoint(const Intent &intent, const EndpointId &endpoint,
                                    const EngineReports &reports, const ReconcilePlan &plan);

/// Why a model runs as it does in a data centre.
Result<Explanation> explainModel(const Intent &intent, const ModelId &model,
                                 const DataCentreId &dataCentre, const ReconcilePlan &plan);

} // namespace stackquay
