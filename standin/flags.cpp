#include "standin/flags.h"

#include <charconv>

#include <fmt/format.h>
#include <getopt.h>

namespace stackquay::standin {

namespace {

template<typename Number>
std::optional<Number> parseNumber(const std::string &text)
{
    Number value{};
    const char *end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || parsed != end || value < 0)
        return std::nullopt;
    return value;
}

template<typename Number, typename Value>
Flag numberFlag(std::string name, std::string help, Value &value)
{
    return { std::move(name), std::move(help), [&value](const std::string &text) {
                const auto number = parseNumber<Number>(text);
                if (number)
                    value = Value(*number);
                return number.has_value();
            } };
}

} // namespace

Flag intFlag(std::string name, std::string help, int64_t &value)
{
    return numberFlag<int64_t>(std::move(name), std::move(help), value);
}

Flag sizeFlag(std::string name, std::string help, size_t &value)
{
    return numberFlag<int64_t>(std::move(name), std::move(help), value);
}

Flag realFlag(std::string name, std::string help, double &value)
{
    return numberFlag<double>(std::move(name), std::move(help), value);
}

Flag millisFlag(std::string name, std::string help, Millis &value)
{
    return numberFlag<int64_t>(std::move(name), std::move(help), value);
}

Flag microsFlag(std::string name, std::string help, Micros &value)
{
    return numberFlag<int64_t>(std::move(name), std::move(help), value);
}

Flag textFlag(std::string name, std::string help, std::string &value)
{
    return { std::move(name), std::move(help), [&value](const std::string &text) {
                value = text;
                return true;
            } };
}

Flag switchFlag(std::string name, std::string help, bool &value)
{
    const auto set = [&value](const std::string &) {
        value = true;
        return true;
    };
    return { std::move(name), std::move(help), set, false };
}

Status parseFlags(int argc, char **argv, const std::vector<Flag> &flags)
{
    std::vector<option> options;
    for (const Flag &flag : flags)
        options.push_back({ flag.m_name.c_str(),
                            flag.m_takesValue ? required_argument : no_argument, nullptr, 0 });
    options.push_back({ nullptr, 0, nullptr, 0 });
    opterr = 0;
    optind = 1;
    int index = 0;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", options.data(), &index)) != -1) {
        if (found != 0)
            return makeError(ErrorCode::InvalidArgument,
                             fmt::format("unknown flag or no value: {}", argv[optind - 1]));
        const Flag &flag = flags[static_cast<size_t>(index)];
        if (!flag.m_set(optarg ? optarg : ""))
            return makeError(
                ErrorCode::InvalidArgument,
                fmt::format("--{}: bad value \"{}\" ({})", flag.m_name, optarg, flag.m_help));
    }
    if (optind < argc)
        return makeError(ErrorCode::InvalidArgument,
                         fmt::format("unexpected argument: {}", argv[optind]));
    return {};
}

std::string flagsHelp(const std::vector<Flag> &flags)
{
    std::string help;
    for (const Flag &flag : flags)
        help += fmt::format("  --{}{}\n      {}\n", flag.m_name, flag.m_takesValue ? " VALUE" : "",
                            flag.m_help);
    return help;
}

} // namespace stackquay::standin
