/// `GET /report`: the burn report as text, JSON or a page.
#pragma once

#include "control/burn_report.h"
#include "control/command.h"
#include "net/net.h"

namespace stackquay {

constexpr const char *ReportPath = "/report";

/// Asked of every node of the data centre over the peers' RPC.
struct BurnWindowsReply {
    std::vector<WindowSeries> m_windows;

    MSGPACK_DEFINE(m_windows)
};

struct BurnWindowsRequest {
    using Reply = BurnWindowsReply;
    static constexpr std::string_view RpcName = "burn_windows";
    uint64_t m_version = 1;

    MSGPACK_DEFINE(m_version)
};

struct ReportEnvironment {
    std::function<std::shared_ptr<const Intent>()> m_intent;
    /// Gathers the windows of all nodes; called in a fiber of the control thread.
    std::function<BurnInput()> m_gather;
};

/// `?format=text`, `json` or `html` (the default). The key of an operator comes as a bearer key, or
/// from a browser as the password of basic authentication. Both arguments must outlive the handler.
HttpHandler makeReportHandler(FiberThread &control, const ReportEnvironment &environment);

} // namespace stackquay
