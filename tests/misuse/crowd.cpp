#include "tests/misuse/crowd.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace stackquay::misuse {

namespace {

constexpr int PollMs = 20;
constexpr size_t PieceBytes = 64 * 1024;
constexpr int SlowReceiveBuffer = 4 * 1024;
constexpr size_t SlowReadBytes = 400;
constexpr Millis SlowReadPeriod{ 100 };
constexpr size_t StatusOffset = 9; ///< In "HTTP/1.1 200".
constexpr size_t StatusLength = 3;

unsigned statusIn(std::string_view response)
{
    unsigned status = 0;
    if (response.size() >= StatusOffset + StatusLength) {
        const char *start = response.data() + StatusOffset;
        std::from_chars(start, start + StatusLength, status);
    }
    return status;
}

} // namespace

struct Crowd::Client {
    int m_socket = -1;
    size_t m_startLeft = 0;
    size_t m_repeatedLeft = 0;
    size_t m_repeatedAt = 0; ///< Offset in the repeated text.
    size_t m_connectionsLeft = 0;
    std::string m_response; ///< Its first bytes.
    TimePoint m_readAt{};

    bool sends() const { return m_startLeft + m_repeatedLeft > 0; }
};

Crowd::Crowd(const Address &address, size_t clients, ClientScript script)
    : m_address(address)
    , m_script([&script] {
        const std::string unit = script.m_repeated;
        while (!unit.empty() && script.m_repeated.size() < PieceBytes)
            script.m_repeated += unit;
        return std::move(script);
    }())
    , m_clients(clients)
    , m_activeAt(Clock::now())
{
    for (Client &client : m_clients)
        client.m_connectionsLeft = m_script.m_connections;
    m_thread = std::thread([this] { run(); });
}

Crowd::~Crowd()
{
    m_over = true;
    m_thread.join();
    for (Client &client : m_clients) {
        if (client.m_socket >= 0)
            close(client.m_socket);
    }
}

void Crowd::awaitQuiet(Duration quiet, Duration most) const
{
    const TimePoint until = Clock::now() + most;
    while (Clock::now() < until && Clock::now() - m_activeAt.load() < quiet)
        std::this_thread::sleep_for(Millis(PollMs));
}

std::map<unsigned, size_t> Crowd::statuses() const
{
    const std::lock_guard lock(m_mutex);
    return m_statuses;
}

void Crowd::noteActivity()
{
    m_activeAt = Clock::now();
}

void Crowd::open(Client &client)
{
    --client.m_connectionsLeft;
    client.m_socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (client.m_socket < 0)
        return;
    if (m_script.m_reading != Reading::All)
        setsockopt(client.m_socket, SOL_SOCKET, SO_RCVBUF, &SlowReceiveBuffer,
                   sizeof(SlowReceiveBuffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_address.m_port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connect(client.m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    client.m_startLeft = m_script.m_start.size();
    client.m_repeatedLeft = m_script.m_mostRepeated;
    client.m_repeatedAt = 0;
    client.m_response.clear();
    ++m_open;
    noteActivity();
}

void Crowd::send(Client &client)
{
    std::string_view piece;
    if (client.m_startLeft > 0) {
        piece = m_script.m_start;
        piece.remove_prefix(piece.size() - client.m_startLeft);
    } else {
        piece = m_script.m_repeated;
        piece.remove_prefix(client.m_repeatedAt);
        piece = piece.substr(0, client.m_repeatedLeft);
    }
    const ssize_t sent =
        ::send(client.m_socket, piece.data(), piece.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
        if (errno != EAGAIN && errno != EINPROGRESS)
            end(client);
        return;
    }
    const auto size = static_cast<size_t>(sent);
    if (client.m_startLeft > 0) {
        client.m_startLeft -= size;
    } else {
        client.m_repeatedLeft -= size;
        client.m_repeatedAt = (client.m_repeatedAt + size) % m_script.m_repeated.size();
    }
    m_sent += size;
    noteActivity();
    if (!client.sends() && m_script.m_resets) {
        const linger now{ 1, 0 };
        setsockopt(client.m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        end(client);
    }
}

void Crowd::receive(Client &client, TimePoint now)
{
    std::array<char, 16 * 1024> piece;
    size_t most = piece.size();
    if (m_script.m_reading == Reading::Slowly) {
        if (now - client.m_readAt < SlowReadPeriod)
            return;
        client.m_readAt = now;
        most = SlowReadBytes;
    }
    const ssize_t size = recv(client.m_socket, piece.data(), most, MSG_DONTWAIT);
    if (size == 0 || (size < 0 && errno != EAGAIN)) {
        end(client);
        return;
    }
    if (size > 0 && client.m_response.size() < StatusOffset + StatusLength)
        client.m_response.append(piece.data(), static_cast<size_t>(size));
}

void Crowd::end(Client &client)
{
    close(client.m_socket);
    client.m_socket = -1;
    --m_open;
    noteActivity();
    const std::lock_guard lock(m_mutex);
    ++m_statuses[statusIn(client.m_response)];
}

void Crowd::run()
{
    std::vector<pollfd> sockets;
    std::vector<Client *> owners;
    while (!m_over) {
        sockets.clear();
        owners.clear();
        const TimePoint now = Clock::now();
        for (Client &client : m_clients) {
            if (client.m_socket < 0 && client.m_connectionsLeft > 0)
                open(client);
            if (client.m_socket < 0)
                continue;
            const bool reads = m_script.m_reading == Reading::All
                               || (m_script.m_reading == Reading::Slowly
                                   && now - client.m_readAt >= SlowReadPeriod);
            const int events = (reads ? POLLIN : 0) | (client.sends() ? POLLOUT : 0);
            sockets.push_back({ client.m_socket, static_cast<short>(events), 0 });
            owners.push_back(&client);
        }
        poll(sockets.data(), sockets.size(), PollMs);
        for (size_t i = 0; i < sockets.size(); ++i) {
            Client &client = *owners[i];
            const bool failed = (sockets[i].revents & (POLLERR | POLLHUP)) != 0;
            if ((sockets[i].revents & POLLIN) != 0 || failed)
                receive(client, Clock::now());
            if (client.m_socket >= 0 && (sockets[i].revents & POLLOUT) != 0)
                send(client);
        }
    }
}

} // namespace stackquay::misuse
