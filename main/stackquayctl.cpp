/// stackquayctl: the operators' command line.
#include <string_view>

#include "control/control.h"

int main(int argc, char **argv)
{
    using namespace stackquay;
    char file[] = "--file";
    for (int index = 1; index < argc; ++index) {
        if (std::string_view(argv[index]) == "-f")
            argv[index] = file;
    }
    return runCtl(parseSettingsOrExit(ctlSettingsTable(), argc, argv));
}
