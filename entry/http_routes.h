/// HTTP routes of a daemon.
#pragma once

#include "entry/traffic_worker.h"

namespace stackquay {

/// A route added by another library, such as the operators' commands.
struct ExtraRoute {
    std::string m_path; ///< Matches the whole path only.
    HttpHandler m_handler;
};

/// Returns the request handler for the HTTP server of one traffic thread.
HttpHandler makeRoutes(TrafficWorker &worker, std::vector<ExtraRoute> extra = {});

} // namespace stackquay
