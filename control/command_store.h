/// The part of a command's environment that the store gives.
#pragma once

#include "control/command.h"

namespace stackquay {

/// Sets m_load, m_loadHead, m_loadSnapshot and m_commit. Both must outlive the environment.
void bindStore(CommandEnvironment &environment, IntentStore &intents, ObjectApi &objects);

} // namespace stackquay
