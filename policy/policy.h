/// Public header of the policy library: pure decisions, no I/O, clock or thread.
#pragma once

#include "policy/admission.h"
#include "policy/choose_endpoint.h"
#include "policy/cost_model.h"
#include "policy/deadline.h"
#include "policy/endpoint_ledger.h"
#include "policy/fair_queue.h"
#include "policy/intent.h"
#include "policy/intent_check.h"
#include "policy/intent_json.h"
#include "policy/least_squares.h"
#include "policy/length_class.h"
#include "policy/outcome.h"
#include "policy/prefix.h"
#include "policy/retry.h"
