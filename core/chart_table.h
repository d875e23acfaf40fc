/// State charts in files, compiled into tables. The typed front is core/chart.h.
///
/// The files are a subset of SCXML: flat <state> and <final> elements; <transition event cond
/// target>, where event may list several names and cond is one guard's name, with "!" before it to
/// negate; <onentry> and <onexit>; and <script>NAME</script> for one action. The attribute
/// stackquay:ignore of a state lists events that do nothing there.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace stackquay {

/// What a chart's names stand for. The context is the program's own struct.
struct ChartNames {
    std::vector<std::string> m_states; ///< In the order of the program's enumeration.
    std::vector<std::string> m_events; ///< In the order of the program's enumeration.
    std::map<std::string, std::function<bool(const void *)>> m_guards;
    std::map<std::string, std::function<void(void *)>> m_actions;
};

/// One row of a chart, by names, for test matrices and pages.
struct ChartRow {
    std::string m_state;
    std::string m_event;
    std::string m_guard; ///< Empty: always.
    std::string m_target; ///< The state itself if the transition stays.
    bool m_ignored = false; ///< Listed as ignored; there is no transition.

    bool operator==(const ChartRow &) const = default;
};

/// A compiled chart. Immutable once loaded; may be shared between threads.
class ChartTable
{
public:
    using Guard = std::function<bool(const void *)>;
    using Action = std::function<void(void *)>;
    using Actions = std::vector<Action>;

    struct Transition {
        Guard m_guard; ///< Empty: always.
        bool m_negated = false;
        bool m_moves = false; ///< Whether exit and entry actions run.
        uint16_t m_target = 0;
        Actions m_actions;
    };

    struct State {
        bool m_final = false;
        Actions m_onEntry;
        Actions m_onExit;
    };

    /// Compiles @p text. The error lists every fault as "file:line: what", one a line: an unknown
    /// or doubled name, a dangling target, an unreachable state, a transition that can never be
    /// taken, an event without an unconditional answer in a state that is not final.
    static Result<ChartTable> parse(const std::string &file, const std::string &text,
                                    const ChartNames &names);
    static Result<ChartTable> load(const std::string &path, const ChartNames &names);

    uint16_t initialState() const { return m_initial; }
    bool isFinal(uint16_t state) const { return m_states[state].m_final; }
    void enter(uint16_t state, void *context) const;
    /// Runs the first transition that applies. False if there is none.
    bool dispatch(uint16_t &state, uint16_t event, void *context) const;
    const std::vector<ChartRow> &rows() const { return m_rows; }

private:
    friend class ChartCompiler;

    uint16_t m_initial = 0;
    size_t m_eventCount = 0;
    std::vector<State> m_states;
    std::vector<std::vector<Transition>> m_transitions; ///< By state * events + event.
    std::vector<ChartRow> m_rows;
};

} // namespace stackquay
