/// Ports on loopback for processes that have to know theirs before they start.
#pragma once

#include <cstdint>

namespace stackquay {

/// Below the ports that the kernel gives to connections, so that a process that is down keeps its
/// own. Test programs that run side by side begin at different ones.
uint16_t firstTestPort();
/// Whether a listener can be bound to @p port.
bool isFreePort(uint16_t port);
/// The first of @p count free ports in a row, from @p from on.
uint16_t findFreePorts(uint16_t from, uint16_t count);

} // namespace stackquay
