#include "peers/membership.h"

#include "net/datagrams.h"
#include "peers/codec.h"

namespace stackquay {

namespace {

constexpr int TicksPerProbe = 2;

} // namespace

struct Membership::Driver : std::enable_shared_from_this<Driver> {
    Driver(FiberThread &thread, VmInfo self, MembershipOptions options,
           std::shared_ptr<PeerTraffic> traffic)
        : m_thread(thread)
        , m_options(options)
        , m_traffic(std::move(traffic))
        , m_socket(thread)
        , m_self(std::move(self))
    { }

    FiberThread &m_thread;
    MembershipOptions m_options;
    std::shared_ptr<PeerTraffic> m_traffic;
    DatagramSocket m_socket;
    VmInfo m_self; ///< Used until start() creates m_state.
    std::optional<MembershipState> m_state;
    ChangeCallback m_callback;
    std::atomic<MemberListPtr> m_list;

    void tickLoop();
    void receive(const Address &from, std::string_view bytes);
    void send(const Outbox &outbox);
    void publishIfChanged();

    /// Runs @p function on the thread, sends what it returns and publishes the change.
    template<typename Function>
    void post(Function function)
    {
        m_thread.post([self = shared_from_this(), function = std::move(function)] {
            self->send(function(*self->m_state));
            self->publishIfChanged();
        });
    }
};

void Membership::Driver::receive(const Address &from, std::string_view bytes)
{
    ++m_traffic->m_datagramsIn;
    m_traffic->m_datagramBytesIn += bytes.size();
    const Result<MembershipMessage> message = decodeMessage<MembershipMessage>(bytes);
    if (!message || message->m_group != m_state->group()) {
        ++m_traffic->m_datagramsRejected;
        return;
    }
    send(m_state->receive(from, *message, Clock::now()));
}

void Membership::Driver::tickLoop()
{
    do {
        send(m_state->tick(Clock::now()));
        publishIfChanged();
    } while (sleepFor(m_thread.context(), m_options.m_probePeriod / TicksPerProbe));
}

void Membership::Driver::send(const Outbox &outbox)
{
    for (const OutgoingMessage &outgoing : outbox) {
        const std::string bytes = encodeMessage(outgoing.m_message);
        const auto to = toUdp(outgoing.m_to);
        if (!to || bytes.size() > MaxDatagramBytes) {
            log(LogPart::Peers)
                .warn("Datagram not sent. to={} bytes={}", toString(outgoing.m_to), bytes.size());
            continue;
        }
        if (!m_socket.send(*to, bytes))
            continue;
        ++m_traffic->m_datagramsOut;
        m_traffic->m_datagramBytesOut += bytes.size();
    }
}

void Membership::Driver::publishIfChanged()
{
    const MemberListPtr present = m_list.load();
    if (present->m_version == m_state->table().version())
        return;
    const auto list = std::make_shared<const MemberList>(m_state->list());
    m_list.store(list);
    if (m_callback)
        m_callback(list);
}

Membership::Membership(FiberThread &thread, VmInfo self, MembershipOptions options,
                       std::shared_ptr<PeerTraffic> traffic)
    : m_driver(
        std::make_shared<Driver>(thread, std::move(self), options,
                                 traffic ? std::move(traffic) : std::make_shared<PeerTraffic>()))
{
    auto list = std::make_shared<MemberList>();
    list->m_self = m_driver->m_self;
    list->m_vms.push_back(list->m_self);
    m_driver->m_list.store(std::move(list));
}

Membership::~Membership() = default;

void Membership::onChange(ChangeCallback callback)
{
    m_driver->m_callback = std::move(callback);
}

Result<Address> Membership::start(const Address &bind)
{
    const auto listening = m_driver->m_socket.bind(bind);
    if (!listening)
        return tl::unexpected(listening.error());
    Address bound = bind;
    bound.m_port = listening->m_port;
    VmInfo &self = m_driver->m_self;
    if (self.m_udp.m_port == 0)
        self.m_udp.m_port = bound.m_port;
    const uint64_t seed = stableHash(self.m_id.str(), self.m_incarnation);
    m_driver->m_state.emplace(self, m_driver->m_options, seed, Clock::now());
    m_driver->publishIfChanged();
    // The driver owns the socket, so a strong reference in the receiver would be a cycle.
    m_driver->m_socket.receive(
        [weak = std::weak_ptr(m_driver)](const Address &from, std::string_view bytes) {
            const auto driver = weak.lock();
            if (!driver)
                return;
            driver->receive(from, bytes);
            driver->publishIfChanged();
        });
    m_driver->m_thread.post([driver = m_driver] { driver->tickLoop(); });
    return bound;
}

MemberListPtr Membership::list() const
{
    return m_driver->m_list.load();
}

void Membership::setSeeds(std::vector<Address> seeds)
{
    m_driver->post([seeds = std::move(seeds)](MembershipState &state) {
        state.setSeeds(seeds);
        return Outbox();
    });
}

void Membership::markLeaving(const VmId &id)
{
    m_driver->post([id](MembershipState &state) { return state.markLeaving(id, Clock::now()); });
}

void Membership::leave()
{
    m_driver->post([](MembershipState &state) {
        const VmId self = state.table().self().m_id;
        return state.markLeaving(self, Clock::now());
    });
}

void Membership::setIntentRevision(uint64_t revision)
{
    m_driver->post([revision](MembershipState &state) {
        return state.setIntentRevision(revision, Clock::now());
    });
}

void Membership::addNotice(const EndpointNotice &notice)
{
    m_driver->post(
        [notice](MembershipState &state) { return state.addNotice(notice, Clock::now()); });
}

} // namespace stackquay
