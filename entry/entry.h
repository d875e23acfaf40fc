/// Public header of the entry library: callers' HTTP and the life of requests.
#pragma once

#include "entry/http_routes.h"
#include "entry/node.h"
#include "entry/routing_view.h"
#include "entry/shards.h"
#include "entry/steward_service.h"
#include "entry/traffic_worker.h"
