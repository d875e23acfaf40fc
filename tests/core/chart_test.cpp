#include <gtest/gtest.h>

#include "core/core.h"

namespace stackquay {
namespace {

struct Door {
    bool m_locked = false;
    std::string m_trace;
};

enum class DoorState { Closed, Open, Gone };
enum class DoorEvent { Push, Pull, Smash };

using DoorBindings = ChartBindings<Door, DoorState, DoorEvent>;
using DoorChart = Chart<Door, DoorState, DoorEvent>;

DoorBindings bindings()
{
    DoorBindings door;
    door.states({ { "closed", DoorState::Closed },
                  { "open", DoorState::Open },
                  { "gone", DoorState::Gone } })
        .events({ { "push", DoorEvent::Push },
                  { "pull", DoorEvent::Pull },
                  { "smash", DoorEvent::Smash } })
        .guard("locked", [](const Door &context) { return context.m_locked; })
        .action("enter", [](Door &context) { context.m_trace += "enter "; })
        .action("leave", [](Door &context) { context.m_trace += "leave "; })
        .action("creak", [](Door &context) { context.m_trace += "creak "; });
    return door;
}

constexpr const char *Good = R"(<?xml version="1.0"?>
<scxml initial="closed">
  <!-- comment -->
  <state id="closed" stackquay:ignore="pull">
    <onexit><script>leave</script></onexit>
    <transition event="push" cond="!locked" target="open"><script>creak</script></transition>
    <transition event="push"><script>creak</script></transition>
    <transition event="smash" target="gone"/>
  </state>
  <state id="open">
    <onentry><script>enter</script></onentry>
    <transition event="pull" target="closed"/>
    <transition event="push smash" target="gone"/>
  </state>
  <final id="gone"/>
</scxml>
)";

TEST(Chart, DispatchRunsExitTransitionAndEntryActions)
{
    const auto chart = DoorChart::parse("door.scxml", Good, bindings());
    ASSERT_TRUE(chart) << toString(chart.error());
    Door door;
    ChartInstance instance(*chart);
    static_assert(sizeof(instance) == 2);
    EXPECT_EQ(instance.state(), DoorState::Closed);
    EXPECT_TRUE(instance.dispatch(*chart, DoorEvent::Push, door));
    EXPECT_EQ(instance.state(), DoorState::Open);
    EXPECT_EQ(door.m_trace, "leave creak enter ");
}

TEST(Chart, GuardsInternalTransitionsIgnoredAndFinal)
{
    const auto chart = DoorChart::parse("door.scxml", Good, bindings());
    ASSERT_TRUE(chart);
    Door door{ .m_locked = true, .m_trace = "" };
    ChartInstance instance(*chart);
    EXPECT_TRUE(instance.dispatch(*chart, DoorEvent::Push, door));
    EXPECT_EQ(instance.state(), DoorState::Closed);
    EXPECT_EQ(door.m_trace, "creak ");
    EXPECT_FALSE(instance.dispatch(*chart, DoorEvent::Pull, door));
    EXPECT_TRUE(instance.dispatch(*chart, DoorEvent::Smash, door));
    EXPECT_TRUE(instance.finished(*chart));
    EXPECT_FALSE(instance.dispatch(*chart, DoorEvent::Push, door));
}

TEST(Chart, StartRunsTheInitialEntryActions)
{
    std::string text = Good;
    text.replace(text.find("initial=\"closed\""), 16, "initial=\"open\"");
    const auto chart = DoorChart::parse("door.scxml", text, bindings());
    ASSERT_TRUE(chart);
    Door door;
    ChartInstance(*chart).start(*chart, door);
    EXPECT_EQ(door.m_trace, "enter ");
}

TEST(Chart, RowsListEveryTransitionAndIgnoredEvent)
{
    const auto chart = DoorChart::parse("door.scxml", Good, bindings());
    ASSERT_TRUE(chart);
    const std::vector<ChartRow> expected = {
        { "closed", "push", "!locked", "open", false }, { "closed", "push", "", "closed", false },
        { "closed", "smash", "", "gone", false },       { "closed", "pull", "", "closed", true },
        { "open", "pull", "", "closed", false },        { "open", "push", "", "gone", false },
        { "open", "smash", "", "gone", false },
    };
    EXPECT_EQ(chart->rows(), expected);
}

struct Fault {
    const char *m_from;
    const char *m_to;
    const char *m_message;
};

class ChartFault : public testing::TestWithParam<Fault>
{ };

TEST_P(ChartFault, RefusesToLoadNamingFileAndLine)
{
    std::string text = Good;
    const size_t at = text.find(GetParam().m_from);
    ASSERT_NE(at, std::string::npos);
    text.replace(at, std::strlen(GetParam().m_from), GetParam().m_to);
    const auto chart = DoorChart::parse("door.scxml", text, bindings());
    ASSERT_FALSE(chart);
    EXPECT_EQ(chart.error().m_message, GetParam().m_message);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, ChartFault,
    testing::Values(
        Fault{ "cond=\"!locked\"", "cond=\"!looked\"", "door.scxml:6: unknown guard 'looked'" },
        Fault{ "<script>enter", "<script>entre", "door.scxml:11: unknown action 'entre'" },
        Fault{ "event=\"pull\" target=\"closed\"", "event=\"pull\" target=\"shut\"",
               "door.scxml:12: target 'shut' does not exist" },
        Fault{ "event=\"push smash\"", "event=\"push\"",
               "door.scxml:10: event 'smash' is not handled in state 'open'" },
        Fault{ "event=\"push smash\"", "event=\"push smash kick\"",
               "door.scxml:13: unknown event 'kick'" },
        Fault{ "event=\"push\"><script>creak", "event=\"push\" cond=\"locked\"><script>creak",
               "door.scxml:4: event 'push' is not handled in state 'closed'" },
        Fault{ "cond=\"!locked\" target=\"open\"", "target=\"open\"",
               "door.scxml:7: transition for 'push' can never be taken" },
        Fault{ "cond=\"!locked\" target=\"open\"", "cond=\"!locked\"",
               "door.scxml:10: state 'open' is unreachable" },
        Fault{ "<final id=\"gone\"/>", "<final id=\"gone\"/><final id=\"lost\"/>",
               "door.scxml:15: unknown state 'lost'" },
        Fault{ "<final id=\"gone\"/>", "<final id=\"gone\"/><final id=\"gone\"/>",
               "door.scxml:15: state 'gone' stands twice" },
        Fault{ "ignore=\"pull\"", "ignore=\"pull smash\"",
               "door.scxml:4: event 'smash' is ignored and has a transition" },
        Fault{ "initial=\"closed\"", "initial=\"ajar\"",
               "door.scxml:2: initial state 'ajar' does not exist" },
        Fault{ "<onentry>", "<invoke/><onentry>",
               "door.scxml:11: element 'invoke' is not supported here" },
        Fault{ "</scxml>", "", "door.scxml:16: Start-end tags mismatch" }));

TEST(Chart, ReportsAllFaultsAndAMissingFile)
{
    std::string text = Good;
    text.replace(text.find("<script>leave"), 13, "<script>live");
    text.replace(text.find("<script>enter"), 13, "<script>inter");
    const auto chart = DoorChart::parse("door.scxml", text, bindings());
    ASSERT_FALSE(chart);
    EXPECT_EQ(chart.error().m_message,
              "door.scxml:5: unknown action 'live'\ndoor.scxml:11: unknown action 'inter'");
    EXPECT_EQ(DoorChart::load("/nowhere.scxml", bindings()).error().m_code, ErrorCode::NotFound);
}

} // namespace
} // namespace stackquay
