#include "tests/support/raw_exchange.h"

#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "net/fiber_socket.h"

namespace stackquay {

std::future<std::string> beginRawExchange(FiberThread &thread, const Address &address,
                                          const std::string &bytes)
{
    auto done = std::make_shared<std::promise<std::string>>();
    thread.post([&thread, done, bytes, address] {
        FiberSocket socket{ FiberSocket::Socket(thread.context()) };
        socket.expiresAfter(Seconds(10));
        std::string text;
        boost::system::error_code error = socket.connect(*toTcp(address));
        if (!error)
            boost::asio::write(socket, boost::asio::buffer(bytes), error);
        std::array<char, 1024> piece;
        while (!error) {
            const size_t size = socket.read_some(boost::asio::buffer(piece), error);
            text.append(piece.data(), size);
        }
        done->set_value(text);
    });
    return done->get_future();
}

} // namespace stackquay
