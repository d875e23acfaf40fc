/// A client that sends bytes as they are.
#pragma once

#include <future>
#include <string>

#include "net/net.h"

namespace stackquay {

/// Sends @p bytes to @p address on a connection of its own, from @p thread, and reads until the
/// connection ends, for ten seconds at most. What came back.
std::future<std::string> beginRawExchange(FiberThread &thread, const Address &address,
                                          const std::string &bytes);

} // namespace stackquay
