/// Flags of the stand-ins' subcommands, read with getopt_long.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/core.h"

namespace stackquay::standin {

/// One `--name VALUE` flag, or `--name` alone if it takes no value.
struct Flag {
    std::string m_name;
    std::string m_help; ///< With the unit and the default.
    std::function<bool(const std::string &)> m_set; ///< False if the value is bad.
    bool m_takesValue = true;
};

/// Flags that store into a variable, which must outlive them.
Flag intFlag(std::string name, std::string help, int64_t &value);
Flag sizeFlag(std::string name, std::string help, size_t &value);
Flag realFlag(std::string name, std::string help, double &value);
Flag millisFlag(std::string name, std::string help, Millis &value);
Flag microsFlag(std::string name, std::string help, Micros &value);
Flag textFlag(std::string name, std::string help, std::string &value);
Flag switchFlag(std::string name, std::string help, bool &value);

/// Parses the arguments after the subcommand in argv[0]; names the bad flag in its error.
Status parseFlags(int argc, char **argv, const std::vector<Flag> &flags);
std::string flagsHelp(const std::vector<Flag> &flags);

} // namespace stackquay::standin
