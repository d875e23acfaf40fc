/// Public header of the entry library: the HTTP interface for clients, and the execution of
/// requests.
#pragma once

#include "entry/http_routes.h"
#include "entry/node.h"
#include "entry/request_context.h"
#include "entry/routing_view.h"
#include "entry/shards.h"
#include "entry/steward_service.h"
#include "entry/traffic_worker.h"
