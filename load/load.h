/// Public header of the load library: planned load against daemons or engines, and its report.
#pragma once

#include "load/answer_check.h"
#include "load/client.h"
#include "load/flags.h"
#include "load/options.h"
#include "load/plan.h"
#include "load/prompt_text.h"
#include "load/record.h"
#include "load/report.h"
#include "load/runner.h"
#include "load/summary.h"
