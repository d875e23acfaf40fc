/// Settings of a program from flags and STACKQUAY_* variables, out of one table.
///
///     SettingsTable<Config> table("stackquayd", "Serves language traffic.");
///     table.integer("threads", &Config::m_threads, { 1, 64 }, "threads", "Traffic threads.");
///     const Config config = parseSettingsOrExit(table, argc, argv);
///
/// Defaults are the members' initial values. A flag wins over its variable.
#pragma once

#include <functional>
#include <initializer_list>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/error.h"

namespace stackquay {

/// Inclusive bounds of a value.
template<typename T>
struct ValueRange {
    T m_min = std::numeric_limits<T>::lowest();
    T m_max = std::numeric_limits<T>::max();
};

enum class SettingPresence {
    Optional,
    Required, ///< May be neither absent nor empty.
};

/// One value that was not accepted.
struct SettingProblem {
    std::string m_source; ///< The flag or variable as the user wrote it.
    std::string m_value;
    std::string m_accepted; ///< What would be accepted.

    bool operator==(const SettingProblem &) const = default;
};

/// "--threads: '0' is not accepted; accepted: 1 to 64 threads".
std::string toString(const SettingProblem &problem);

/// Why there are no settings: all problems, or none if the user asked for a text to be printed.
struct SettingsFailure {
    std::vector<SettingProblem> m_problems;
    std::string m_text; ///< Help, version or settings page; to be printed before exit with 0.

    bool textRequested() const { return !m_text.empty(); }
};

/// One line of a table, with the type of its member erased.
struct SettingEntry {
    std::string m_name; ///< Of the flag, without dashes.
    std::string m_type;
    std::string m_accepted; ///< ValueRange or allowed values, with the unit.
    std::string m_default;
    std::string m_help;
    SettingPresence m_presence = SettingPresence::Optional;
    bool m_switch = false; ///< The flag may stand without a value.
    /// Writes the parsed text into the program's struct; false if it is not accepted.
    std::function<bool(std::string_view text, void *config)> m_store;
};

/// The positional arguments, if a program takes any.
struct PositionalEntry {
    std::string m_name;
    std::string m_help;
    std::function<void(std::vector<std::string> words, void *config)> m_store;
};

/// The untyped half of a table.
struct SettingsSchema {
    std::string m_program;
    std::string m_about;
    std::vector<SettingEntry> m_entries;
    PositionalEntry m_positional; ///< An empty name: none are taken.
};

/// The variable of a flag: "log-level" gives "STACKQUAY_LOG_LEVEL".
std::string settingVariable(std::string_view name);
/// The text of --help.
std::string settingsHelp(const SettingsSchema &schema);
/// A section of the settings page.
std::string settingsMarkdown(const SettingsSchema &schema);

namespace detail {

/// Reads the variables and flags into @p config. Not for use on several threads at once.
tl::expected<void, SettingsFailure> parseSettings(const SettingsSchema &schema, int argc,
                                                  char *const argv[], void *config);
/// Prints the failure and ends the process with 0 or 2.
[[noreturn]] void exitOnSettings(const SettingsSchema &schema, const SettingsFailure &failure);

bool parseInteger(std::string_view text, int64_t &value);
bool parseNumber(std::string_view text, double &value);
bool parseBool(std::string_view text, bool &value);
/// "250ms", "2s", "5m", "1h", "80us".
bool parseDuration(std::string_view text, std::chrono::nanoseconds &value);
std::vector<std::string> splitList(std::string_view text);
std::string joinList(const std::vector<std::string> &items);
std::string numberText(double value);
std::string durationText(std::chrono::nanoseconds value);
std::string rangeText(const std::string &min, const std::string &max, std::string_view unit);

} // namespace detail

/// A program's table: each entry is bound to a member of the plain struct Config.
template<typename Config>
class SettingsTable
{
public:
    template<typename T>
    struct Choice {
        std::string m_name;
        T m_value;
    };

    SettingsTable(std::string program, std::string about)
        : m_schema{ std::move(program), std::move(about), {}, {} }
    { }

    SettingsTable &text(std::string name, std::string Config::*member, std::string help,
                        SettingPresence presence = SettingPresence::Optional)
    {
        const bool required = presence == SettingPresence::Required;
        SettingEntry entry = describe(std::move(name), "text", required ? "not empty" : "any text",
                                      m_defaults.*member, std::move(help));
        entry.m_presence = presence;
        entry.m_store = [member, required](std::string_view text, void *config) {
            static_cast<Config *>(config)->*member = std::string(text);
            return !required || !text.empty();
        };
        return add(std::move(entry));
    }

    template<typename T>
    SettingsTable &integer(std::string name, T Config::*member, ValueRange<T> range,
                           std::string unit, std::string help)
    {
        SettingEntry entry = describe(
            std::move(name), "integer",
            detail::rangeText(std::to_string(range.m_min), std::to_string(range.m_max), unit),
            std::to_string(m_defaults.*member), std::move(help));
        entry.m_store = [member, range](std::string_view text, void *config) {
            int64_t value = 0;
            if (!detail::parseInteger(text, value) || std::cmp_less(value, range.m_min)
                || std::cmp_greater(value, range.m_max))
                return false;
            static_cast<Config *>(config)->*member = static_cast<T>(value);
            return true;
        };
        return add(std::move(entry));
    }

