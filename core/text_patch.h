/// Small forms of large texts: the difference to another text, and a compressed whole. Pure.
///
/// A patch is a Zstandard frame that refers to the base text; the whole text is a patch of nothing.
#pragma once

#include <string>
#include <string_view>

#include "core/error.h"

namespace stackquay {

constexpr size_t MaxPatchedBytes = 32 * 1024 * 1024;

Result<std::string> makePatch(std::string_view base, std::string_view text);

/// ProtocolError if the patch is damaged, or leads to a text longer than MaxPatchedBytes.
Result<std::string> applyPatch(std::string_view base, std::string_view patch);

/// The text as it is stored: compressed if it is long, so that short ones stay readable.
Result<std::string> packText(std::string text);
/// The text from its stored form.
Result<std::string> unpackText(std::string stored);

} // namespace stackquay
