/// Public header of the standin library: test stand-ins of the outside systems.
#pragma once

#include "standin/engine_standin.h"
#include "standin/hosted.h"
#include "standin/object_store.h"
#include "standin/platform_standin.h"
#include "standin/program.h"
