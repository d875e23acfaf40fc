/// Public header of the control library: the daemon, and the operators' language and what it drives.
#pragma once

#include "control/apply.h"
#include "control/command.h"
#include "control/command_http.h"
#include "control/command_json.h"
#include "control/command_store.h"
#include "control/control_state.h"
#include "control/ctl.h"
#include "control/ctl_client.h"
#include "control/ctl_options.h"
#include "control/daemon.h"
#include "control/daemon_settings.h"
#include "control/intent_tables.h"
#include "control/parser.h"
#include "control/runtime_tables.h"
#include "control/statement.h"
#include "control/table.h"
