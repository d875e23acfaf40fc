#include "standin/udp_relay.h"

#include <boost/asio/buffer.hpp>

namespace stackquay::standin {

namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

constexpr size_t DatagramBytes = 64 * 1024;

} // namespace

UdpRelay::UdpRelay(asio::io_context &context, std::shared_ptr<RelayShared> shared)
    : m_context(context)
    , m_socket(context)
    , m_shared(std::move(shared))
{ }

Result<Address> UdpRelay::open(const Address &listen)
{
    const auto endpoint = toUdp(listen);
    const auto target = toUdp(m_shared->m_target);
    if (!endpoint || !target)
        return tl::unexpected(endpoint ? target.error() : endpoint.error());
    m_target = *target;
    boost::system::error_code error;
    m_socket.open(endpoint->protocol(), error);
    if (!error)
        m_socket.bind(*endpoint, error);
    if (error)
        return makeError(ErrorCode::Unavailable, "cannot bind: " + error.message());
    return fromUdp(m_socket.local_endpoint());
}

void UdpRelay::run()
{
    std::string buffer(DatagramBytes, '\0');
    for (;;) {
        boost::system::error_code error;
        udp::endpoint sender;
        const size_t size =
            m_socket.async_receive_from(asio::buffer(buffer), sender, Yield{ error });
        if (error == asio::error::operation_aborted)
            return;
        if (error)
            continue;
        if (const auto flow = flowOf(sender))
            forward(flow, buffer.substr(0, size), true);
    }
}

std::shared_ptr<UdpRelay::Flow> UdpRelay::flowOf(const Endpoint &sender)
{
    auto &flow = m_flows[sender];
    if (flow)
        return flow;
    boost::system::error_code error;
    Socket socket(m_context);
    socket.open(udp::v4(), error);
    if (error)
        return nullptr;
    flow = std::make_shared<Flow>(Flow{ sender, std::move(socket) });
    // Bound before anything is sent, so that replies can be awaited.
    flow->m_socket.bind({ m_socket.local_endpoint().address(), 0 }, error);
    spawnFiber([self = shared_from_this(), flow = flow] { self->replyLoop(flow); });
    return flow;
}

void UdpRelay::replyLoop(const std::shared_ptr<Flow> &flow)
{
    std::string buffer(DatagramBytes, '\0');
    for (;;) {
        boost::system::error_code error;
        Endpoint from;
        const size_t size =
            flow->m_socket.async_receive_from(asio::buffer(buffer), from, Yield{ error });
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            forward(flow, buffer.substr(0, size), false);
    }
}

bool UdpRelay::loses(bool toTarget) const
{
    const RelayFault &fault = m_shared->m_fault;
    switch (fault.m_mode) {
    case RelayMode::Pass:
    case RelayMode::Delay:
        return false;
    case RelayMode::LoseAnswer:
        return !toTarget;
    case RelayMode::HalfOpen:
        return fault.m_way != (toTarget ? RelayWay::FromTarget : RelayWay::ToTarget);
    default:
        return true;
    }
}

void UdpRelay::forward(const std::shared_ptr<Flow> &flow, std::string bytes, bool toTarget)
{
    if (loses(toTarget)) {
        ++m_shared->m_struck;
        return;
    }
    if (m_shared->m_fault.m_mode != RelayMode::Delay)
        return send(*flow, bytes, toTarget);
    spawnFiber([self = shared_from_this(), flow, bytes = std::move(bytes), toTarget,
                delay = m_shared->m_fault.m_delay] {
        if (sleepFor(self->m_context, delay))
            self->send(*flow, bytes, toTarget);
    });
}

void UdpRelay::send(Flow &flow, const std::string &bytes, bool toTarget)
{
    boost::system::error_code ignored;
    Socket &socket = toTarget ? flow.m_socket : m_socket;
    socket.send_to(asio::buffer(bytes), toTarget ? m_target : flow.m_sender, 0, ignored);
    (toTarget ? m_shared->m_bytesToTarget : m_shared->m_bytesFromTarget) += bytes.size();
}

} // namespace stackquay::standin
