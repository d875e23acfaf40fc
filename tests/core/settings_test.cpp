#include <cstdlib>

#include <gtest/gtest.h>

#include "core/core.h"

namespace stackquay {
namespace {

struct Config {
    std::string m_name = "one";
    std::string m_key;
    uint16_t m_port = 8080;
    double m_ratio = 0.5;
    bool m_verbose = false;
    Millis m_timeout{ 1500 };
    std::vector<std::string> m_peers;
    LogFormat m_format = LogFormat::Text;
    std::vector<std::string> m_words;
};

SettingsTable<Config> makeTable()
{
    SettingsTable<Config> table("prog", "Does things.");
    table.text("name", &Config::m_name, "A name.")
        .text("key", &Config::m_key, "A key.", SettingPresence::Required)
        .integer<uint16_t>("port", &Config::m_port, { 1, 9000 }, "", "Where to listen.")
        .number("ratio", &Config::m_ratio, { 0, 1 }, "", "A ratio.")
        .toggle("verbose", &Config::m_verbose, "Says more.")
        .duration("timeout", &Config::m_timeout, { Millis(1), Seconds(60) }, "How long.")
        .list("peers", &Config::m_peers, "Who else.")
        .choice<LogFormat>("log-format", &Config::m_format,
                           { { "text", LogFormat::Text }, { "json", LogFormat::Json } },
                           "How to log.");
    return table;
}

tl::expected<Config, SettingsFailure> parse(const SettingsTable<Config> &table,
                                            std::vector<std::string> arguments)
{
    std::vector<char *> argv = { const_cast<char *>("prog") };
    for (std::string &argument : arguments)
        argv.push_back(argument.data());
    const int argc = static_cast<int>(argv.size());
    argv.push_back(nullptr);
    return parseSettings(table, argc, argv.data());
}

/// Sets a variable for one test.
class Variable
{
public:
    Variable(const char *name, const char *value)
        : m_name(name)
    {
        setenv(name, value, 1);
    }
    ~Variable() { unsetenv(m_name); }

private:
    const char *m_name;
};

TEST(Settings, ReadsEveryType)
{
    const auto config = parse(makeTable(), { "--name", "two", "--key=k", "--port", "81",
                                             "--ratio=0.25", "--verbose", "--timeout=2.5s",
                                             "--peers", "a,b", "--log-format=json" });
    ASSERT_TRUE(config);
    EXPECT_EQ(config->m_name, "two");
    EXPECT_EQ(config->m_port, 81);
    EXPECT_EQ(config->m_ratio, 0.25);
    EXPECT_TRUE(config->m_verbose);
    EXPECT_EQ(config->m_timeout, Millis(2500));
    EXPECT_EQ(config->m_peers, (std::vector<std::string>{ "a", "b" }));
    EXPECT_EQ(config->m_format, LogFormat::Json);
}

TEST(Settings, KeepsDefaultsAndFlagWinsOverVariable)
{
    const Variable port("STACKQUAY_PORT", "82");
    const Variable timeout("STACKQUAY_TIMEOUT", "3s");
    const Variable key("STACKQUAY_KEY", "from-variable");
    const auto config = parse(makeTable(), { "--port=83" });
    ASSERT_TRUE(config);
    EXPECT_EQ(config->m_name, "one");
    EXPECT_EQ(config->m_port, 83);
    EXPECT_EQ(config->m_timeout, Seconds(3));
    EXPECT_EQ(config->m_key, "from-variable");
}

TEST(Settings, ReportsAllProblemsAtOnce)
{
    const Variable ratio("STACKQUAY_RATIO", "1.5");
    const auto config = parse(makeTable(), { "--port=0", "--timeout=90s", "--verbose=maybe",
                                             "--nothing", "word", "--log-format=xml" });
    ASSERT_FALSE(config);
    EXPECT_FALSE(config.error().textRequested());
    const std::vector<SettingProblem> expected = {
        { "--port", "0", "1 to 9000" },
        { "--timeout", "90s", "1ms to 1m" },
        { "--verbose", "maybe", "true or false" },
        { "--nothing", "", "a flag listed by --help" },
        { "--log-format", "xml", "one of text, json" },
        { "word", "", "flags only" },
        { "STACKQUAY_RATIO", "1.5", "0 to 1" },
        { "--key", "", "not empty" },
    };
    EXPECT_EQ(config.error().m_problems, expected);
    EXPECT_EQ(toString(expected[0]), "--port: '0' is not accepted; accepted: 1 to 9000");
}

TEST(Settings, RefusesMalformedValues)
{
    for (const char *flag : { "--port=8x", "--port=", "--port=70000", "--port=99999999999999999999",
                              "--ratio=nan", "--ratio=", "--timeout=5", "--timeout=s",
                              "--timeout=-1s", "--timeout=1.2.3s", "--key=", "--port" }) {
        const auto config = parse(makeTable(), { "--key=k", flag });
        ASSERT_FALSE(config) << flag;
        EXPECT_EQ(config.error().m_problems.size(), 1u) << flag;
    }
}

TEST(Settings, TakesPositionalArguments)
{
    auto table = makeTable();
    table.positional("WORDS", &Config::m_words, "A statement.");
    const auto config = parse(table, { "show", "--key=k", "models" });
    ASSERT_TRUE(config);
    EXPECT_EQ(config->m_words, (std::vector<std::string>{ "show", "models" }));
}

TEST(Settings, HelpAndPageNameEveryEntry)
{
    const auto table = makeTable();
    const auto config = parse(table, { "--help", "--port=0" });
    ASSERT_FALSE(config);
    ASSERT_TRUE(config.error().textRequested());
    const std::string page = settingsMarkdown(table.schema());
    for (const SettingEntry &entry : table.schema().m_entries) {
        EXPECT_NE(config.error().m_text.find("--" + entry.m_name), std::string::npos);
        EXPECT_NE(page.find(settingVariable(entry.m_name)), std::string::npos);
    }
    EXPECT_NE(page.find("| `--timeout` | `STACKQUAY_TIMEOUT` | duration | 1ms to 1m | 1500ms |"),
              std::string::npos);
}

TEST(Settings, ProgramEndsWithTwoOnBadValues)
{
    const auto table = makeTable();
    char program[] = "prog";
    char flag[] = "--port=0";
    char *argv[] = { program, flag, nullptr };
    EXPECT_EXIT(parseSettingsOrExit(table, 2, argv), testing::ExitedWithCode(2),
                "--port: '0' is not accepted; accepted: 1 to 9000");
}

} // namespace
} // namespace stackquay
