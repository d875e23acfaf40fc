/// Sends commands to daemons, for stackquayctl.
#pragma once

#include "control/command.h"
#include "control/ctl_options.h"

namespace stackquay {

/// Sends one statement, and the same change again to the next daemon when an answer is lost. Never
/// says "not in effect" of a change that may have reached a daemon which did not answer.
CommandAnswer sendCommand(const CtlSettings &settings, const std::string &statement);

/// Declares the first intent, straight at the platform's object service. Conflict if there is one.
CommandAnswer declareFirstIntent(const CtlSettings &settings, const std::string &json);

} // namespace stackquay
