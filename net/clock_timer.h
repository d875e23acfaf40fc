/// Timers on the clock that counts suspension: after it, all that are due fire with the first one.
#pragma once

#include <boost/asio/basic_waitable_timer.hpp>

#include "core/core.h"

namespace stackquay {

using ClockTimer = boost::asio::basic_waitable_timer<Clock>;

} // namespace stackquay
