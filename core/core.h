/// Public header of the core library.
#pragma once

#include "core/chart.h"
#include "core/chart_table.h"
#include "core/clock.h"
#include "core/decision_log.h"
#include "core/error.h"
#include "core/fingerprint.h"
#include "core/hash.h"
#include "core/histogram.h"
#include "core/ids.h"
#include "core/log.h"
#include "core/metrics.h"
#include "core/random.h"
#include "core/settings.h"
#include "core/text_patch.h"
#include "core/wire.h"
