/// An endpoint that answers each connection's first request with given bytes, framed or not, and
/// ends the connection.
#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>

#include "core/core.h"
#include "net/net.h"

namespace stackquay {

enum class RawEnd {
    Close, ///< An orderly end of the connection.
    Reset,
};

/// All members may be used from any thread.
class RawEndpoint
{
public:
    RawEndpoint();
    ~RawEndpoint();
    RawEndpoint(const RawEndpoint &) = delete;
    RawEndpoint &operator=(const RawEndpoint &) = delete;

    void setAnswer(std::string bytes, RawEnd end);
    Address address() const { return m_address; }
    size_t requests() const { return m_requests; }

private:
    void serve();
    void answer(int connection);

    int m_listener = -1;
    Address m_address;
    std::mutex m_mutex;
    std::string m_bytes;
    RawEnd m_end = RawEnd::Close;
    std::atomic<size_t> m_requests{ 0 };
    std::atomic<bool> m_over{ false };
    std::thread m_thread;
};

} // namespace stackquay
