/// Public header of the store library: clients of the platform's object store, and the leases,
/// claims and declared intent that are kept there.
#pragma once

#include "store/backoff.h"
#include "store/call_budget.h"
#include "store/circuit.h"
#include "store/claim.h"
#include "store/claim_operation.h"
#include "store/claim_store.h"
#include "store/intent_head.h"
#include "store/intent_store.h"
#include "store/kind_store.h"
#include "store/lease.h"
#include "store/lease_keeper.h"
#include "store/objects.h"
#include "store/store_client.h"
