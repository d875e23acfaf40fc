#include "core/settings.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>

#include <fmt/format.h>
#include <getopt.h>

namespace stackquay {

namespace {

constexpr int BadSettingsExit = 2;
constexpr int HelpOption = 1;
constexpr int VersionOption = 2;
constexpr int PageOption = 3;
constexpr int FirstEntryOption = 256;

struct DurationUnit {
    std::string_view m_suffix;
    std::chrono::nanoseconds m_length;
};

// Longest first, so that the first that divides a duration is the shortest to print.
constexpr std::array<DurationUnit, 6> DurationUnits = { {
    { "h", std::chrono::hours(1) },
    { "m", std::chrono::minutes(1) },
    { "s", std::chrono::seconds(1) },
    { "ms", std::chrono::milliseconds(1) },
    { "us", std::chrono::microseconds(1) },
    { "ns", std::chrono::nanoseconds(1) },
} };

/// The options for getopt_long; the names live in the schema.
std::vector<option> buildOptions(const SettingsSchema &schema)
{
    std::vector<option> options = {
        { "help", no_argument, nullptr, HelpOption },
        { "version", no_argument, nullptr, VersionOption },
        { "print-settings-page", no_argument, nullptr, PageOption },
    };
    int value = FirstEntryOption;
    for (const SettingEntry &entry : schema.m_entries) {
        const int argument = entry.m_switch ? optional_argument : required_argument;
        options.push_back({ entry.m_name.c_str(), argument, nullptr, value++ });
    }
    options.push_back({ nullptr, 0, nullptr, 0 });
    return options;
}

/// Gathers what the user gave, entry by entry.
class Reader
{
public:
    Reader(const SettingsSchema &schema, void *config)
        : m_schema(schema)
        , m_config(config)
        , m_given(schema.m_entries.size(), false)
    { }

    void readFlags(int argc, char *const argv[]);
    void readVariables();
    void checkRequired();
    SettingsFailure takeFailure() { return std::move(m_failure); }
    bool failed() const { return m_failure.textRequested() || !m_failure.m_problems.empty(); }

private:
    void handle(int choice, int argc, char *const argv[]);
    void store(size_t index, const std::string &source, std::string_view text);
    void report(std::string source, std::string_view value, std::string accepted);
    void readPositional(int argc, char *const argv[]);

    const SettingsSchema &m_schema;
    void *m_config;
    std::vector<bool> m_given;
    SettingsFailure m_failure;
};

void Reader::report(std::string source, std::string_view value, std::string accepted)
{
    m_failure.m_problems.push_back({ std::move(source), std::string(value), std::move(accepted) });
}

void Reader::store(size_t index, const std::string &source, std::string_view text)
{
    const SettingEntry &entry = m_schema.m_entries[index];
    m_given[index] = true;
    if (!entry.m_store(text, m_config))
        report(source, text, entry.m_accepted);
}

void Reader::handle(int choice, int argc, char *const argv[])
{
    switch (choice) {
    case HelpOption:
        m_failure.m_text = settingsHelp(m_schema);
        return;
    case VersionOption:
        m_failure.m_text = m_schema.m_program + " " STACKQUAY_VERSION "\n";
        return;
    case PageOption:
        m_failure.m_text = settingsMarkdown(m_schema);
        return;
    case '?':
        report(argv[optind - 1], "", "a flag listed by --help");
        return;
    case ':':
        report(argv[optind - 1], "", "a value after the flag");
        return;
    default:
        break;
    }
    const size_t index = static_cast<size_t>(choice - FirstEntryOption);
    store(index, "--" + m_schema.m_entries[index].m_name, optarg ? optarg : "true");
}

void Reader::readFlags(int argc, char *const argv[])
{
    const std::vector<option> options = buildOptions(m_schema);
    opterr = 0;
    optind = 0; // GNU: start afresh.
    int choice = 0;
    while ((choice = getopt_long(argc, argv, ":", options.data(), nullptr)) != -1)
        handle(choice, argc, argv);
    readPositional(argc, argv);
}

void Reader::readPositional(int argc, char *const argv[])
{
    std::vector<std::string> words(argv + std::min(optind, argc), argv + argc);
    if (!m_schema.m_positional.m_name.empty()) {
        m_schema.m_positional.m_store(std::move(words), m_config);
        return;
    }
    for (const std::string &word : words)
        report(word, "", "flags only");
}

void Reader::readVariables()
{
    for (size_t i = 0; i < m_schema.m_entries.size(); ++i) {
        const std::string variable = settingVariable(m_schema.m_entries[i].m_name);
        const char *value = std::getenv(variable.c_str());
        if (value && !m_given[i])
            store(i, variable, value);
    }
}

void Reader::checkRequired()
{
    for (size_t i = 0; i < m_schema.m_entries.size(); ++i) {
        const SettingEntry &entry = m_schema.m_entries[i];
        if (entry.m_presence == SettingPresence::Required && !m_given[i] && entry.m_default.empty())
            report("--" + entry.m_name, "", entry.m_accepted);
    }
}

std::string defaultText(const SettingEntry &entry)
{
    if (entry.m_presence == SettingPresence::Required && entry.m_default.empty())
        return "required";
    return entry.m_default.empty() ? "empty" : entry.m_default;
}

/// Keeps a table cell in its cell.
std::string escapeCell(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '|')
            escaped += '\\';
        escaped += c;
    }
    return escaped;
}

} // namespace

