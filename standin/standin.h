/// Public header of the standin library: test stand-ins of the outside systems.
///
/// The library lives in a namespace of its own, as its types are the far side's view of things
/// that the product also names. Those that tests use most are named in the outer one too.
#pragma once

#include "standin/engine_standin.h"
#include "standin/fault_relay.h"
#include "standin/hosted.h"
#include "standin/object_store.h"
#include "standin/platform_standin.h"
#include "standin/program.h"
#include "standin/service_standin.h"

namespace stackquay {

using standin::EngineFault;
using standin::EngineFaultMode;
using standin::EngineStandin;
using standin::expectedAnswer;
using standin::FaultRelay;
using standin::Hosted;
using standin::PlatformFault;
using standin::PlatformFaultMode;
using standin::PlatformStandin;
using standin::RelayFault;
using standin::RelayMode;
using standin::RelayWay;
using standin::ServiceFault;
using standin::ServiceFaultMode;
using standin::ServiceStandin;

} // namespace stackquay
