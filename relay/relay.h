/// Public header of the relay library: opaque requests on declared routes, from arrival to outcome.
#pragma once

#include "relay/condemned_record.h"
#include "relay/dialect.h"
#include "relay/end_check.h"
#include "relay/event_splitter.h"
#include "relay/fleet_link.h"
#include "relay/load_exchange.h"
#include "relay/memory_tickets.h"
#include "relay/relay_daemon.h"
#include "relay/relay_metrics.h"
#include "relay/relay_node.h"
#include "relay/relay_run.h"
#include "relay/relay_settings.h"
#include "relay/relay_view.h"
#include "relay/source.h"
#include "relay/store_follower.h"
#include "relay/suspect_watch.h"
