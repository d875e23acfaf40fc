/// Logs: short sentences with a fixed prefix for each part, then key=value fields.
///
///     log(LogPart::Entry).info("Listening. address={}", address);
#pragma once

#include <string>

#include <spdlog/logger.h>

#include "core/error.h"

namespace stackquay {

enum class LogPart {
    Main,
    Settings,
    Platform,
    Store,
    Peers,
    Endpoint,
    Entry,
    Steward,
    Control,
    Standin,
    Load,
    Count, ///< Number of parts; not a part.
};

enum class LogFormat {
    Text,
    Json, ///< One JSON object a line.
};

/// The prefix of a part, such as "entry".
std::string_view logPartName(LogPart part);

/// The part's logger. Writes to standard error; safe from any thread.
spdlog::logger &log(LogPart part);

void setLogFormat(LogFormat format);

/// Sets levels from "info" or "warn,entry=debug,peers=trace".
Status setLogLevels(std::string_view levels);

} // namespace stackquay
