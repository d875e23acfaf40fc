/// One JSON line on standard output for each decision on a request or change of belief.
///
///     DecisionLine("relay", "request ended").text("request", id).number("ms", 12).write();
///
/// Lines go through a bounded queue; when it is full the oldest is dropped and counted. Writing
/// never blocks the caller.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace stackquay {

class DecisionLine
{
public:
    /// @p part is the fixed prefix; @p event says what was decided, in a few words.
    DecisionLine(std::string_view part, std::string_view event);

    /// A long @p value is cut, and ends in "...".
    DecisionLine &text(std::string_view name, std::string_view value);
    DecisionLine &number(std::string_view name, int64_t value);
    DecisionLine &flag(std::string_view name, bool value);
    void write();

private:
    void name(std::string_view name);

    std::string m_line;
};

/// Opens the queue; without it lines are discarded. Once, before threads start.
void openDecisionLog();
/// Lines dropped because the reader of standard output was too slow.
uint64_t droppedDecisionLines();
/// Writes what is queued, as far as standard output takes it. At the end of the process; lines of
/// threads that still run may be lost.
void closeDecisionLog();

} // namespace stackquay
