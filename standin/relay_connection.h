/// One relayed connection: bytes each way, with the faults of its target applied.
#pragma once

#include <array>
#include <deque>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include "standin/notifier.h"

namespace stackquay::standin {

enum class RelayMode {
    Pass,
    Cut, ///< Closes all connections and refuses new ones.
    Delay, ///< Bytes arrive later, each way.
    Reset, ///< Resets all connections, and new ones once they are accepted.
    HalfOpen, ///< Accepts connections and swallows the bytes.
    LoseAnswer, ///< Passes requests, and cuts when the first bytes of an answer come.
    Pause, ///< Holds bytes until another mode; nothing is lost.
    Silence, ///< Silences the open connections for good, without an end; new ones pass.
};

/// Which way HalfOpen swallows; the other way passes.
enum class RelayWay {
    Both,
    ToTarget,
    FromTarget,
};

struct RelayFault {
    RelayMode m_mode = RelayMode::Pass;
    Millis m_delay{ 0 }; ///< For Delay.
    int64_t m_count = 0; ///< Answers left to lose, for LoseAnswer; 0 is all.
    RelayWay m_way = RelayWay::Both; ///< For HalfOpen.
};

/// "pass", "half_open" and so on.
Result<RelayMode> parseRelayMode(std::string_view name);
std::string_view relayModeName(RelayMode mode);
/// "both", "to_target" or "from_target".
Result<RelayWay> parseRelayWay(std::string_view name);

/// What the connections of one target share.
struct RelayShared {
    Address m_target;
    RelayFault m_fault;
    uint64_t m_accepted = 0;
    uint64_t m_struck = 0;
    uint64_t m_bytesToTarget = 0;
    uint64_t m_bytesFromTarget = 0;
};

class RelayConnection : public std::enable_shared_from_this<RelayConnection>
{
public:
    RelayConnection(boost::asio::io_context &context, boost::asio::ip::tcp::socket client,
                    std::shared_ptr<RelayShared> shared);

    /// Connects to the target and relays until both ways have ended.
    void run();
    /// Takes note of a change of the fault.
    void faultChanged();
    /// From now on not even the acknowledgements of TCP leave it, whatever the mode.
    void silence();

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct Piece {
        TimePoint m_due;
        std::string m_bytes;
    };

    /// Bytes on their way from one socket to the other.
    struct Pipe {
        Socket &m_from;
        Socket &m_to;
        bool m_toTarget;
        uint64_t &m_counter;
        std::deque<Piece> m_pieces;
        size_t m_bytes = 0;
        bool m_ended = false; ///< The sender has closed its side.
        bool m_running = true;
    };

    bool connectTarget();
    void readLoop(Pipe &pipe);
    void writeLoop(Pipe &pipe);
    /// Whether the bytes that a pipe has read go on.
    bool passes(const Pipe &pipe);
    bool strikesAnswer(const Pipe &pipe);
    void enqueue(Pipe &pipe, std::string bytes);
    /// Waits until the first piece may go; false when there will be none.
    bool awaitPiece(Pipe &pipe);
    void strike();
    void close(bool reset);
    bool mode(RelayMode mode) const { return m_shared->m_fault.m_mode == mode; }

    boost::asio::io_context &m_context;
    Socket m_client;
    Socket m_server;
    std::shared_ptr<RelayShared> m_shared;
    Notifier m_changed;
    Pipe m_toTarget;
    Pipe m_fromTarget;
    bool m_closed = false;
    bool m_silent = false;
};

} // namespace stackquay::standin
