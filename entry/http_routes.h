/// All HTTP routes of a daemon, registered in one place.
#pragma once

#include "entry/traffic_worker.h"

namespace stackquay {

/// A route that another library adds, such as the operators' commands.
struct ExtraRoute {
    std::string m_path; ///< Exact.
    HttpHandler m_handler;
};

/// The handler of one traffic thread's server.
HttpHandler makeRoutes(TrafficWorker &worker, std::vector<ExtraRoute> extra = {});

} // namespace stackquay
