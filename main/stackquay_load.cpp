/// stackquay-load: sends a planned load to daemons or engines and reports what came back.
#include <cstdio>
#include <fstream>
#include <iostream>

#include "load/load.h"

namespace {

using namespace stackquay;

constexpr int ExitBadFlags = 2;
constexpr int ExitNoFile = 3;

bool writeFile(const std::string &name, const std::string &text)
{
    if (name.empty())
        return true;
    if (name == "-") {
        std::cout << text;
        return true;
    }
    std::ofstream file(name);
    file << text;
    file.close();
    if (!file)
        log(LogPart::Load).error("Cannot write the report. file={}", name);
    return !file.fail();
}

} // namespace

int main(int argc, char **argv)
{
    const auto command = parseLoadFlags(argc, argv);
    if (!command) {
        std::cerr << "stackquay-load: " << command.error().m_message << "\n";
        return ExitBadFlags;
    }
    if (command->m_help) {
        std::cout << loadUsage();
        return 0;
    }
    const LoadOptions &options = command->m_options;
    const auto run = runLoad(options);
    if (!run) {
        std::cerr << "stackquay-load: " << run.error().m_message << "\n";
        return ExitBadFlags;
    }
    std::cout << formatTable(*run);
    const bool csv = command->m_csvFile.empty() || writeFile(command->m_csvFile, formatCsv(*run));
    const bool json = writeFile(command->m_jsonFile, formatJson(*run, options, false));
    const bool flat = writeFile(command->m_flatFile, formatJson(*run, options, true));
    return csv && json && flat ? 0 : ExitNoFile;
}
