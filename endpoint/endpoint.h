/// Public header of the endpoint library: clients of model engines and plain services.
#pragma once

#include "endpoint/engine_frame.h"
#include "endpoint/engine_stream.h"
#include "endpoint/service_call.h"
#include "endpoint/sse_reader.h"
