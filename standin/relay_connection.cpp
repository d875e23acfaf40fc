#include "standin/relay_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <linux/filter.h>
#include <sys/socket.h>

namespace stackquay::standin {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr size_t ReadBytes = 64 * 1024;
/// Bytes held for one way before reading stops.
constexpr size_t PipeBytesLimit = 1024 * 1024;

struct ModeName {
    std::string_view m_name;
    RelayMode m_mode;
};

constexpr std::array ModeNames{
    ModeName{ "pass", RelayMode::Pass },          ModeName{ "cut", RelayMode::Cut },
    ModeName{ "delay", RelayMode::Delay },        ModeName{ "reset", RelayMode::Reset },
    ModeName{ "half_open", RelayMode::HalfOpen }, ModeName{ "lose_answer", RelayMode::LoseAnswer },
    ModeName{ "pause", RelayMode::Pause },        ModeName{ "silence", RelayMode::Silence },
};

struct WayName {
    std::string_view m_name;
    RelayWay m_way;
};

constexpr std::array WayNames{
    WayName{ "both", RelayWay::Both },
    WayName{ "to_target", RelayWay::ToTarget },
    WayName{ "from_target", RelayWay::FromTarget },
};

/// Makes the kernel drop whatever comes for @p socket, so that its peer hears nothing of it again.
void dropAllThatComes(tcp::socket &socket)
{
    sock_filter dropAll = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{ 1, &dropAll };
    if (::setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                     sizeof(program))
        != 0)
        log(LogPart::Standin).error("Cannot silence a connection. errno={}", errno);
}

} // namespace

Result<RelayMode> parseRelayMode(std::string_view name)
{
    for (const ModeName &mode : ModeNames) {
        if (mode.m_name == name)
            return mode.m_mode;
    }
    return makeError(ErrorCode::InvalidArgument, "unknown mode: " + std::string(name));
}

std::string_view relayModeName(RelayMode mode)
{
    for (const ModeName &name : ModeNames) {
        if (name.m_mode == mode)
            return name.m_name;
    }
    return "unknown";
}

Result<RelayWay> parseRelayWay(std::string_view name)
{
    for (const WayName &way : WayNames) {
        if (way.m_name == name)
            return way.m_way;
    }
    return makeError(ErrorCode::InvalidArgument, "unknown way: " + std::string(name));
}

RelayConnection::RelayConnection(asio::io_context &context, tcp::socket client,
                                 std::shared_ptr<RelayShared> shared)
    : m_context(context)
    , m_client(std::move(client))
    , m_server(context)
    , m_shared(std::move(shared))
    , m_changed(context)
    , m_toTarget{ m_client, m_server, true, m_shared->m_bytesToTarget, {}, 0, false, true }
    , m_fromTarget{ m_server, m_client, false, m_shared->m_bytesFromTarget, {}, 0, false, true }
{ }

void RelayConnection::run()
{
    faultChanged();
    if (m_closed || !connectTarget())
        return close(true);
    const auto self = shared_from_this();
    spawnFiber([self] { self->readLoop(self->m_fromTarget); });
    spawnFiber([self] { self->writeLoop(self->m_toTarget); });
    spawnFiber([self] { self->writeLoop(self->m_fromTarget); });
    readLoop(m_toTarget);
    while (m_toTarget.m_running || m_fromTarget.m_running) {
        if (!m_changed.wait())
            break;
    }
    close(false);
}

bool RelayConnection::connectTarget()
{
    const auto endpoint = toTcp(m_shared->m_target);
    if (!endpoint)
        return false;
    boost::system::error_code error;
    m_server.async_connect(*endpoint, Yield{ error });
    if (error)
        return false;
    m_client.set_option(tcp::no_delay(true), error);
    m_server.set_option(tcp::no_delay(true), error);
    return !m_closed;
}

void RelayConnection::faultChanged()
{
    if (mode(RelayMode::Cut) || mode(RelayMode::Reset))
        strike();
    m_changed.notifyAll();
}

