/// The command line of stackquay-standin.
#pragma once

namespace stackquay::standin {

/// Runs `stackquay-standin SUBCOMMAND [flags]` until SIGTERM or SIGINT; the exit status.
int runStandinProgram(int argc, char **argv);

} // namespace stackquay::standin
