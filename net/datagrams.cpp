#include "net/datagrams.h"

#include <array>

#include <boost/asio/buffer.hpp>
#include <fmt/format.h>

#include "net/thread_traffic.h"
#include "net/yield.h"

namespace stackquay {

namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

constexpr size_t ReceiveBytes = 4096;
constexpr Millis ReceiveRetryDelay{ 20 };

} // namespace

struct DatagramSocket::State {
    explicit State(FiberThread &thread)
        : m_thread(thread)
        , m_socket(thread.context())
    { }

    FiberThread &m_thread;
    udp::socket m_socket;
    Receiver m_receiver;

    void receiveLoop()
    {
        std::array<char, ReceiveBytes> buffer;
        for (;;) {
            udp::endpoint from;
            boost::system::error_code error;
            const size_t size =
                m_socket.async_receive_from(asio::buffer(buffer), from, Yield{ error });
            if (error == asio::error::operation_aborted || !m_socket.is_open())
                return;
            // A peer's closed port shows here as a refused connection.
            if (error) {
                if (!sleepFor(m_thread.context(), ReceiveRetryDelay))
                    return;
                continue;
            }
            threadTraffic().m_received += size;
            m_receiver(fromUdp(from), { buffer.data(), size });
        }
    }
};

DatagramSocket::DatagramSocket(FiberThread &thread)
    : m_state(std::make_shared<State>(thread))
{ }

DatagramSocket::~DatagramSocket() = default;

Result<Address> DatagramSocket::bind(const Address &address)
{
    const auto endpoint = toUdp(address);
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    boost::system::error_code error;
    udp::socket &socket = m_state->m_socket;
    if (socket.open(endpoint->protocol(), error) || socket.bind(*endpoint, error)
        || socket.non_blocking(true, error)) {
        return makeError(ErrorCode::Unavailable, fmt::format("cannot listen on {}: {}",
                                                             toString(address), error.message()));
    }
    return fromUdp(socket.local_endpoint());
}

void DatagramSocket::receive(Receiver receiver)
{
    m_state->m_receiver = std::move(receiver);
    m_state->m_thread.post([state = m_state] { state->receiveLoop(); });
}

Result<Address> DatagramSocket::listen(const Address &address, Receiver receiver)
{
    auto bound = bind(address);
    if (bound)
        receive(std::move(receiver));
    return bound;
}

bool DatagramSocket::send(const udp::endpoint &to, std::string_view bytes)
{
    boost::system::error_code error;
    m_state->m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, error);
    ThreadTraffic &traffic = threadTraffic();
    if (error) {
        ++traffic.m_datagramsLost;
        return false;
    }
    ++traffic.m_datagrams;
    traffic.m_datagramBytes += bytes.size();
    traffic.m_sent += bytes.size();
    return true;
}

} // namespace stackquay
