/// Public header of the relay library: opaque requests on declared routes, from arrival to outcome.
#pragma once

#include "relay/event_splitter.h"
#include "relay/exit_probe.h"
#include "relay/fleet_link.h"
#include "relay/load_exchange.h"
#include "relay/memory_reservations.h"
#include "relay/quarantine_record.h"
#include "relay/relay_codec.h"
#include "relay/relay_daemon.h"
#include "relay/relay_metrics.h"
#include "relay/relay_node.h"
#include "relay/relay_run.h"
#include "relay/relay_settings.h"
#include "relay/relay_view.h"
#include "relay/source.h"
#include "relay/store_follower.h"
#include "relay/suspect_tracker.h"
