/// Public header of the control library: the daemon, its control state and the operators' side.
#pragma once

#include "control/control_state.h"
#include "control/daemon.h"
#include "control/daemon_settings.h"
