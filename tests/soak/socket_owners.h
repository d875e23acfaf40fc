/// Which of some processes holds the end of a connection on this machine.
#pragma once

#include <map>
#include <mutex>
#include <optional>

#include <sys/types.h>

#include "core/core.h"

namespace stackquay::soak {

/// Thread-safe.
class SocketOwners
{
public:
    /// The process @p pid is that of @p owner, in place of an earlier one.
    void set(size_t owner, pid_t pid);
    /// The owner of the loopback connection from the port @p from to the port @p to; nothing if no
    /// known process holds it.
    std::optional<size_t> ownerOf(uint16_t from, uint16_t to) const;

private:
    mutable std::mutex m_mutex;
    std::map<size_t, pid_t> m_pids; ///< By owner.
};

} // namespace stackquay::soak
