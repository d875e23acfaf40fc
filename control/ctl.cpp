#include "control/ctl.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "control/command_json.h"
#include "control/ctl_client.h"
#include "control/intent_tables.h"
#include "control/parser.h"

namespace stackquay {

namespace {

constexpr const char *StandardInput = "-";

Result<std::string> readFile(const std::string &name)
{
    std::ostringstream text;
    if (name == StandardInput) {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(name);
    if (!file)
        return makeError(ErrorCode::NotFound, "Cannot read \"" + name + "\".");
    text << file.rdbuf();
    return text.str();
}

int usageError(const std::string &message)
{
    std::cerr << "stackquayctl: " << message << "\n";
    return ExitUsage;
}

/// Runs the statements of a file in turn, up to the first that is not in effect.
int applyFile(const CtlSettings &settings)
{
    const Result<std::string> text = readFile(settings.m_file);
    if (!text)
        return usageError(text.error().m_message);
    const Result<std::vector<Statement>> statements = parseScript(*text);
    if (!statements) {
        std::cerr << statements.error().m_message << "\n";
        return outcomeCodes(CommandOutcome::Refused).m_exitCode;
    }
    for (const Statement &statement : *statements) {
        if (!settings.m_json)
            std::cout << "> " << statement.m_text << "\n";
        const int code = printAnswer(sendCommand(settings, statement.m_text), settings.m_json);
        if (code != 0)
            return code;
    }
    return 0;
}

int initFromFile(const CtlSettings &settings)
{
    const Result<std::string> text = readFile(settings.m_file);
    if (!text)
        return usageError(text.error().m_message);
    return printAnswer(declareFirstIntent(settings, *text), settings.m_json);
}

} // namespace

int printAnswer(const CommandAnswer &answer, bool json)
{
    const int code = outcomeCodes(answer.m_outcome).m_exitCode;
    if (json)
        std::cout << encodeCommandAnswer(answer) << std::endl;
    else
        (code == 0 ? std::cout : std::cerr) << answer.m_text << std::flush;
    return code;
}

int runCtl(const CtlSettings &settings)
{
    if (settings.m_words.empty())
        return usageError("a statement is missing; see --help");
    const std::string &first = settings.m_words.front();
    const bool needsFile = first == "apply" || first == "init";
    if (needsFile && settings.m_file.empty())
        return usageError(first + " needs -f FILE");
    if (first == "apply")
        return applyFile(settings);
    if (first == "init")
        return initFromFile(settings);
    if (first == "shell")
        return runShell(settings);
    if (first == "completion") {
        std::cout << bashCompletion();
        return 0;
    }
    const std::string statement = fmt::format("{}", fmt::join(settings.m_words, " "));
    return printAnswer(sendCommand(settings, statement), settings.m_json);
}

std::vector<std::string> languageWords()
{
    std::vector<std::string> words{ "show",    "why",     "set",   "add",     "remove", "drain",
                                    "undrain", "promote", "check", "history", "undo",   "begin",
                                    "commit",  "where",   "order", "by",      "desc",   "limit",
                                    "and",     "or",      "not",   "in",      "if",     "revision",
                                    "request", "version", "intent" };
    for (int kind = 0; kind < static_cast<int>(EntityKind::Intent); ++kind)
        words.emplace_back(entityKindName(static_cast<EntityKind>(kind)));
    for (const auto &names : { intentTableNames(), runtimeTableNames() })
        words.insert(words.end(), names.begin(), names.end());
    return words;
}

std::string bashCompletion()
{
    std::vector<std::string> flags;
    const SettingsTable<CtlSettings> table = ctlSettingsTable();
    for (const SettingEntry &entry : table.schema().m_entries)
        flags.push_back("--" + entry.m_name);
    return fmt::format(R"(# bash completion for stackquayctl; use: source <(stackquayctl completion)
_stackquayctl() {{
    local word="${{COMP_WORDS[COMP_CWORD]}}"
    case "${{COMP_WORDS[COMP_CWORD-1]}}" in
        -f|--file) COMPREPLY=($(compgen -f -- "$word")); return ;;
    esac
    case "$word" in
        -*) COMPREPLY=($(compgen -W "{}" -- "$word")) ;;
        *) COMPREPLY=($(compgen -W "apply init shell completion {}" -- "$word")) ;;
    esac
}}
complete -F _stackquayctl stackquayctl
)",
                       fmt::join(flags, " "), fmt::join(languageWords(), " "));
}

} // namespace stackquay
