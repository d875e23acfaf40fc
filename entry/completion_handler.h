/// Serves the completion API.
#pragma once

#include "entry/completion_request.h"
#include "entry/traffic_worker.h"

namespace stackquay {

/// Answers one completion request.
void handleCompletion(TrafficWorker &worker, HttpExchange &exchange, ApiShape shape);
/// Lists the models: GET /v1/models.
void handleModels(TrafficWorker &worker, HttpExchange &exchange);

} // namespace stackquay
