#include "relay/load_exchange.h"

#include <algorithm>

#include "peers/codec.h"

namespace stackquay {

namespace {

/// Fits into one packet on all networks in use.
constexpr size_t MaxDatagramBytes = 1'200;
/// Maximum size of the array header; a datagram is an array of messages.
constexpr size_t ArrayHeaderBytes = 5;
/// Fields that every message has.
constexpr uint32_t MinFields = 2;
/// Limit for a new peer: about 250 streams, or about 30 long prompts whose prefill is shared by 17
/// engines. It bounds the traffic of a VM when many others start at once.
constexpr size_t MaxDatagramsPerPeer = 16;

/// Leaves out the last fields that have their default values, which are most of them: the decoder
/// sets fields that are missing to these.
std::string encodeLoad(const LoadMessage &message)
{
    static const msgpack::object_handle Defaults = [] {
        auto zone = std::make_unique<msgpack::zone>();
        const msgpack::object object(LoadMessage{}, *zone);
        return msgpack::object_handle(object, std::move(zone));
    }();
    msgpack::zone zone;
    msgpack::object object(message, zone);
    const msgpack::object_array &defaults = Defaults.get().via.array;
    msgpack::object_array &fields = object.via.array;
    while (fields.size > MinFields && fields.ptr[fields.size - 1] == defaults.ptr[fields.size - 1])
        --fields.size;
    return encodeMessage(object);
}

/// A datagram of encoded messages.
std::string joinMessages(const std::vector<std::string> &messages)
{
    msgpack::sbuffer header;
    msgpack::packer<msgpack::sbuffer>(header).pack_array(static_cast<uint32_t>(messages.size()));
    std::string datagram(header.data(), header.size());
    for (const std::string &message : messages)
        datagram += message;
    return datagram;
}

} // namespace

uint32_t messageMillis(Duration duration)
{
    const auto count = std::chrono::duration_cast<Millis>(duration).count();
    return static_cast<uint32_t>(std::max<Millis::rep>(count, 0));
}

std::vector<std::string> packLoads(const std::vector<LoadMessage> &messages)
{
    std::vector<std::string> datagrams;
    std::vector<std::string> batch;
    size_t size = ArrayHeaderBytes;
    for (const LoadMessage &message : messages) {
        std::string encoded = encodeLoad(message);
        if (!batch.empty() && size + encoded.size() > MaxDatagramBytes) {
            datagrams.push_back(joinMessages(batch));
            batch.clear();
            size = ArrayHeaderBytes;
        }
        if (datagrams.size() == MaxDatagramsPerPeer)
            return datagrams;
        size += encoded.size();
        batch.push_back(std::move(encoded));
    }
    if (!batch.empty())
        datagrams.push_back(joinMessages(batch));
    return datagrams;
}

struct LoadExchange::State {
    State(FiberThread &thread, Receiver receiver)
        : m_socket(thread)
        , m_receiver(std::move(receiver))
    { }

    DatagramSocket m_socket;
    Address m_address; ///< Bound by listen().
    Receiver m_receiver;
    std::vector<boost::asio::ip::udp::endpoint> m_peers;
    std::vector<boost::asio::ip::udp::endpoint> m_contacts;
    uint64_t m_malformed = 0; ///< Datagrams that could not be decoded.

    void send(const LoadMessage &message,
              const std::vector<boost::asio::ip::udp::endpoint> &receivers)
    {
        if (receivers.empty())
            return;
        const std::string bytes = joinMessages({ encodeLoad(message) });
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
    auto bound = m_state->m_socket.listen(address, [state = m_state.get()](const Address &from,
                                                                           auto bytes) {
        const auto messages = decodeMessage<std::vector<LoadMessage>>(bytes);
        if (messages) {
            for (const LoadMessage &message : *messages)
                state->m_receiver(message);
            return;
        }
        // Only the first one is logged: a faulty sender may send many.
        if (state->m_malformed++ == 0)
            log(LogPart::Peers).warn("Load message could not be decoded. from={}", toString(from));
    });
    if (bound)
        m_state->m_address = *bound;
    return bound;
}

Address LoadExchange::address() const
{
    return m_state->m_address;
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

void LoadExchange::sendTo(const Address &peer, const LoadMessage &message)
{
    sendAll(peer, { message });
}

void LoadExchange::sendAll(const Address &peer, const std::vector<LoadMessage> &messages)
{
    const auto endpoint = toUdp(peer);
    if (!endpoint)
        return;
    for (const std::string &datagram : packLoads(messages))
        m_state->m_socket.send(*endpoint, datagram);
}

} // namespace stackquay
