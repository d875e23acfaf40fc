/// Public header of the core library.
#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/hash.h"
#include "core/ids.h"
#include "core/log.h"
#include "core/random.h"
#include "core/text_patch.h"
