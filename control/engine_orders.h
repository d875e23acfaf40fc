/// Orders and state of engines over HTTP, for the reconciler.
#pragma once

#include "control/reconciler.h"
#include "net/net.h"

namespace stackquay {

/// Sets m_readState and m_send. The pool must outlive the environment.
void bindEngines(ReconcilerEnvironment &environment, HttpPool &pool);

} // namespace stackquay
