/// JSON forms of commands and answers, as `POST /control/execute` speaks them.
#pragma once

#include "control/command.h"

namespace stackquay {

/// {"statement", "change_id", "age_ms", "wait_ms"}; all but the first may be left out.
std::string encodeCommandRequest(const CommandRequest &request);
Result<CommandRequest> decodeCommandRequest(std::string_view text);

/// {"outcome", "revision", "text", "result", "behind", "missing", "change_id"}.
std::string encodeCommandAnswer(const CommandAnswer &answer);
Result<CommandAnswer> decodeCommandAnswer(std::string_view text);

} // namespace stackquay
