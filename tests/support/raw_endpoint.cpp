#include "tests/support/raw_endpoint.h"

#include <algorithm>
#include <array>
#include <cerrno>
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
constexpr size_t SendBytes = 64 * 1024;

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

void RawEndpoint::setAnswer(std::string bytes, RawEnd end, Millis endAfter)
{
    const std::lock_guard lock(m_mutex);
    m_bytes = std::move(bytes);
    m_repeated.clear();
    m_end = end;
    m_endAfter = endAfter;
}

void RawEndpoint::setEndlessAnswer(std::string start, const std::string &repeated, size_t mostBytes)
{
    std::string repeatedOften;
    while (repeatedOften.size() < SendBytes)
        repeatedOften += repeated;
    const std::lock_guard lock(m_mutex);
    m_bytes = std::move(start);
    m_repeated = std::move(repeatedOften);
    m_mostBytes = mostBytes;
    m_end = RawEnd::Close;
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

void RawEndpoint::answer(int connection)
{
    if (!readRequest(connection))
        return;
    ++m_requests;
    std::unique_lock lock(m_mutex);
    const std::string bytes = m_bytes;
    const std::string repeated = m_repeated;
    const size_t mostBytes = m_mostBytes;
    const RawEnd end = m_end;
    const Millis endAfter = m_endAfter;
    lock.unlock();
    if (!repeated.empty()) {
        sendEndless(connection, bytes, repeated, mostBytes);
        return;
    }
    std::ignore = send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(endAfter);
    if (end == RawEnd::Close)
        return;
    // What was sent has to arrive before the reset.
    usleep(PollMs * 1'000);
    const linger now{ 1, 0 };
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

/// Reads a request without regard to its body, which is short and arrives with the head.
bool RawEndpoint::readRequest(int connection)
{
    std::string request;
    std::array<char, 4'096> piece;
    while (!m_over && request.find("\r\n\r\n") == std::string::npos) {
        if (!isReadable(connection))
            continue;
        const ssize_t size = recv(connection, piece.data(), piece.size(), 0);
        if (size <= 0)
            return false;
        request.append(piece.data(), static_cast<size_t>(size));
    }
    const std::lock_guard lock(m_mutex);
    m_requestLines.push_back(request.substr(0, request.find("\r\n")));
    return !m_over;
}

size_t RawEndpoint::requestsWith(std::string_view start)
{
    const std::lock_guard lock(m_mutex);
    return static_cast<size_t>(
        std::count_if(m_requestLines.begin(), m_requestLines.end(),
                      [start](const std::string &line) { return line.starts_with(start); }));
}

void RawEndpoint::sendEndless(int connection, const std::string &start, const std::string &repeated,
                              size_t mostBytes)
{
    size_t sent = start.size();
    bool open = sendAll(connection, start);
    while (open && !m_over && sent < mostBytes) {
        open = sendAll(connection, repeated);
        sent += open ? repeated.size() : 0;
    }
    if (!open)
        ++m_cutAnswers;
    m_longestSent = std::max(m_longestSent.load(), sent);
}

bool RawEndpoint::sendAll(int connection, std::string_view bytes)
{
    while (!bytes.empty() && !m_over) {
        pollfd wanted{ connection, POLLOUT, 0 };
        if (poll(&wanted, 1, PollMs) <= 0)
            continue;
        const ssize_t size =
            send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (size < 0 && errno != EAGAIN)
            return false;
        bytes.remove_prefix(size < 0 ? 0 : static_cast<size_t>(size));
    }
    return true;
}

} // namespace stackquay
