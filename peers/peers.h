/// Public header of the peers library: membership of a data centre and calls between daemons.
#pragma once

#include "peers/codec.h"
#include "peers/rpc.h"
#include "peers/traffic.h"
