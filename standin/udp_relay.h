/// A UDP relay that injects faults: datagrams to one target, and its replies to each sender.
#pragma once

#include <map>

#include <boost/asio/ip/udp.hpp>

#include "standin/relay_connection.h"

namespace stackquay::standin {

/// Every mode but Pass and Delay loses datagrams: HalfOpen the ones of its way, LoseAnswer those
/// from the target, and the others all.
class UdpRelay : public std::enable_shared_from_this<UdpRelay>
{
public:
    UdpRelay(boost::asio::io_context &context, std::shared_ptr<RelayShared> shared);

    /// Binds; the address to use in the target's place.
    Result<Address> open(const Address &listen);
    /// Relays until the thread stops.
    void run();

private:
    using Endpoint = boost::asio::ip::udp::endpoint;
    using Socket = boost::asio::ip::udp::socket;

    /// The socket that stands for one sender towards the target.
    struct Flow {
        Endpoint m_sender;
        Socket m_socket;
    };

    std::shared_ptr<Flow> flowOf(const Endpoint &sender);
    void replyLoop(const std::shared_ptr<Flow> &flow);
    /// Sends now or after the delay, unless the fault loses the datagram.
    void forward(const std::shared_ptr<Flow> &flow, std::string bytes, bool toTarget);
    void send(Flow &flow, const std::string &bytes, bool toTarget);
    bool loses(bool toTarget) const;

    boost::asio::io_context &m_context;
    Socket m_socket;
    Endpoint m_target;
    std::shared_ptr<RelayShared> m_shared;
    std::map<Endpoint, std::shared_ptr<Flow>> m_flows;
};

} // namespace stackquay::standin
