/// Datagrams of one UDP socket, for the fibers of one thread.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/ip/udp.hpp>

#include "net/address.h"
#include "net/fiber_thread.h"

namespace stackquay {

class DatagramSocket
{
public:
    using Receiver = std::function<void(const Address &from, std::string_view bytes)>;

    /// @p thread must outlive the socket, and be stopped before it is destroyed.
    explicit DatagramSocket(FiberThread &thread);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Binds, and tells the address. Port 0 takes one from the kernel.
    Result<Address> bind(const Address &address);
    /// Calls @p receiver for each datagram on the thread. Once, after bind().
    void receive(Receiver receiver);
    /// Both.
    Result<Address> listen(const Address &address, Receiver receiver);
    /// Does not wait: what the socket cannot take now is lost, as any datagram may be. On the
    /// thread. False if it was lost here.
    bool send(const boost::asio::ip::udp::endpoint &to, std::string_view bytes);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace stackquay
