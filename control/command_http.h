/// `POST /control/execute`: commands over HTTP.
#pragma once

#include "control/command.h"
#include "net/net.h"

namespace stackquay {

constexpr const char *CommandPath = "/control/execute";

/// Answers a command on whatever thread it comes in, by running it on @p control. The bearer key
/// has to be an operator's. Thread and environment must outlive the handler.
HttpHandler makeCommandHandler(FiberThread &control, const CommandEnvironment &environment);

/// The key of "Authorization: Bearer KEY"; empty if there is none.
std::string_view bearerKey(const HttpRequest &request);

} // namespace stackquay
