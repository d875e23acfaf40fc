/// stackquay-standin SUBCOMMAND: runs one test stand-in until SIGTERM.
#include "standin/standin.h"

int main(int argc, char **argv)
{
    return stackquay::standin::runStandinProgram(argc, argv);
}
