/// Public header of the net library: threads, fibers, sockets and HTTP.
#pragma once

#include "net/address.h"
#include "net/client_connections.h"
#include "net/clock_timer.h"
#include "net/datagrams.h"
#include "net/fiber_socket.h"
#include "net/fiber_thread.h"
#include "net/http_client.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "net/memory_budget.h"
#include "net/process_stats.h"
#include "net/run_on.h"
#include "net/signals.h"
#include "net/silence.h"
#include "net/thread_traffic.h"
#include "net/yield.h"
