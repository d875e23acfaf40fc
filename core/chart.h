/// State charts that the code interprets, with the program's own types.
///
///     ChartBindings<Lease, LeaseState, LeaseEvent> bindings;
///     bindings.states({ { "free", LeaseState::Free }, { "held", LeaseState::Held } })
///         .events({ { "granted", LeaseEvent::Granted } })
///         .guard("mayRenew", [](const Lease &lease) { return lease.m_mayRenew; })
///         .action("startTimer", [](Lease &lease) { lease.startTimer(); });
///     auto chart = Chart<Lease, LeaseState, LeaseEvent>::load("charts/lease.scxml", bindings);
///     ChartInstance instance(*chart);
///     instance.start(*chart, lease);
///     instance.dispatch(*chart, LeaseEvent::Granted, lease);
///
/// An action must not dispatch to the instance that runs it; it may leave a note in the context.
#pragma once

#include <cassert>
#include <functional>
#include <initializer_list>
#include <string>
#include <utility>

#include "core/chart_table.h"

namespace stackquay {

/// Ties a chart's names to enumerations that count from 0, and to functions over a Context.
template<typename Context, typename State, typename Event>
class ChartBindings
{
public:
    /// All states, in the order of the enumeration.
    ChartBindings &states(std::initializer_list<std::pair<const char *, State>> states)
    {
        fill(m_names.m_states, states);
        return *this;
    }

    /// All events, in the order of the enumeration.
    ChartBindings &events(std::initializer_list<std::pair<const char *, Event>> events)
    {
        fill(m_names.m_events, events);
        return *this;
    }

    ChartBindings &guard(std::string name, std::function<bool(const Context &)> function)
    {
        m_names.m_guards[std::move(name)] = [function = std::move(function)](const void *context) {
            return function(*static_cast<const Context *>(context));
        };
        return *this;
    }

    ChartBindings &action(std::string name, std::function<void(Context &)> function)
    {
        m_names.m_actions[std::move(name)] = [function = std::move(function)](void *context) {
            function(*static_cast<Context *>(context));
        };
        return *this;
    }

    const ChartNames &names() const { return m_names; }

private:
    template<typename Enum>
    static void fill(std::vector<std::string> &names,
                     std::initializer_list<std::pair<const char *, Enum>> entries)
    {
        names.clear();
        for (const auto &[name, value] : entries) {
            assert(static_cast<size_t>(value) == names.size());
            names.emplace_back(name);
        }
    }

    ChartNames m_names;
};

/// A loaded chart, shared by all its instances.
template<typename Context, typename State, typename Event>
class Chart
{
public:
    using Bindings = ChartBindings<Context, State, Event>;
    using ContextType = Context;
    using StateType = State;
    using EventType = Event;

    /// Errors as of ChartTable::parse().
    static Result<Chart> load(const std::string &path, const Bindings &bindings)
    {
        return ChartTable::load(path, bindings.names()).map(wrap);
    }

    static Result<Chart> parse(const std::string &file, const std::string &text,
                               const Bindings &bindings)
    {
        return ChartTable::parse(file, text, bindings.names()).map(wrap);
    }

    const ChartTable &table() const { return m_table; }
    bool isFinal(State state) const { return m_table.isFinal(static_cast<uint16_t>(state)); }
    const std::vector<ChartRow> &rows() const { return m_table.rows(); }

private:
    explicit Chart(ChartTable table)
        : m_table(std::move(table))
    { }

    static Chart wrap(ChartTable &&table) { return Chart(std::move(table)); }

    ChartTable m_table;
};

/// The state of one thing that follows a chart: two bytes. Not for use on several threads at once.
template<typename Context, typename State, typename Event>
class ChartInstance
{
public:
    using ChartType = Chart<Context, State, Event>;

    explicit ChartInstance(const ChartType &chart)
        : m_state(chart.table().initialState())
    { }

    State state() const { return static_cast<State>(m_state); }
    bool finished(const ChartType &chart) const { return chart.table().isFinal(m_state); }

    /// Runs the entry actions of the initial state; call once.
    void start(const ChartType &chart, Context &context) const
    {
        chart.table().enter(m_state, &context);
    }

    /// Whether a transition was taken; false if the event means nothing in this state.
    bool dispatch(const ChartType &chart, Event event, Context &context)
    {
        return chart.table().dispatch(m_state, static_cast<uint16_t>(event), &context);
    }

private:
    uint16_t m_state;
};

} // namespace stackquay
