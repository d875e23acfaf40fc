#include "relay/load_exchange.h"

#include "peers/codec.h"

namespace stackquay {

struct LoadExchange::State {
    State(FiberThread &thread, Receiver receiver)
        : m_socket(thread)
        , m_receiver(std::move(receiver))
    { }

    DatagramSocket m_socket;
    Receiver m_receiver;
    std::vector<boost::asio::ip::udp::endpoint> m_peers;
    uint64_t m_refused = 0; ///< Datagrams that were no message.
};

LoadExchange::LoadExchange(FiberThread &thread, Receiver receiver)
    : m_state(std::make_shared<State>(thread, std::move(receiver)))
{ }

LoadExchange::~LoadExchange() = default;

Result<Address> LoadExchange::listen(const Address &address)
{
    return m_state->m_socket.listen(
        address, [state = m_state.get()](const Address &from, auto bytes) {
            const Result<LoadMessage> message = decodeMessage<LoadMessage>(bytes);
            if (message) {
                state->m_receiver(*message);
                return;
            }
            // Whoever sends garbage may send a lot of it: the first says enough.
            if (state->m_refused++ == 0)
                log(LogPart::Peers).warn("Load message not understood. from={}", toString(from));
        });
}

void LoadExchange::setPeers(const std::vector<Address> &peers)
{
    m_state->m_peers.clear();
    for (const Address &peer : peers) {
        if (const auto endpoint = toUdp(peer))
            m_state->m_peers.push_back(*endpoint);
    }
}

void LoadExchange::send(const LoadMessage &message)
{
    if (m_state->m_peers.empty())
        return;
    const std::string bytes = encodeMessage(message);
    for (const auto &peer : m_state->m_peers)
        m_state->m_socket.send(peer, bytes);
}

} // namespace stackquay
