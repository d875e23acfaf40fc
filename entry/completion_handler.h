/// HTTP handlers of the completion API.
#pragma once

#include "entry/completion_request.h"
#include "entry/traffic_worker.h"

namespace stackquay {

/// Handles one completion request of either API shape until its response is complete.
void handleCompletion(TrafficWorker &worker, HttpExchange &exchange, ApiShape shape);
/// Handles GET /v1/models: lists the models.
void handleModels(TrafficWorker &worker, HttpExchange &exchange);

} // namespace stackquay
