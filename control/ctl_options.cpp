#include "control/ctl_options.h"

namespace stackquay {

SettingsTable<CtlSettings> ctlSettingsTable()
{
    const ValueRange<std::chrono::nanoseconds> timeouts{ Millis(1), std::chrono::hours(1) };
    SettingsTable<CtlSettings> table("stackquayctl", "Queries and changes a stackquay deployment.");
    table.list("address", &CtlSettings::m_addresses, "HTTP addresses of daemons, tried in turn.")
        .text("key", &CtlSettings::m_key, "Bearer key of the operator.")
        .list("platform", &CtlSettings::m_platform,
              "Addresses of the platform's object service; only for init.")
        .text("file", &CtlSettings::m_file,
              "Statements for apply, or an intent in JSON for init; also -f.")
        .toggle("json", &CtlSettings::m_json, "Prints the answer as one JSON object.")
        .toggle("wait", &CtlSettings::m_wait,
                "Waits until a change is in force on every node, and names those behind.")
        .duration("wait-timeout", &CtlSettings::m_waitTimeout, timeouts, "Longest wait of --wait.")
        .duration("timeout", &CtlSettings::m_timeout, timeouts,
                  "Longest wait for an answer, without that of --wait.")
        .positional("STATEMENT...", &CtlSettings::m_words,
                    "A statement (docs/LANGUAGE.md), or one of: apply -f FILE, init -f FILE, "
                    "shell, completion.");
    return table;
}

} // namespace stackquay
