/// Bytes that the sockets of one thread have carried, for logs and metrics.
#pragma once

#include <cstdint>

namespace stackquay {

/// Payload, without the headers of packets. Only grows.
struct ThreadTraffic {
    uint64_t m_received = 0;
    uint64_t m_sent = 0;
    uint64_t m_datagrams = 0; ///< Datagrams sent; their bytes are in m_sent too.
    uint64_t m_datagramBytes = 0;
    uint64_t m_datagramsLost = 0; ///< The socket did not take them.
};

/// Of the calling thread.
inline ThreadTraffic &threadTraffic()
{
    thread_local ThreadTraffic traffic;
    return traffic;
}

} // namespace stackquay
