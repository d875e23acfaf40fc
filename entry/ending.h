/// What callers are told by a daemon that was told to stop.
#pragma once

#include <optional>

#include "entry/node.h"

namespace stackquay {

/// Why a request that may take until @p deadline is not begun now; nothing: it is to be begun.
std::optional<Refusal> refuseIfEnding(const Node &node, TimePoint deadline);

/// The end of a request that the daemon does not wait for any longer. Only one that did not run
/// gets the status and the header that invite a caller to repeat it.
Refusal endingRefusal(Outcome outcome);

} // namespace stackquay