void RelayConnection::silence()
{
    if (m_closed || m_silent)
        return;
    m_silent = true;
    ++m_shared->m_struck;
    for (tcp::socket *socket : { &m_client, &m_server }) {
        if (socket->is_open())
            dropAllThatComes(*socket);
    }
    m_changed.notifyAll();
}

void RelayConnection::strike()
{
    if (m_closed)
        return;
    ++m_shared->m_struck;
    close(true);
}

void RelayConnection::close(bool reset)
{
    if (m_closed)
        return;
    m_closed = true;
    for (tcp::socket *socket : { &m_client, &m_server }) {
        boost::system::error_code ignored;
        if (reset)
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
    m_changed.notifyAll();
}

void RelayConnection::readLoop(Pipe &pipe)
{
    std::string buffer(ReadBytes, '\0');
    while (!m_closed) {
        boost::system::error_code error;
        const size_t size = pipe.m_from.async_read_some(asio::buffer(buffer), Yield{ error });
        if (error && error != asio::error::eof)
            return close(true);
        if (error)
            break;
        if (strikesAnswer(pipe))
            return strike();
        if (!m_silent && passes(pipe))
            enqueue(pipe, buffer.substr(0, size));
        while (pipe.m_bytes > PipeBytesLimit && !m_closed) {
            if (!m_changed.wait())
                return;
        }
    }
    pipe.m_ended = true;
    m_changed.notifyAll();
}

bool RelayConnection::strikesAnswer(const Pipe &pipe)
{
    if (pipe.m_toTarget || !mode(RelayMode::LoseAnswer))
        return false;
    RelayFault &fault = m_shared->m_fault;
    if (fault.m_count > 0 && --fault.m_count == 0)
        fault = {};
    return true;
}

bool RelayConnection::passes(const Pipe &pipe)
{
    if (!mode(RelayMode::HalfOpen))
        return true;
    const RelayWay swallowed = m_shared->m_fault.m_way;
    return swallowed == (pipe.m_toTarget ? RelayWay::FromTarget : RelayWay::ToTarget);
}

void RelayConnection::enqueue(Pipe &pipe, std::string bytes)
{
    const Duration delay =
        mode(RelayMode::Delay) ? Duration(m_shared->m_fault.m_delay) : Duration::zero();
    pipe.m_bytes += bytes.size();
    pipe.m_pieces.push_back({ Clock::now() + delay, std::move(bytes) });
    m_changed.notifyAll();
}

bool RelayConnection::awaitPiece(Pipe &pipe)
{
    while (!m_closed) {
        if (m_silent) {
            if (!m_changed.wait())
                return false;
            continue;
        }
        const TimePoint now = Clock::now();
        const bool held = mode(RelayMode::Pause);
        if (!held && !pipe.m_pieces.empty() && pipe.m_pieces.front().m_due <= now)
            return true;
        // A swallowed connection isn't closed to the other side either.
        const bool swallowed = mode(RelayMode::HalfOpen) && !passes(pipe);
        if (pipe.m_pieces.empty() && pipe.m_ended && !held && !swallowed)
            return false;
        const bool timed = !held && !pipe.m_pieces.empty();
        if (!(timed ? m_changed.waitFor(pipe.m_pieces.front().m_due - now) : m_changed.wait()))
            return false;
    }
    return false;
}

void RelayConnection::writeLoop(Pipe &pipe)
{
    boost::system::error_code error;
    while (awaitPiece(pipe)) {
        const std::string bytes = std::move(pipe.m_pieces.front().m_bytes);
        pipe.m_pieces.pop_front();
        asio::async_write(pipe.m_to, asio::buffer(bytes), Yield{ error });
        if (error)
            break;
        pipe.m_counter += bytes.size();
        pipe.m_bytes -= bytes.size();
        m_changed.notifyAll();
    }
    if (error)
        close(true);
    else if (!m_closed)
        pipe.m_to.shutdown(tcp::socket::shutdown_send, error);
    pipe.m_running = false;
    m_changed.notifyAll();
}

} // namespace stackquay::standin
