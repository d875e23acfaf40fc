#include "core/decision_log.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <thread>

#include <fmt/format.h>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace stackquay {

namespace {

constexpr size_t QueueLines = 4'096;
constexpr size_t QueueThreads = 1;
/// A reader that takes nothing does not hold the process for longer.
constexpr std::chrono::milliseconds FlushTime{ 200 };
constexpr std::chrono::milliseconds FlushPoll{ 5 };
constexpr unsigned char FirstPrintable = 0x20;
/// Of one text; names and errors may come from outside.
constexpr size_t MaxTextBytes = 4'096;

struct Output {
    std::shared_ptr<spdlog::details::thread_pool> m_pool;
    std::shared_ptr<spdlog::async_logger> m_logger;
};

Output &output()
{
    static Output instance;
    return instance;
}

void appendEscaped(std::string &line, std::string_view value)
{
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (static_cast<unsigned char>(character) < FirstPrintable) {
            line += fmt::format("\\u{:04x}", static_cast<unsigned>(character));
        } else {
            line += character;
        }
    }
}

/// The start of @p text that a line has room for; ends with a whole character of UTF-8.
std::string_view cutToLine(std::string_view text)
{
    constexpr unsigned char ContinuationMask = 0xc0;
    constexpr unsigned char Continuation = 0x80;
    size_t size = std::min(text.size(), MaxTextBytes);
    while (size > 0 && size < text.size()
           && (static_cast<unsigned char>(text[size]) & ContinuationMask) == Continuation)
        --size;
    return text.substr(0, size);
}

} // namespace

DecisionLine::DecisionLine(std::string_view part, std::string_view event)
{
    if (!output().m_logger)
        return;
    // For people and for lines of several VMs only; no decision reads the time of day.
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    m_line = fmt::format(R"({{"time_ms":{},"part":"{}","event":"{}")", now.count(), part, event);
}

void DecisionLine::name(std::string_view name)
{
    m_line += ",\"";
    m_line += name;
    m_line += "\":";
}

DecisionLine &DecisionLine::text(std::string_view field, std::string_view value)
{
    if (m_line.empty())
        return *this;
    name(field);
    m_line += '"';
    const std::string_view start = cutToLine(value);
    appendEscaped(m_line, start);
    m_line += start.size() < value.size() ? "...\"" : "\"";
    return *this;
}

DecisionLine &DecisionLine::number(std::string_view field, int64_t value)
{
    if (m_line.empty())
        return *this;
    name(field);
    m_line += std::to_string(value);
    return *this;
}

DecisionLine &DecisionLine::flag(std::string_view field, bool value)
{
    if (m_line.empty())
        return *this;
    name(field);
    m_line += value ? "true" : "false";
    return *this;
}

void DecisionLine::write()
{
    if (m_line.empty())
        return;
    m_line += '}';
    output().m_logger->info(m_line);
}

void openDecisionLog()
{
    Output &out = output();
    out.m_pool = std::make_shared<spdlog::details::thread_pool>(QueueLines, QueueThreads);
    out.m_logger = std::make_shared<spdlog::async_logger>(
        "decisions", std::make_shared<spdlog::sinks::stdout_sink_mt>(), out.m_pool,
        spdlog::async_overflow_policy::overrun_oldest);
    out.m_logger->set_pattern("%v");
}

uint64_t droppedDecisionLines()
{
    return output().m_pool ? output().m_pool->overrun_counter() : 0;
}

void closeDecisionLog()
{
    // Threads may still write lines: the logger stays. Its queue is drained in order, and the flush
    // has come to its end once the queue is empty again.
    if (!output().m_logger)
        return;
    output().m_logger->flush();
    const auto until = std::chrono::steady_clock::now() + FlushTime;
    while (output().m_pool->queue_size() > 0 && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(FlushPoll);
    std::fflush(stdout);
}

} // namespace stackquay
