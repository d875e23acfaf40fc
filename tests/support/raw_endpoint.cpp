#include "tests/support/raw_endpoint.h"

#include <array>
#include <cstdlib>
#include <tuple>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace stackquay {

namespace {

constexpr int PollMs = 20;
constexpr int Backlog = 64;

bool isReadable(int socket)
{
    pollfd wanted{ socket, POLLIN, 0 };
    return poll(&wanted, 1, PollMs) > 0;
}

} // namespace

RawEndpoint::RawEndpoint()
    : m_listener(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) != 0
        || listen(m_listener, Backlog) != 0
        || getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        std::abort();
    m_address = *parseAddress("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
    m_thread = std::thread([this] { serve(); });
}

RawEndpoint::~RawEndpoint()
{
    m_over = true;
    m_thread.join();
    close(m_listener);
}

void RawEndpoint::setAnswer(std::string bytes, RawEnd end)
{
    const std::lock_guard lock(m_mutex);
    m_bytes = std::move(bytes);
    m_end = end;
}

void RawEndpoint::serve()
{
    while (!m_over) {
        if (!isReadable(m_listener))
            continue;
        const int connection = accept(m_listener, nullptr, nullptr);
        if (connection < 0)
            continue;
        answer(connection);
        close(connection);
    }
}

/// Reads a request without regard to its body, which is short and arrives with the head.
void RawEndpoint::answer(int connection)
{
    std::string request;
    std::array<char, 4'096> piece;
    while (!m_over && request.find("\r\n\r\n") == std::string::npos) {
        if (!isReadable(connection))
            continue;
        const ssize_t size = recv(connection, piece.data(), piece.size(), 0);
        if (size <= 0)
            return;
        request.append(piece.data(), static_cast<size_t>(size));
    }
    ++m_requests;
    const std::lock_guard lock(m_mutex);
    std::ignore = send(connection, m_bytes.data(), m_bytes.size(), MSG_NOSIGNAL);
    if (m_end == RawEnd::Close)
        return;
    // What was sent has to arrive before the reset.
    usleep(PollMs * 1'000);
    const linger now{ 1, 0 };
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

} // namespace stackquay
