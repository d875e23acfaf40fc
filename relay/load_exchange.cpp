#include "relay/load_exchange.h"

#include "peers/codec.h"

namespace stackquay {

namespace {

/// Fits into a packet of any network in use.
constexpr size_t DatagramBytes = 1'200;
/// A datagram is an array of messages: the most that its head takes.
constexpr size_t ArrayHeadBytes = 5;
/// At most this is told to a new peer: some 250 streams, or some thirty long prompts that seventeen
/// engines each read. It bounds what a VM sends when many others start at once.
constexpr size_t MostDatagrams = 16;

} // namespace

std::vector<std::string> packLoads(const std::vector<LoadMessage> &messages)
{
    std::vector<std::string> datagrams;
    std::vector<LoadMessage> together;
    size_t size = ArrayHeadBytes;
    for (const LoadMessage &message : messages) {
        const size_t more = encodeMessage(message).size();
        if (!together.empty() && size + more > DatagramBytes) {
            datagrams.push_back(encodeMessage(together));
            together.clear();
            size = ArrayHeadBytes;
        }
        if (datagrams.size() == MostDatagrams)
            return datagrams;
        together.push_back(message);
        size += more;
    }
    if (!together.empty())
        datagrams.push_back(encodeMessage(together));
    return datagrams;
}

struct LoadExchange::State {
    State(FiberThread &thread, Receiver receiver)
        : m_socket(thread)
        , m_receiver(std::move(receiver))
    { }

    DatagramSocket m_socket;
    Receiver m_receiver;
    std::vector<boost::asio::ip::udp::endpoint> m_peers;
    std::vector<boost::asio::ip::udp::endpoint> m_contacts;
    uint64_t m_refused = 0; ///< Datagrams that were no message.

    void send(const LoadMessage &message,
              const std::vector<boost::asio::ip::udp::endpoint> &receivers)
    {
        if (receivers.empty())
            return;
        const std::string bytes = encodeMessage(std::vector<LoadMessage>{ message });
        for (const auto &receiver : receivers)
            m_socket.send(receiver, bytes);
    }
};

namespace {

std::vector<boost::asio::ip::udp::endpoint> toUdp(const std::vector<Address> &addresses)
{
    std::vector<boost::asio::ip::udp::endpoint> endpoints;
    for (const Address &address : addresses) {
        if (const auto endpoint = toUdp(address))
            endpoints.push_back(*endpoint);
    }
    return endpoints;
}

} // namespace

LoadExchange::LoadExchange(FiberThread &thread, Receiver receiver)
    : m_state(std::make_shared<State>(thread, std::move(receiver)))
{ }

LoadExchange::~LoadExchange() = default;

Result<Address> LoadExchange::listen(const Address &address)
{
    return m_state->m_socket.listen(
        address, [state = m_state.get()](const Address &from, auto bytes) {
            const auto messages = decodeMessage<std::vector<LoadMessage>>(bytes);
            if (messages) {
                for (const LoadMessage &message : *messages)
                    state->m_receiver(message);
                return;
            }
            // Whoever sends garbage may send a lot of it: the first says enough.
            if (state->m_refused++ == 0)
                log(LogPart::Peers).warn("Load message not understood. from={}", toString(from));
        });
}

void LoadExchange::setPeers(const std::vector<Address> &peers)
{
    m_state->m_peers = toUdp(peers);
}

void LoadExchange::setContacts(const std::vector<Address> &contacts)
{
    m_state->m_contacts = toUdp(contacts);
}

void LoadExchange::send(const LoadMessage &message)
{
    m_state->send(message, m_state->m_peers);
}

void LoadExchange::sendToContacts(const LoadMessage &message)
{
    m_state->send(message, m_state->m_contacts);
}

void LoadExchange::tell(const Address &peer, const std::vector<LoadMessage> &messages)
{
    const auto endpoint = toUdp(peer);
    if (!endpoint)
        return;
    for (const std::string &datagram : packLoads(messages))
        m_state->m_socket.send(*endpoint, datagram);
}

} // namespace stackquay
