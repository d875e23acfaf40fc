/// Public header of the control library: the operators' language and what it drives.
#pragma once

#include "control/apply.h"
#include "control/intent_tables.h"
#include "control/parser.h"
#include "control/runtime_tables.h"
#include "control/statement.h"
#include "control/table.h"
