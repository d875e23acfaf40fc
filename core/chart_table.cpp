#include "core/chart_table.h"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <optional>
#include <sstream>

#include <fmt/format.h>
#include <pugixml.hpp>

namespace stackquay {

namespace {

constexpr const char *IgnoreAttribute = "stackquay:ignore";

std::vector<std::string> splitWords(const std::string &text)
{
    std::istringstream stream(text);
    std::vector<std::string> words;
    for (std::string word; stream >> word;)
        words.push_back(word);
    return words;
}

std::optional<uint16_t> indexOf(const std::vector<std::string> &names, std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<uint16_t>(found - names.begin());
}

bool isState(const pugi::xml_node &node)
{
    return std::strcmp(node.name(), "state") == 0 || std::strcmp(node.name(), "final") == 0;
}

} // namespace

/// Turns one document into a table, and gathers all its faults.
class ChartCompiler
{
public:
    ChartCompiler(const std::string &file, const std::string &text, const ChartNames &names)
        : m_file(file)
        , m_text(text)
        , m_names(names)
    { }

    Result<ChartTable> compile();

private:
    void report(ptrdiff_t offset, const std::string &what);
    void report(const pugi::xml_node &node, const std::string &what)
    {
        report(node.offset_debug(), what);
    }
    void readStates(const pugi::xml_node &root);
    void readInitial(const pugi::xml_node &root);
    void readState(const pugi::xml_node &node, uint16_t state);
    void readTransition(const pugi::xml_node &node, uint16_t state);
    void readGuard(const pugi::xml_node &node, ChartTable::Transition &transition);
    void readTarget(const pugi::xml_node &node, ChartTable::Transition &transition);
    ChartTable::Actions readActions(const pugi::xml_node &node);
    void addTransition(const pugi::xml_node &node, uint16_t state, const std::string &eventName,
                       const ChartTable::Transition &transition);
    void checkEvents(const pugi::xml_node &node, uint16_t state);
    void checkReachable();
    std::vector<ChartTable::Transition> &transitions(uint16_t state, uint16_t event)
    {
        return m_table.m_transitions[state * m_table.m_eventCount + event];
    }

    const std::string &m_file;
    const std::string &m_text;
    const ChartNames &m_names;
    ChartTable m_table;
    std::vector<pugi::xml_node> m_nodes; ///< By state; null if the file lacks it.
    std::string m_problems;
};

void ChartCompiler::report(ptrdiff_t offset, const std::string &what)
{
    const auto end = m_text.begin() + std::clamp<ptrdiff_t>(offset, 0, std::ssize(m_text));
    const auto line = 1 + std::count(m_text.begin(), end, '\n');
    m_problems += fmt::format("{}{}:{}: {}", m_problems.empty() ? "" : "\n", m_file, line, what);
}

Result<ChartTable> ChartCompiler::compile()
{
    pugi::xml_document document;
    const pugi::xml_parse_result parsed = document.load_buffer(m_text.data(), m_text.size());
    const pugi::xml_node root = document.child("scxml");
    if (!parsed)
        report(parsed.offset, parsed.description());
    else if (!root)
        report(0, "no scxml element");
    else
        readStates(root);
    if (!m_problems.empty())
        return makeError(ErrorCode::InvalidArgument, m_problems);
    return std::move(m_table);
}

void ChartCompiler::readStates(const pugi::xml_node &root)
{
    m_nodes.resize(m_names.m_states.size());
    m_table.m_states.resize(m_names.m_states.size());
    m_table.m_eventCount = m_names.m_events.size();
    m_table.m_transitions.resize(m_names.m_states.size() * m_names.m_events.size());
    for (const pugi::xml_node &node : root.children()) {
        const std::string id = node.attribute("id").value();
        const auto state = indexOf(m_names.m_states, id);
        if (!isState(node))
            report(node, fmt::format("element '{}' is not supported here", node.name()));
        else if (!state)
            report(node, fmt::format("unknown state '{}'", id));
        else if (m_nodes[*state])
            report(node, fmt::format("state '{}' stands twice", id));
        else
            m_nodes[*state] = node;
    }
    readInitial(root);
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        if (!m_nodes[i])
            report(root, fmt::format("state '{}' is missing", m_names.m_states[i]));
        else
            readState(m_nodes[i], static_cast<uint16_t>(i));
    }
    if (m_problems.empty())
        checkReachable();
}

void ChartCompiler::readInitial(const pugi::xml_node &root)
{
    const std::string id = root.attribute("initial").value();
    const auto state = indexOf(m_names.m_states, id);
    if (!state)
        return report(root, fmt::format("initial state '{}' does not exist", id));
    m_table.m_initial = *state;
}

void ChartCompiler::readState(const pugi::xml_node &node, uint16_t state)
{
    ChartTable::State &row = m_table.m_states[state];
    row.m_final = std::strcmp(node.name(), "final") == 0;
    for (const pugi::xml_node &child : node.children()) {
        const std::string_view name = child.name();
        if (name == "onentry")
            row.m_onEntry = readActions(child);
        else if (name == "onexit" && !row.m_final)
            row.m_onExit = readActions(child);
        else if (name == "transition" && !row.m_final)
            readTransition(child, state);
        else
            report(child, fmt::format("element '{}' is not supported here", name));
    }
    if (!row.m_final)
        checkEvents(node, state);
}

void ChartCompiler::readTransition(const pugi::xml_node &node, uint16_t state)
{
    ChartTable::Transition transition;
    transition.m_target = state;
    readGuard(node, transition);
    readTarget(node, transition);
    transition.m_actions = readActions(node);
    const auto events = splitWords(node.attribute("event").value());
    if (events.empty())
        report(node, "transition without an event");
    for (const std::string &event : events)
        addTransition(node, state, event, transition);
}

