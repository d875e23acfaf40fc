/// The outcome of a non-repeatable call as its claim keeps it, so that a repeat gets the same
/// answer.
#pragma once

#include "net/net.h"
#include "policy/policy.h"

namespace stackquay {

/// ASCII text; lossless for any body.
std::string encodeRecordedOutcome(const tl::expected<HttpResponse, Refusal> &outcome);
/// The kept answer. A text that cannot be read counts as an unknown outcome.
tl::expected<HttpResponse, Refusal> decodeRecordedOutcome(const std::string &text);

} // namespace stackquay
