/// Encodes the outcome of a non-repeatable call for its claim, so that a retry with the same
/// idempotency key gets the same response.
#pragma once

#include "net/net.h"
#include "policy/policy.h"

namespace stackquay {

/// Encodes as ASCII text. Header values and the body may hold any bytes.
std::string encodeRecordedOutcome(const tl::expected<HttpResponse, Refusal> &outcome);
/// Decodes the recorded response. A recorded failure or an invalid text gives OutcomeUnknown.
tl::expected<HttpResponse, Refusal> decodeRecordedOutcome(const std::string &text);

} // namespace stackquay
