/// Settings of stackquayctl, and what they ask for.
#pragma once

#include "control/command.h"
#include "net/net.h"

namespace stackquay {

struct CtlSettings {
    std::vector<std::string> m_addresses{ "127.0.0.1:8080" }; ///< Daemons, tried in turn.
    std::string m_key; ///< Bearer key of the operator.
    std::vector<std::string> m_platform; ///< Of the object service, for init.
    std::string m_file; ///< For apply and init.
    bool m_json = false;
    bool m_wait = false;
    Millis m_waitTimeout{ 18'000 };
    Millis m_timeout{ 30'000 };
    std::vector<std::string> m_words; ///< A statement, or apply, init, shell or completion.
};

/// The table of all settings, with their defaults and ranges.
SettingsTable<CtlSettings> ctlSettingsTable();

/// Exit code for wrong flags.
constexpr int ExitUsage = 2;

} // namespace stackquay
