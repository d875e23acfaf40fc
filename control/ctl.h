/// stackquayctl without its main: runs what the settings ask for.
#pragma once

#include "control/ctl_options.h"

namespace stackquay {

/// Prints the answer; the exit code is that of outcomeCodes(), or ExitUsage.
int runCtl(const CtlSettings &settings);

/// Prints one answer: to standard output, or to standard error if nothing took effect.
int printAnswer(const CommandAnswer &answer, bool json);

/// Reads statements from a terminal, with history and line editing, until its end.
int runShell(const CtlSettings &settings);

/// Words that statements are made of, for completion.
std::vector<std::string> languageWords();

/// A completion script for bash.
std::string bashCompletion();

} // namespace stackquay
