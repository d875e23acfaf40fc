/// Parses the operators' language.
#pragma once

#include <string_view>
#include <vector>

#include "control/statement.h"

namespace stackquay {

/// Statements separated by ';'. InvalidArgument names the line and column, what was found there
/// and what is allowed.
Result<std::vector<Statement>> parseScript(std::string_view text);

/// Exactly one statement.
Result<Statement> parseStatement(std::string_view text);

} // namespace stackquay
