#include "core/log.h"

#include <array>
#include <memory>
#include <optional>

#include <fmt/format.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace stackquay {

namespace {

constexpr size_t PartCount = static_cast<size_t>(LogPart::Count);
constexpr const char *TextPattern = "%Y-%m-%dT%H:%M:%S.%e %l %n: %v";
constexpr const char *JsonPattern =
    R"({"time":"%Y-%m-%dT%H:%M:%S.%e","level":"%l","part":"%n","message":"%v"})";

struct Loggers {
    std::array<std::shared_ptr<spdlog::logger>, PartCount> m_loggers;

    Loggers()
    {
        const auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
        for (size_t i = 0; i < PartCount; ++i) {
            const std::string name(logPartName(static_cast<LogPart>(i)));
            m_loggers[i] = std::make_shared<spdlog::logger>(name, sink);
            m_loggers[i]->set_pattern(TextPattern);
            m_loggers[i]->flush_on(spdlog::level::warn);
        }
    }
};

Loggers &loggers()
{
    static Loggers all;
    return all;
}

std::optional<spdlog::level::level_enum> parseLevel(std::string_view name)
{
    const std::string text(name);
    const auto level = spdlog::level::from_str(text);
    if (level == spdlog::level::off && text != "off")
        return std::nullopt;
    return level;
}

std::optional<size_t> findPart(std::string_view name)
{
    for (size_t i = 0; i < PartCount; ++i) {
        if (logPartName(static_cast<LogPart>(i)) == name)
            return i;
    }
    return std::nullopt;
}

Status setLevel(std::string_view item)
{
    const size_t equals = item.find('=');
    const std::string_view name = equals == std::string_view::npos ? item : item.substr(equals + 1);
    const auto level = parseLevel(name);
    if (!level)
        return makeError(ErrorCode::InvalidArgument, fmt::format("unknown log level '{}'", name));
    if (equals == std::string_view::npos) {
        for (const auto &logger : loggers().m_loggers)
            logger->set_level(*level);
        return {};
    }
    const auto part = findPart(item.substr(0, equals));
    if (!part)
        return makeError(ErrorCode::InvalidArgument,
                         fmt::format("unknown log part '{}'", item.substr(0, equals)));
    loggers().m_loggers[*part]->set_level(*level);
    return {};
}

} // namespace

std::string_view logPartName(LogPart part)
{
    static constexpr std::array<std::string_view, PartCount> Names = {
        "main",  "settings", "platform", "store",   "peers", "endpoint",
        "entry", "steward",  "control",  "standin", "load",
    };
    return Names.at(static_cast<size_t>(part));
}

spdlog::logger &log(LogPart part)
{
    return *loggers().m_loggers[static_cast<size_t>(part)];
}

void setLogFormat(LogFormat format)
{
    for (const auto &logger : loggers().m_loggers)
        logger->set_pattern(format == LogFormat::Json ? JsonPattern : TextPattern);
}

Status setLogLevels(std::string_view levels)
{
    size_t start = 0;
    while (start <= levels.size()) {
        const size_t end = std::min(levels.find(',', start), levels.size());
        const Status status = setLevel(levels.substr(start, end - start));
        if (!status)
            return status;
        start = end + 1;
    }
    return {};
}

} // namespace stackquay
