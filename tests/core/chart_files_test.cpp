/// The chart files of the product: each one compiles with the names that it uses itself, so every
/// event that a chart knows is answered or ignored in each of its states.
#include <filesystem>
#include <set>

#include <gtest/gtest.h>
#include <pugixml.hpp>

#include "core/core.h"

namespace stackquay {
namespace {

void addWords(std::set<std::string> &words, const std::string &text)
{
    std::istringstream stream(text);
    for (std::string word; stream >> word;)
        words.insert(word);
}

/// All names that stand in the file.
ChartNames collectNames(const std::string &path)
{
    pugi::xml_document document;
    document.load_file(path.c_str());
    ChartNames names;
    std::set<std::string> events;
    for (const auto &found : document.select_nodes("//state | //final"))
        names.m_states.emplace_back(found.node().attribute("id").value());
    for (const auto &found : document.select_nodes("//transition")) {
        addWords(events, found.node().attribute("event").value());
        std::string guard = found.node().attribute("cond").value();
        guard.erase(0, guard.starts_with('!') ? 1 : 0);
        names.m_guards[guard] = [](const void *) { return true; };
    }
    for (const auto &found : document.select_nodes("//script"))
        names.m_actions[found.node().text().get()] = [](void *) {};
    names.m_events.assign(events.begin(), events.end());
    return names;
}

class ChartFile : public testing::TestWithParam<const char *>
{ };

TEST_P(ChartFile, CompilesAndReachesAnEnd)
{
    const std::string path = std::string(STACKQUAY_SOURCE_DIR) + "/charts/" + GetParam() + ".scxml";
    const ChartNames names = collectNames(path);
    const auto chart = ChartTable::load(path, names);
    ASSERT_TRUE(chart) << toString(chart.error());
    EXPECT_FALSE(chart->rows().empty());
    size_t finals = 0;
    for (size_t i = 0; i < names.m_states.size(); ++i)
        finals += chart->isFinal(static_cast<uint16_t>(i)) ? 1 : 0;
    EXPECT_GT(finals, 0u);
}

INSTANTIATE_TEST_SUITE_P(Charts, ChartFile,
                         testing::Values("request", "lease", "claim", "endpoint", "order", "vm"),
                         [](const auto &info) { return std::string(info.param); });

} // namespace
} // namespace stackquay
