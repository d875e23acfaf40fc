#include "tests/support/loopback_ports.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <unistd.h>

namespace stackquay {

uint16_t firstTestPort()
{
    constexpr int Low = 10'000;
    constexpr int Range = 20'000;
    constexpr int Step = 64;
    return static_cast<uint16_t>(Low + getpid() * Step % Range);
}

bool isFreePort(uint16_t port)
{
    boost::asio::io_context context;
    boost::system::error_code error;
    using tcp = boost::asio::ip::tcp;
    tcp::acceptor acceptor(context);
    acceptor.open(tcp::v4(), error);
    acceptor.bind({ boost::asio::ip::address_v4::loopback(), port }, error);
    return !error;
}

uint16_t findFreePorts(uint16_t from, uint16_t count)
{
    uint16_t free = 0;
    for (; free < count; ++from)
        free = isFreePort(from) ? free + 1 : 0;
    return from - count;
}

} // namespace stackquay