    SettingsTable &number(std::string name, double Config::*member, ValueRange<double> range,
                          std::string unit, std::string help)
    {
        SettingEntry entry = describe(std::move(name), "number",
                                      detail::rangeText(detail::numberText(range.m_min),
                                                        detail::numberText(range.m_max), unit),
                                      detail::numberText(m_defaults.*member), std::move(help));
        entry.m_store = [member, range](std::string_view text, void *config) {
            double value = 0;
            if (!detail::parseNumber(text, value) || value < range.m_min || value > range.m_max)
                return false;
            static_cast<Config *>(config)->*member = value;
            return true;
        };
        return add(std::move(entry));
    }

    /// --name, --name=true or --name=false.
    SettingsTable &toggle(std::string name, bool Config::*member, std::string help)
    {
        SettingEntry entry = describe(std::move(name), "bool", "true or false",
                                      m_defaults.*member ? "true" : "false", std::move(help));
        entry.m_switch = true;
        entry.m_store = [member](std::string_view text, void *config) {
            return detail::parseBool(text, static_cast<Config *>(config)->*member);
        };
        return add(std::move(entry));
    }

    template<typename Rep, typename Period>
    SettingsTable &duration(std::string name, std::chrono::duration<Rep, Period> Config::*member,
                            ValueRange<std::chrono::nanoseconds> range, std::string help)
    {
        using Member = std::chrono::duration<Rep, Period>;
        SettingEntry entry = describe(std::move(name), "duration",
                                      detail::rangeText(detail::durationText(range.m_min),
                                                        detail::durationText(range.m_max), ""),
                                      detail::durationText(m_defaults.*member), std::move(help));
        entry.m_store = [member, range](std::string_view text, void *config) {
            std::chrono::nanoseconds value{};
            if (!detail::parseDuration(text, value) || value < range.m_min || value > range.m_max)
                return false;
            static_cast<Config *>(config)->*member = std::chrono::duration_cast<Member>(value);
            return true;
        };
        return add(std::move(entry));
    }

    /// Items separated by commas.
    SettingsTable &list(std::string name, std::vector<std::string> Config::*member,
                        std::string help)
    {
        SettingEntry entry = describe(std::move(name), "list", "items separated by commas",
                                      detail::joinList(m_defaults.*member), std::move(help));
        entry.m_store = [member](std::string_view text, void *config) {
            static_cast<Config *>(config)->*member = detail::splitList(text);
            return true;
        };
        return add(std::move(entry));
    }

    template<typename T>
    SettingsTable &choice(std::string name, T Config::*member, std::vector<Choice<T>> choices,
                          std::string help)
    {
        std::string accepted;
        std::string initial;
        for (const Choice<T> &choice : choices) {
            accepted += (accepted.empty() ? "" : ", ") + choice.m_name;
            if (choice.m_value == m_defaults.*member)
                initial = choice.m_name;
        }
        SettingEntry entry = describe(std::move(name), "choice", "one of " + accepted,
                                      std::move(initial), std::move(help));
        entry.m_store = [member, choices = std::move(choices)](std::string_view text,
                                                               void *config) {
            for (const Choice<T> &choice : choices) {
                if (choice.m_name != text)
                    continue;
                static_cast<Config *>(config)->*member = choice.m_value;
                return true;
            }
            return false;
        };
        return add(std::move(entry));
    }

    /// Any other type, such as an address. @p parse returns Result<T>; @p print is for the default.
    template<typename T>
    SettingsTable &parsed(std::string name, T Config::*member, std::string type,
                          std::string accepted, std::function<Result<T>(std::string_view)> parse,
                          std::function<std::string(const T &)> print, std::string help)
    {
        SettingEntry entry = describe(std::move(name), std::move(type), std::move(accepted),
                                      print(m_defaults.*member), std::move(help));
        entry.m_store = [member, parse = std::move(parse)](std::string_view text, void *config) {
            Result<T> value = parse(text);
            if (!value)
                return false;
            static_cast<Config *>(config)->*member = std::move(*value);
            return true;
        };
        return add(std::move(entry));
    }

    /// Takes the positional arguments; without this any is a problem.
    SettingsTable &positional(std::string name, std::vector<std::string> Config::*member,
                              std::string help)
    {
        m_schema.m_positional = { std::move(name), std::move(help),
                                  [member](std::vector<std::string> words, void *config) {
                                      static_cast<Config *>(config)->*member = std::move(words);
                                  } };
        return *this;
    }

    const SettingsSchema &schema() const { return m_schema; }

private:
    static SettingEntry describe(std::string name, std::string type, std::string accepted,
                                 std::string initial, std::string help)
    {
        SettingEntry entry;
        entry.m_name = std::move(name);
        entry.m_type = std::move(type);
        entry.m_accepted = std::move(accepted);
        entry.m_default = std::move(initial);
        entry.m_help = std::move(help);
        return entry;
    }

    SettingsTable &add(SettingEntry entry)
    {
        m_schema.m_entries.push_back(std::move(entry));
        return *this;
    }

    Config m_defaults{};
    SettingsSchema m_schema;
};

/// The settings, or all that was wrong with them. Not for use on several threads at once.
template<typename Config>
tl::expected<Config, SettingsFailure> parseSettings(const SettingsTable<Config> &table, int argc,
                                                    char *const argv[])
{
    Config config{};
    const auto parsed = detail::parseSettings(table.schema(), argc, argv, &config);
    if (!parsed)
        return tl::unexpected(parsed.error());
    return config;
}

/// For a program's main: prints help and ends with 0, or prints all problems and ends with 2.
template<typename Config>
Config parseSettingsOrExit(const SettingsTable<Config> &table, int argc, char *const argv[])
{
    auto config = parseSettings(table, argc, argv);
    if (!config)
        detail::exitOnSettings(table.schema(), config.error());
    return std::move(*config);
}

} // namespace stackquay