void ChartCompiler::readGuard(const pugi::xml_node &node, ChartTable::Transition &transition)
{
    std::string name = node.attribute("cond").value();
    if (name.empty())
        return;
    transition.m_negated = name.front() == '!';
    if (transition.m_negated)
        name.erase(0, 1);
    const auto guard = m_names.m_guards.find(name);
    if (guard != m_names.m_guards.end()) {
        transition.m_guard = guard->second;
        return;
    }
    report(node, fmt::format("unknown guard '{}'", name));
    // Still a condition, so that what follows is not reported as well.
    transition.m_guard = [](const void *) { return false; };
}

void ChartCompiler::readTarget(const pugi::xml_node &node, ChartTable::Transition &transition)
{
    const pugi::xml_attribute attribute = node.attribute("target");
    if (!attribute)
        return;
    const auto target = indexOf(m_names.m_states, attribute.value());
    if (!target || !m_nodes[*target])
        return report(node, fmt::format("target '{}' does not exist", attribute.value()));
    transition.m_target = *target;
    transition.m_moves = true;
}

ChartTable::Actions ChartCompiler::readActions(const pugi::xml_node &node)
{
    ChartTable::Actions actions;
    for (const pugi::xml_node &child : node.children()) {
        const auto words = splitWords(child.text().get());
        if (std::strcmp(child.name(), "script") != 0 || words.size() != 1) {
            report(child, "expected <script> with the name of one action");
            continue;
        }
        const auto action = m_names.m_actions.find(words.front());
        if (action == m_names.m_actions.end())
            report(child, fmt::format("unknown action '{}'", words.front()));
        else
            actions.push_back(action->second);
    }
    return actions;
}

void ChartCompiler::addTransition(const pugi::xml_node &node, uint16_t state,
                                  const std::string &eventName,
                                  const ChartTable::Transition &transition)
{
    const auto event = indexOf(m_names.m_events, eventName);
    if (!event)
        return report(node, fmt::format("unknown event '{}'", eventName));
    auto &list = transitions(state, *event);
    if (!list.empty() && !list.back().m_guard)
        return report(node, fmt::format("transition for '{}' can never be taken", eventName));
    list.push_back(transition);
    m_table.m_rows.push_back({ m_names.m_states[state], eventName, node.attribute("cond").value(),
                               m_names.m_states[transition.m_target], false });
}

void ChartCompiler::checkEvents(const pugi::xml_node &node, uint16_t state)
{
    const auto ignored = splitWords(node.attribute(IgnoreAttribute).value());
    for (const std::string &event : ignored) {
        if (!indexOf(m_names.m_events, event))
            report(node, fmt::format("unknown event '{}'", event));
        m_table.m_rows.push_back(
            { m_names.m_states[state], event, "", m_names.m_states[state], true });
    }
    for (size_t i = 0; i < m_names.m_events.size(); ++i) {
        const std::string &event = m_names.m_events[i];
        const auto &list = transitions(state, static_cast<uint16_t>(i));
        const bool answered = !list.empty() && !list.back().m_guard;
        const bool isIgnored = std::count(ignored.begin(), ignored.end(), event) > 0;
        if (answered && isIgnored)
            report(node, fmt::format("event '{}' is ignored and has a transition", event));
        if (!answered && !isIgnored)
            report(node, fmt::format("event '{}' is not handled in state '{}'", event,
                                     m_names.m_states[state]));
    }
}

void ChartCompiler::checkReachable()
{
    std::vector<bool> seen(m_names.m_states.size(), false);
    std::vector<uint16_t> open = { m_table.m_initial };
    seen[m_table.m_initial] = true;
    while (!open.empty()) {
        const uint16_t state = open.back();
        open.pop_back();
        for (size_t event = 0; event < m_table.m_eventCount; ++event) {
            for (const auto &transition : transitions(state, static_cast<uint16_t>(event))) {
                if (!seen[transition.m_target])
                    open.push_back(transition.m_target);
                seen[transition.m_target] = true;
            }
        }
    }
    for (size_t i = 0; i < seen.size(); ++i) {
        if (!seen[i])
            report(m_nodes[i], fmt::format("state '{}' is unreachable", m_names.m_states[i]));
    }
}

Result<ChartTable> ChartTable::parse(const std::string &file, const std::string &text,
                                     const ChartNames &names)
{
    return ChartCompiler(file, text, names).compile();
}

Result<ChartTable> ChartTable::load(const std::string &path, const ChartNames &names)
{
    std::ifstream stream(path);
    if (!stream)
        return makeError(ErrorCode::NotFound, fmt::format("{}: cannot be read", path));
    std::ostringstream text;
    text << stream.rdbuf();
    return parse(path, text.str(), names);
}

void ChartTable::enter(uint16_t state, void *context) const
{
    for (const Action &action : m_states[state].m_onEntry)
        action(context);
}

bool ChartTable::dispatch(uint16_t &state, uint16_t event, void *context) const
{
    for (const Transition &transition : m_transitions[state * m_eventCount + event]) {
        if (transition.m_guard && transition.m_guard(context) == transition.m_negated)
            continue;
        if (transition.m_moves) {
            for (const Action &action : m_states[state].m_onExit)
                action(context);
        }
        for (const Action &action : transition.m_actions)
            action(context);
        state = transition.m_target;
        if (transition.m_moves)
            enter(state, context);
        return true;
    }
    return false;
}

} // namespace stackquay
