/// Public header of the peers library: membership of a data centre and calls between daemons.
#pragma once

#include "peers/codec.h"
#include "peers/intent_relay.h"
#include "peers/member.h"
#include "peers/membership.h"
#include "peers/membership_state.h"
#include "peers/rendezvous.h"
#include "peers/revision_history.h"
#include "peers/rpc.h"
#include "peers/traffic.h"
