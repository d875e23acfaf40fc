/// Times in reports between VMs, whose clocks differ: they are sent as ages.
#pragma once

#include "core/core.h"

namespace stackquay {

/// Age of @p at in milliseconds; zero if it lies ahead.
uint64_t ageOf(TimePoint at, TimePoint now);

/// The time @p ageMs before @p now; ages beyond @p retention are cut, so that none overflows.
TimePoint timeOf(uint64_t ageMs, Duration retention, TimePoint now);

} // namespace stackquay
