/// Refusals that a daemon sends while it drains or shuts down.
#pragma once

#include <optional>

#include "entry/node.h"

namespace stackquay {

/// Returns a refusal if the daemon is shutting down, or drains and cannot finish a request that may
/// run until @p deadline. Returns nothing if the request may start.
std::optional<Refusal> refuseIfShuttingDown(const Node &node, TimePoint deadline);

/// Refusal of a request that the shutdown ends. Only with RefusedNotRun does it have the error and
/// the Retry-After header that ask the client to retry.
Refusal shutdownRefusal(Outcome outcome);

} // namespace stackquay
