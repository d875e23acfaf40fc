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
    static const msgpack::object_handle defaultMessage = [] {
        auto zone = std::make_unique<msgpack::zone>();
        const msgpack::object object(LoadMessage{}, *zone);
        return msgpack::object_handle(object, std::move(zone));
    }();
    msgpack::zone zone;
    msgpack::object object(message, zone);
    const msgpack::object_array &defaults = defaultMessage.get().via.array;
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

namespace {

using Receivers = std::vector<boost::asio::ip::udp::endpoint>;

/// A datagram holds this twice, because a batch repeats the events of the one before, and the list
/// of the receivers.
constexpr size_t MaxBatchBytes = 400;

using IpBytes = boost::asio::ip::address_v4::bytes_type;
constexpr size_t EndpointBytes = std::tuple_size_v<IpBytes> + sizeof(uint16_t);

/// Appends the IPv4 address and the port, each with its most significant byte first.
void packEndpoint(const boost::asio::ip::udp::endpoint &endpoint, std::string &packed)
{
    constexpr unsigned ByteBits = 8;
    for (const auto byte : endpoint.address().to_v4().to_bytes())
        packed += static_cast<char>(byte);
    packed += static_cast<char>(endpoint.port() >> ByteBits);
    packed += static_cast<char>(endpoint.port());
}

Receivers unpackEndpoints(std::string_view packed)
{
    Receivers endpoints;
    for (; packed.size() >= EndpointBytes; packed.remove_prefix(EndpointBytes)) {
        const auto byte = [packed](size_t i) { return static_cast<unsigned char>(packed[i]); };
        constexpr unsigned ByteBits = 8;
        const IpBytes ip{ byte(0), byte(1), byte(2), byte(3) };
        const auto port = static_cast<uint16_t>(byte(4) << ByteBits | byte(5));
        endpoints.emplace_back(boost::asio::ip::address_v4(ip), port);
    }
    return endpoints;
}

/// Encoded messages of one datagram.
struct EncodedEvents {
    std::vector<std::string> m_events;
    size_t m_bytes = 0;

    void add(std::string event)
    {
        m_bytes += event.size();
        m_events.push_back(std::move(event));
    }
};

std::string encodeBatch(const LoadMessage &header, const EncodedEvents &repeats,
                        const EncodedEvents &events)
{
    std::vector<std::string> messages{ encodeLoad(header) };
    messages.insert(messages.end(), repeats.m_events.begin(), repeats.m_events.end());
    messages.insert(messages.end(), events.m_events.begin(), events.m_events.end());
    return joinMessages(messages);
}

} // namespace

struct LoadExchange::State : std::enable_shared_from_this<LoadExchange::State> {
    State(FiberThread &thread, uint64_t origin, Receiver receiver)
        : m_thread(thread)
        , m_origin(origin)
        , m_socket(thread)
        , m_receiver(std::move(receiver))
        , m_random(origin)
    { }

    FiberThread &m_thread;
    const uint64_t m_origin;
    DatagramSocket m_socket;
    Address m_address; ///< Bound by listen().
    Receiver m_receiver;
    Receivers m_peers;
    Receivers m_contacts;
    const AnnouncementSettings m_announcements;
    AnnouncementBudget m_budget{ m_announcements };
    ReceivedBatches m_received;
    RandomEngine m_random;
    EncodedEvents m_batch; ///< Not sent yet.
    EncodedEvents m_lastBatch; ///< Sent last; repeated with the next one.
    uint64_t m_batches = 0; ///< Batches sent.
    bool m_flushDue = false; ///< A fiber will send the batch.
    uint64_t m_malformed = 0; ///< Datagrams that could not be decoded.

    void announce(const LoadMessage &event);
    void flushLater();
    void flush();
    void receive(const Address &from, std::string_view bytes);
    void forward(const std::vector<LoadMessage> &batch);

    void send(const LoadMessage &message, const Receivers &receivers)
    {
        if (receivers.empty())
            return;
        const std::string bytes = joinMessages({ encodeLoad(message) });
        for (const auto &receiver : receivers)
            m_socket.send(receiver, bytes);
    }
};