std::string toString(const SettingProblem &problem)
{
    if (problem.m_value.empty())
        return fmt::format("{}: not accepted; accepted: {}", problem.m_source, problem.m_accepted);
    return fmt::format("{}: '{}' is not accepted; accepted: {}", problem.m_source, problem.m_value,
                       problem.m_accepted);
}

std::string settingVariable(std::string_view name)
{
    std::string variable = "STACKQUAY_";
    for (const char c : name)
        variable += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return variable;
}

std::string settingsHelp(const SettingsSchema &schema)
{
    const bool words = !schema.m_positional.m_name.empty();
    std::string text = fmt::format("Usage: {} [flags]{}\n{}\n\n", schema.m_program,
                                   words ? " " + schema.m_positional.m_name : "", schema.m_about);
    if (words)
        text +=
            fmt::format("  {}\n      {}\n", schema.m_positional.m_name, schema.m_positional.m_help);
    for (const SettingEntry &entry : schema.m_entries) {
        text += fmt::format("  --{}={}  ({})\n      {}\n      Accepted: {}. Default: {}.\n",
                            entry.m_name, entry.m_type, settingVariable(entry.m_name), entry.m_help,
                            entry.m_accepted, defaultText(entry));
    }
    text += "  --help\n      Prints this text.\n  --version\n      Prints the version.\n";
    return text + "A flag wins over its variable.\n";
}

std::string settingsMarkdown(const SettingsSchema &schema)
{
    std::string text = fmt::format("## {}\n\n{}\n\n", schema.m_program, schema.m_about);
    text += "| flag | variable | type | accepted | default | meaning |\n";
    text += "| --- | --- | --- | --- | --- | --- |\n";
    for (const SettingEntry &entry : schema.m_entries) {
        text +=
            fmt::format("| `--{}` | `{}` | {} | {} | {} | {} |\n", entry.m_name,
                        settingVariable(entry.m_name), entry.m_type, escapeCell(entry.m_accepted),
                        escapeCell(defaultText(entry)), escapeCell(entry.m_help));
    }
    return text;
}

namespace detail {

tl::expected<void, SettingsFailure> parseSettings(const SettingsSchema &schema, int argc,
                                                  char *const argv[], void *config)
{
    Reader reader(schema, config);
    // Flags first: a variable that a flag replaces is not looked at.
    reader.readFlags(argc, argv);
    reader.readVariables();
    reader.checkRequired();
    if (reader.failed())
        return tl::unexpected(reader.takeFailure());
    return {};
}

void exitOnSettings(const SettingsSchema &schema, const SettingsFailure &failure)
{
    if (failure.textRequested()) {
        std::fputs(failure.m_text.c_str(), stdout);
        std::exit(EXIT_SUCCESS);
    }
    for (const SettingProblem &problem : failure.m_problems)
        fmt::print(stderr, "{}: {}\n", schema.m_program, toString(problem));
    fmt::print(stderr, "{}: see --help\n", schema.m_program);
    std::exit(BadSettingsExit);
}

bool parseInteger(std::string_view text, int64_t &value)
{
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc() && result.ptr == end;
}

bool parseNumber(std::string_view text, double &value)
{
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc() && result.ptr == end && std::isfinite(value);
}

bool parseBool(std::string_view text, bool &value)
{
    if (text != "true" && text != "false" && text != "1" && text != "0")
        return false;
    value = text == "true" || text == "1";
    return true;
}

bool parseDuration(std::string_view text, std::chrono::nanoseconds &value)
{
    const size_t digits = std::min(text.find_first_not_of("0123456789."), text.size());
    const std::string_view suffix = text.substr(digits);
    const auto unit = std::find_if(DurationUnits.begin(), DurationUnits.end(),
                                   [&](const DurationUnit &u) { return u.m_suffix == suffix; });
    double count = 0;
    if (unit == DurationUnits.end() || !parseNumber(text.substr(0, digits), count))
        return false;
    const double nanoseconds = count * static_cast<double>(unit->m_length.count());
    if (nanoseconds >= static_cast<double>(std::numeric_limits<int64_t>::max()))
        return false;
    value = std::chrono::nanoseconds(std::llround(nanoseconds));
    return true;
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    size_t start = 0;
    while (start < text.size()) {
        const size_t end = std::min(text.find(',', start), text.size());
        if (end > start)
            items.emplace_back(text.substr(start, end - start));
        start = end + 1;
    }
    return items;
}

std::string joinList(const std::vector<std::string> &items)
{
    return fmt::format("{}", fmt::join(items, ","));
}

std::string numberText(double value)
{
    return fmt::format("{}", value);
}

std::string durationText(std::chrono::nanoseconds value)
{
    if (value == std::chrono::nanoseconds::zero())
        return "0s";
    for (const DurationUnit &unit : DurationUnits) {
        if (value % unit.m_length == std::chrono::nanoseconds::zero())
            return fmt::format("{}{}", value / unit.m_length, unit.m_suffix);
    }
    return fmt::format("{}ns", value.count());
}

std::string rangeText(const std::string &min, const std::string &max, std::string_view unit)
{
    return fmt::format("{} to {}{}{}", min, max, unit.empty() ? "" : " ", unit);
}

} // namespace detail

} // namespace stackquay
