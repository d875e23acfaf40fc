/// Public header of the policy library: pure decisions, no I/O, clock or thread.
#pragma once

#include "policy/intent.h"
#include "policy/intent_check.h"
#include "policy/intent_json.h"