namespace {

Receivers toUdp(const std::vector<Address> &addresses)
{
    Receivers endpoints;
    for (const Address &address : addresses) {
        const auto endpoint = toUdp(address);
        if (endpoint && endpoint->address().is_v4())
            endpoints.push_back(*endpoint);
    }
    return endpoints;
}

} // namespace

void LoadExchange::State::announce(const LoadMessage &event)
{
    if (!m_budget.countEvent(m_peers.size(), Clock::now())) {
        flush();
        // Repeated later, its events would undo those that are now sent by themselves.
        m_lastBatch = {};
        send(event, m_peers);
        return;
    }
    std::string encoded = encodeLoad(event);
    if (m_batch.m_bytes + encoded.size() > MaxBatchBytes)
        flush();
    m_batch.add(std::move(encoded));
    flushLater();
}

void LoadExchange::State::flushLater()
{
    if (std::exchange(m_flushDue, true))
        return;
    spawnFiber([self = shared_from_this()] {
        const bool waited = sleepFor(self->m_thread.context(), self->m_announcements.m_batchPeriod);
        self->m_flushDue = false;
        if (waited)
            self->flush();
    });
}

void LoadExchange::State::flush()
{
    if (m_batch.m_events.empty())
        return;
    LoadMessage header{ LoadEvent::Batch, { m_origin, ++m_batches } };
    // A single long event may fill the datagram.
    if (m_batch.m_bytes + m_lastBatch.m_bytes > 2 * MaxBatchBytes)
        m_lastBatch = {};
    header.m_repeats = static_cast<uint32_t>(m_lastBatch.m_events.size());
    for (const auto &group :
         drawForwardGroups(m_peers.size(), m_announcements.m_maxGroups, m_random)) {
        header.m_receivers.clear();
        for (size_t i = 1; i < group.size(); ++i)
            packEndpoint(m_peers[group[i]], header.m_receivers);
        m_socket.send(m_peers[group.front()], encodeBatch(header, m_lastBatch, m_batch));
    }
    m_lastBatch = std::exchange(m_batch, {});
}

void LoadExchange::State::receive(const Address &from, std::string_view bytes)
{
    const auto messages = decodeMessage<std::vector<LoadMessage>>(bytes);
    if (!messages) {
        // Only the first one is logged: a faulty sender may send many.
        if (m_malformed++ == 0)
            log(LogPart::Peers).warn("Load message could not be decoded. from={}", toString(from));
        return;
    }
    auto first = messages->begin();
    if (first != messages->end() && first->m_change == LoadEvent::Batch) {
        const LoadMessage &header = *first++;
        if (!header.m_receivers.empty())
            forward(*messages);
        const BatchPart part =
            m_received.receive({ header.m_key.m_origin, header.m_key.m_sequence });
        if (part == BatchPart::None)
            return;
        if (part == BatchPart::New)
            first += std::min<std::ptrdiff_t>(header.m_repeats, messages->end() - first);
    }
    for (; first != messages->end(); ++first)
        m_receiver(*first);
}

/// The receivers forward it no further.
void LoadExchange::State::forward(const std::vector<LoadMessage> &batch)
{
    LoadMessage header = batch.front();
    const Receivers receivers = unpackEndpoints(std::exchange(header.m_receivers, {}));
    std::vector<std::string> messages{ encodeLoad(header) };
    std::transform(batch.begin() + 1, batch.end(), std::back_inserter(messages), encodeLoad);
    const std::string bytes = joinMessages(messages);
    for (const auto &receiver : receivers)
        m_socket.send(receiver, bytes);
}

LoadExchange::LoadExchange(FiberThread &thread, uint64_t origin, Receiver receiver)
    : m_state(std::make_shared<State>(thread, origin, std::move(receiver)))
{ }

LoadExchange::~LoadExchange() = default;

Result<Address> LoadExchange::listen(const Address &address)
{
    auto bound = m_state->m_socket.listen(
        address, [state = m_state.get()](const Address &from, std::string_view bytes) {
            state->receive(from, bytes);
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

void LoadExchange::announce(const LoadMessage &event)
{
    m_state->announce(event);
}

void LoadExchange::forgetProcess(uint64_t origin)
{
    m_state->m_received.forget(origin);
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
