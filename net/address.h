/// IPv4 addresses of peers and endpoints.
#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "core/core.h"

namespace stackquay {

struct Address {
    std::string m_host = "127.0.0.1"; ///< An IP number; names are not looked up.
    uint16_t m_port = 0;

    auto operator<=>(const Address &) const = default;
    MSGPACK_DEFINE(m_host, m_port)
};

/// Parses "a.b.c.d:port".
Result<Address> parseAddress(std::string_view text);
std::string toString(const Address &address);
Result<boost::asio::ip::tcp::endpoint> toTcp(const Address &address);
Result<boost::asio::ip::udp::endpoint> toUdp(const Address &address);
Address fromUdp(const boost::asio::ip::udp::endpoint &endpoint);

} // namespace stackquay
