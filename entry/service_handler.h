/// Passes calls on to plain services.
#pragma once

#include "entry/traffic_worker.h"

namespace stackquay {

/// Answers one call below /service/NAME/.
void handleService(TrafficWorker &worker, HttpExchange &exchange);

} // namespace stackquay
