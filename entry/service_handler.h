/// HTTP handler that forwards calls to plain services.
#pragma once

#include "entry/traffic_worker.h"

namespace stackquay {

/// Handles one call of /service/NAME/ until its response is sent.
void handleService(TrafficWorker &worker, HttpExchange &exchange);

} // namespace stackquay
