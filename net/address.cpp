#include "net/address.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

namespace stackquay {

namespace {

Result<boost::asio::ip::address> parseHost(const Address &address)
{
    boost::system::error_code error;
    const auto host = boost::asio::ip::make_address(address.m_host, error);
    // The name of an interface behind a percent sign may be any text.
    if (error || address.m_host.find('%') != std::string::npos)
        return makeError(ErrorCode::InvalidArgument,
                         fmt::format("'{}' is not an IP number", address.m_host));
    return host;
}

} // namespace

Result<Address> parseAddress(std::string_view text)
{
    const auto invalid = [&] {
        return makeError(ErrorCode::InvalidArgument,
                         fmt::format("'{}' is not an address of the form a.b.c.d:port", text));
    };
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalid();
    const std::string_view port = text.substr(colon + 1);
    Address address;
    address.m_host = std::string(text.substr(0, colon));
    const auto [end, error] =
        std::from_chars(port.data(), port.data() + port.size(), address.m_port);
    if (error != std::errc() || end != port.data() + port.size() || port.empty())
        return invalid();
    if (!parseHost(address))
        return invalid();
    return address;
}

std::string toString(const Address &address)
{
    return fmt::format("{}:{}", address.m_host, address.m_port);
}

Result<boost::asio::ip::tcp::endpoint> toTcp(const Address &address)
{
    return parseHost(address).map([&](const boost::asio::ip::address &host) {
        return boost::asio::ip::tcp::endpoint(host, address.m_port);
    });
}

Result<boost::asio::ip::udp::endpoint> toUdp(const Address &address)
{
    return parseHost(address).map([&](const boost::asio::ip::address &host) {
        return boost::asio::ip::udp::endpoint(host, address.m_port);
    });
}

Address fromUdp(const boost::asio::ip::udp::endpoint &endpoint)
{
    return Address{ endpoint.address().to_string(), endpoint.port() };
}

} // namespace stackquay
