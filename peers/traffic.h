/// Counters of the traffic between a daemon and its peers. Thread-safe.
#pragma once

#include <atomic>
#include <cstdint>

namespace stackquay {

/// Payload bytes; headers of IP, UDP and TCP are not counted.
struct PeerTraffic {
    std::atomic<uint64_t> m_datagramBytesIn{ 0 };
    std::atomic<uint64_t> m_datagramBytesOut{ 0 };
    std::atomic<uint64_t> m_datagramsIn{ 0 };
    std::atomic<uint64_t> m_datagramsOut{ 0 };
    std::atomic<uint64_t> m_datagramsRejected{ 0 }; ///< Malformed, or of another data centre.
    std::atomic<uint64_t> m_rpcBytesIn{ 0 };
    std::atomic<uint64_t> m_rpcBytesOut{ 0 };
    std::atomic<uint64_t> m_rpcCalls{ 0 }; ///< Calls made.
    std::atomic<uint64_t> m_rpcServed{ 0 }; ///< Calls answered.
    std::atomic<uint64_t> m_rpcFailed{ 0 }; ///< Calls made that ended in an error.
};

} // namespace stackquay
