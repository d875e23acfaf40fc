/// The command line of stackquay-load.
#pragma once

#include "load/options.h"

namespace stackquay {

struct LoadCommand {
    LoadOptions m_options;
    std::string m_csvFile; ///< Empty: none, as below. "-": standard output.
    std::string m_jsonFile;
    std::string m_flatFile; ///< JSON with one value a line.
    bool m_help = false;
};

/// Parses the flags; all bad values are named in one error.
Result<LoadCommand> parseLoadFlags(int argc, char **argv);
/// The text of --help.
std::string loadUsage();

} // namespace stackquay
