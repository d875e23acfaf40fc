/// An endpoint that answers each connection's first request with given bytes, framed or not, and
/// ends the connection. It serves one connection at a time.
#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "core/core.h"
#include "net/net.h"

namespace stackquay {

/// What the systems' buffers of a loopback connection take without a reader.
constexpr size_t BufferedBytes = size_t(12) << 20;

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

    /// The connection ends @p endAfter after the bytes were sent.
    void setAnswer(std::string bytes, RawEnd end, Millis endAfter = Millis(0));
    /// Sends @p start and then @p repeated again and again, until the peer closes the connection or
    /// @p mostBytes are sent.
    void setEndlessAnswer(std::string start, const std::string &repeated, size_t mostBytes);
    Address address() const { return m_address; }
    size_t requests() const { return m_requests; }
    /// Those whose first line starts with @p start, such as "POST /a".
    size_t requestsWith(std::string_view start);
    /// The most that the peer's system took in one answer, what the peer itself did not read
    /// included.
    size_t longestSent() const { return m_longestSent; }
    /// Answers that the peer ended by closing the connection.
    size_t cutAnswers() const { return m_cutAnswers; }

private:
    void serve();
    void answer(int connection);
    bool readRequest(int connection);
    void sendEndless(int connection, const std::string &start, const std::string &repeated,
                     size_t mostBytes);
    /// False once the peer has closed the connection.
    bool sendAll(int connection, std::string_view bytes);

    int m_listener = -1;
    Address m_address;
    std::mutex m_mutex;
    std::string m_bytes;
    std::string m_repeated;
    size_t m_mostBytes = 0;
    RawEnd m_end = RawEnd::Close;
    Millis m_endAfter{ 0 };
    std::vector<std::string> m_requestLines;
    std::atomic<size_t> m_requests{ 0 };
    std::atomic<size_t> m_longestSent{ 0 };
    std::atomic<size_t> m_cutAnswers{ 0 };
    std::atomic<bool> m_over{ false };
    std::thread m_thread;
};

} // namespace stackquay
