/// Public header of the policy library: pure decisions, no I/O, clock or thread.
#pragma once

#include "policy/admission.h"
#include "policy/deadline.h"
#include "policy/fair_queue.h"
#include "policy/intent.h"
#include "policy/outcome.h"
#include "policy/retry.h"
