/// Clients that keep to no limit, each on a raw connection of its own.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/net.h"

namespace stackquay::misuse {

/// How a client reads what comes back.
enum class Reading {
    All,
    Slowly, ///< Four kilobytes a second, through a small receive buffer.
    Nothing,
};

/// What each client of a crowd does on a connection.
struct ClientScript {
    std::string m_start; ///< Sent once.
    std::string m_repeated; ///< Sent again and again after it.
    size_t m_mostRepeated = 0; ///< Bytes of m_repeated on one connection; the last piece is cut.
    Reading m_reading = Reading::All;
    size_t m_connections = 1; ///< Opened one after the other, as the peer closes them.
    bool m_resets = false; ///< Resets each connection as soon as all is sent.
};

/// Runs its clients on one thread from the construction to the destruction, which closes their
/// connections.
class Crowd
{
public:
    Crowd(const Address &address, size_t clients, ClientScript script);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Waits until nothing was sent, opened or closed for @p quiet, for at most @p most.
    void awaitQuiet(Duration quiet, Duration most) const;
    size_t openConnections() const { return m_open; }
    uint64_t sentBytes() const { return m_sent; }
    /// Connections by the status of their first response; zero: they ended without one.
    std::map<unsigned, size_t> statuses() const;

private:
    struct Client;

    void run();
    void open(Client &client);
    void send(Client &client);
    void receive(Client &client, TimePoint now);
    void end(Client &client);
    void noteActivity();

    const Address m_address;
    const ClientScript m_script;
    std::vector<Client> m_clients;
    std::atomic<bool> m_over{ false };
    std::atomic<size_t> m_open{ 0 };
    std::atomic<uint64_t> m_sent{ 0 };
    std::atomic<TimePoint> m_activeAt;
    mutable std::mutex m_mutex;
    std::map<unsigned, size_t> m_statuses;
    std::thread m_thread;
};

} // namespace stackquay::misuse
