/// Differences between two texts, so that a small change of a large intent costs few bytes. Pure.
///
/// A patch is a Zstandard frame that refers to the base text; the whole text is a patch of nothing.
#pragma once

#include <string>
#include <string_view>

#include "core/core.h"

namespace stackquay {

constexpr size_t MaxRevisionBytes = 32 * 1024 * 1024;

Result<std::string> makePatch(std::string_view base, std::string_view text);

/// ProtocolError if the patch is damaged, or leads to a text longer than MaxRevisionBytes.
Result<std::string> applyPatch(std::string_view base, std::string_view patch);

} // namespace stackquay
