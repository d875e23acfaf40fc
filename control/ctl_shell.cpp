#include <cstdlib>
#include <cstring>
#include <iostream>

#include <readline/history.h>
#include <readline/readline.h>
#include <unistd.h>

#include "control/ctl.h"
#include "control/ctl_client.h"
#include "control/parser.h"

namespace stackquay {

namespace {

constexpr const char *Prompt = "stackquay> ";
constexpr const char *ContinuedPrompt = "      ...> ";
constexpr int HistoryLines = 1000;

/// The file that keeps the history; empty if there is no home.
std::string historyFile()
{
    const char *home = std::getenv("HOME");
    return home ? std::string(home) + "/.stackquayctl_history" : "";
}

char *nextWord(const char *text, int state)
{
    static std::vector<std::string> words;
    static size_t next = 0;
    if (state == 0) {
        words = languageWords();
        next = 0;
    }
    const std::string_view prefix(text);
    while (next < words.size()) {
        const std::string &word = words[next++];
        if (word.starts_with(prefix))
            return strdup(word.c_str());
    }
    return nullptr;
}

/// Nothing at the end of the input.
std::optional<std::string> readLine(const char *prompt)
{
    if (!isatty(STDIN_FILENO)) {
        std::string line;
        return std::getline(std::cin, line) ? std::optional(line) : std::nullopt;
    }
    char *line = readline(prompt);
    if (!line)
        return std::nullopt;
    std::string text(line);
    std::free(line);
    return text;
}

/// Whether a block still waits for its commit.
bool isOpenBlock(const std::string &text)
{
    const Result<std::vector<Statement>> parsed = parseScript(text);
    const bool begins = text.find("begin") != std::string::npos;
    const bool commits = text.find("commit") != std::string::npos;
    return !parsed && begins && !commits;
}

std::optional<std::string> readStatements()
{
    std::optional<std::string> text = readLine(Prompt);
    while (text && isOpenBlock(*text)) {
        const std::optional<std::string> more = readLine(ContinuedPrompt);
        if (!more)
            return text;
        *text += "\n" + *more;
    }
    return text;
}

int runStatements(const CtlSettings &settings, const std::string &text)
{
    const Result<std::vector<Statement>> statements = parseScript(text);
    if (!statements) {
        std::cerr << statements.error().m_message << "\n";
        return outcomeCodes(CommandOutcome::Refused).m_exitCode;
    }
    for (const Statement &statement : *statements) {
        const int code = printAnswer(sendCommand(settings, statement.m_text), settings.m_json);
        if (code != 0)
            return code;
    }
    return 0;
}

} // namespace

int runShell(const CtlSettings &settings)
{
    rl_completion_entry_function = nextWord;
    const std::string file = historyFile();
    if (!file.empty())
        read_history(file.c_str());
    stifle_history(HistoryLines);
    int code = 0;
    while (const std::optional<std::string> text = readStatements()) {
        if (*text == "exit" || *text == "quit")
            break;
        if (text->empty())
            continue;
        add_history(text->c_str());
        code = runStatements(settings, *text);
    }
    if (!file.empty())
        write_history(file.c_str());
    return code;
}

} // namespace stackquay
