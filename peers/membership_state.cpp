#include "peers/membership_state.h"

#include <algorithm>
#include <cmath>

#include "peers/codec.h"

namespace stackquay {

namespace {

constexpr uint32_t TransmissionsPerDecade = 4;
constexpr size_t PageBytes = 900; ///< Leaves space in the datagram for the other fields.
constexpr size_t SmallGroup = 10;

uint32_t groupOf(const DataCentreId &dataCentre)
{
    return static_cast<uint32_t>(stableHash(dataCentre.str()));
}

bool isValid(const VmInfo &vm, const DataCentreId &dataCentre)
{
    return !vm.m_id.empty() && vm.m_dataCentre == dataCentre && vm.m_state <= VmState::Dead;
}

/// A pulled list may be outdated, so the deaths in it are treated as suspicions.
VmInfo deathAsSuspicion(VmInfo report)
{
    if (report.m_state == VmState::Dead)
        report.m_state = VmState::Suspect;
    return report;
}

} // namespace

MembershipState::MembershipState(VmInfo self, MembershipOptions options, uint64_t seed,
                                 TimePoint now)
    : m_options(options)
    , m_table(self)
    , m_random(seed)
    , m_group(groupOf(self.m_dataCentre))
    , m_lastTick(now)
    , m_nextProbe(now)
    , m_nextPush(now)
    , m_nextSync(now)
    , m_lastChange(now)
{
    m_rumors.add(self.m_id);
}

MemberList MembershipState::list() const
{
    MemberList list;
    list.m_version = m_table.version();
    list.m_self = m_table.self();
    for (const auto &[id, member] : m_table.members()) {
        if (member.m_info.m_state == VmState::Dead)
            continue;
        list.m_vms.push_back(member.m_info);
        list.m_highestRevision = std::max(list.m_highestRevision, member.m_info.m_intentRevision);
    }
    for (const auto &[key, held] : m_table.notices())
        list.m_notices.push_back(held.m_notice);
    return list;
}

// Sending.

MembershipMessage MembershipState::newMessage(MembershipKind kind) const
{
    const VmInfo &self = m_table.self();
    MembershipMessage message;
    message.m_kind = kind;
    message.m_group = m_group;
    message.m_sender = self.m_id;
    message.m_incarnation = self.m_incarnation;
    message.m_refutation = self.m_refutation;
    message.m_state = self.m_state;
    message.m_intentRevision = self.m_intentRevision;
    message.m_digest = m_table.digest();
    return message;
}

void MembershipState::send(Outbox &outbox, const Address &to, MembershipMessage message)
{
    outbox.push_back({ to, std::move(message) });
}

void MembershipState::appendAccusation(MembershipMessage &message, const VmId &id) const
{
    const Member *member = m_table.find(id);
    if (!member)
        return;
    const VmState state = member->m_info.m_state;
    if (state == VmState::Suspect || state == VmState::Dead)
        message.m_members.push_back(member->m_info);
}

void MembershipState::ping(Outbox &outbox, const VmInfo &target, TimePoint now)
{
    MembershipMessage message = newMessage(MembershipKind::Ping);
    message.m_sequence = ++m_lastSequence;
    message.m_target = target.m_id;
    m_probes[message.m_sequence] = Probe{ target.m_id, now, false };
    appendAccusation(message, target.m_id);
    m_rumors.fill(message, m_table, m_options.m_piggybackBytes, transmissionLimit());
    send(outbox, target.m_udp, std::move(message));
}

void MembershipState::push(Outbox &outbox, TimePoint now)
{
    if (now < m_nextPush) {
        m_pushPending = true;
        return;
    }
    m_pushPending = false;
    m_nextPush = now + m_options.m_pushPeriod;
    for (const VmInfo &target : randomOthers(m_options.m_pushFanout, m_table.self().m_id))
        ping(outbox, target, now);
}

// Time.

Outbox MembershipState::tick(TimePoint now)
{
    Outbox outbox;
    handlePause(now);
    m_lastTick = now;
    checkProbes(outbox, now);
    checkSuspects(now);
    m_table.forget(now, m_options.m_deadRetention, m_options.m_noticeRetention);
    if (m_pushPending)
        push(outbox, now);
    if (now >= m_nextProbe) {
        m_nextProbe = std::max(m_nextProbe + m_options.m_probePeriod, now);
        probeNext(outbox, now);
    }
    return outbox;
}

void MembershipState::handlePause(TimePoint now)
{
    const Duration gap = now - m_lastTick;
    if (gap <= m_options.m_pauseThreshold)
        return;
    m_probes.clear();
    m_forwardedPings.clear();
    m_nextProbe = now;
    for (auto &[id, member] : m_table.members()) {
        if (member.m_suspectUntil)
            *member.m_suspectUntil += gap;
    }
}

void MembershipState::checkProbes(Outbox &outbox, TimePoint now)
{
    std::erase_if(m_forwardedPings, [&](const auto &entry) {
        return now - entry.second.m_sent > m_options.m_indirectTimeout;
    });
    for (auto probe = m_probes.begin(); probe != m_probes.end();) {
        const Duration age = now - probe->second.m_sent;
        const VmId target = probe->second.m_target;
        if (age >= m_options.m_indirectTimeout) {
            probe = m_probes.erase(probe);
            suspectAndPing(outbox, target, now);
            continue;
        }
        if (age >= m_options.m_probeTimeout && !probe->second.m_indirect) {
            probe->second.m_indirect = true;
            const Member *member = m_table.find(target);
            for (const VmInfo &helper : randomOthers(m_options.m_indirectProbes, target)) {
                if (!member)
                    break;
                MembershipMessage message = newMessage(MembershipKind::ProbeRequest);
                message.m_sequence = probe->first;
                message.m_target = target;
                message.m_targetUdp = member->m_info.m_udp;
                send(outbox, helper.m_udp, std::move(message));
            }
        }
        ++probe;
    }
}

void MembershipState::suspectAndPing(Outbox &outbox, const VmId &id, TimePoint now)
{
    if (!m_table.suspect(id, now + suspicion()))
        return;
    recordChange(id, now);
    MembershipMessage message = newMessage(MembershipKind::Ping);
    message.m_sequence = ++m_lastSequence;
    message.m_target = id;
    appendAccusation(message, id);
    send(outbox, m_table.find(id)->m_info.m_udp, std::move(message));
}

void MembershipState::checkSuspects(TimePoint now)
{
    std::vector<VmId> dead;
    for (const auto &[id, member] : m_table.members()) {
        if (member.m_suspectUntil && now >= *member.m_suspectUntil)
            dead.push_back(id);
    }
    for (const VmId &id : dead) {
        m_table.declareDead(id, now);
        recordChange(id, now);
    }
}

void MembershipState::probeNext(Outbox &outbox, TimePoint now)
{
    ++m_probeCount;
    const bool alone = m_table.aliveCount() == 1;
    if ((alone || m_probeCount % m_options.m_probesPerReconnect == 0) && reconnect(outbox))
        return;
    const std::optional<VmId> target = nextTarget();
    if (target)
        ping(outbox, m_table.find(*target)->m_info, now);
}

std::optional<VmId> MembershipState::nextTarget()
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!m_round.empty()) {
            const VmId id = m_round.back();
            m_round.pop_back();
            const Member *member = m_table.find(id);
            if (member && member->m_info.m_state != VmState::Dead)
                return id;
        }
        for (const auto &[id, member] : m_table.members()) {
            if (id != m_table.self().m_id && member.m_info.m_state != VmState::Dead)
                m_round.push_back(id);
        }
        std::shuffle(m_round.begin(), m_round.end(), m_random);
    }
    return std::nullopt;
}

std::vector<VmInfo> MembershipState::randomOthers(size_t count, const VmId &except)
{
    std::vector<VmInfo> others;
    for (const auto &[id, member] : m_table.members()) {
        const bool usable = id != m_table.self().m_id && id != except && mayHoldRole(member.m_info);
        if (usable)
            others.push_back(member.m_info);
    }
    std::shuffle(others.begin(), others.end(), m_random);
    others.resize(std::min(count, others.size()));
    return others;
}

std::vector<Address> MembershipState::reconnectAddresses() const
{
    std::vector<Address> taken;
    std::vector<Address> addresses = m_seeds;
    for (const auto &[id, member] : m_table.members()) {
        const bool dead = member.m_info.m_state == VmState::Dead;
        (dead ? addresses : taken).push_back(member.m_info.m_udp);
    }
    std::erase_if(addresses, [&](const Address &address) {
        return std::find(taken.begin(), taken.end(), address) != taken.end();
    });
    return addresses;
}

bool MembershipState::reconnect(Outbox &outbox)
{
    const std::vector<Address> addresses = reconnectAddresses();
    if (addresses.empty())
        return false;
    std::uniform_int_distribution<size_t> pick(0, addresses.size() - 1);
    const Address &address = addresses[pick(m_random)];
    MembershipMessage message = newMessage(MembershipKind::Ping);
    message.m_sequence = ++m_lastSequence;
    for (const auto &[id, member] : m_table.members()) {
        if (member.m_info.m_udp == address)
            appendAccusation(message, id);
    }
    message.m_members.push_back(m_table.self());
    send(outbox, address, std::move(message));
    return true;
}

// Receiving.

Outbox MembershipState::receive(const Address &from, const MembershipMessage &message,
                                TimePoint now)
{
    Outbox outbox;
    const bool own = message.m_sender == m_table.self().m_id;
    if (message.m_group != m_group || message.m_state > VmState::Dead || own)
        return outbox;
    mergeReports(message, now);
    mergeSender(from, message, now);
    switch (message.m_kind) {
    case MembershipKind::Ping:
        sendAck(outbox, from, message);
        break;
    case MembershipKind::Ack:
        handleAck(outbox, message);
        break;
    case MembershipKind::ProbeRequest:
        forwardPing(outbox, from, message, now);
        break;
    case MembershipKind::SyncRequest:
        sendSyncPage(outbox, from, message);
        break;
    case MembershipKind::SyncPage:
        handleSyncPage(outbox, from, message);
        break;
    }
    pullIfDifferent(outbox, from, message, now);
    return outbox;
}

void MembershipState::mergeReports(const MembershipMessage &message, TimePoint now)
{
    const DataCentreId &dataCentre = m_table.self().m_dataCentre;
    const bool pulled = message.m_kind == MembershipKind::SyncPage;
    for (const VmInfo &report : message.m_members) {
        const bool oldDeath =
            pulled && report.m_state == VmState::Dead && !m_table.find(report.m_id);
        if (!isValid(report, dataCentre) || oldDeath)
            continue;
        if (!m_table.merge(pulled ? deathAsSuspicion(report) : report, now, suspicion()))
            continue;
        m_lastChange = now;
        // Entries of a pulled list are not passed on: other VMs that lack them pull them too.
        if (!pulled || report.m_state == VmState::Suspect || report.m_id == m_table.self().m_id)
            recordChange(report.m_id, now);
    }
    for (const EndpointNotice &notice : message.m_notices) {
        if (!m_table.merge(notice, now))
            continue;
        m_rumors.add(NoticeKey{ notice.m_endpoint, notice.m_kind });
        m_pushPending = true;
    }
}

void MembershipState::mergeSender(const Address &from, const MembershipMessage &message,
                                  TimePoint now)
{
    const Member *sender = m_table.find(message.m_sender);
    if (sender && sender->m_info.m_incarnation == message.m_incarnation) {
        VmInfo report = sender->m_info;
        report.m_refutation = message.m_refutation;
        report.m_state = message.m_state;
        if (m_table.merge(report, now, suspicion()))
            recordChange(report.m_id, now);
    }
    m_table.setRevision(message.m_sender, message.m_incarnation, message.m_intentRevision);
    // Another VM with the same address has been replaced by the sender.
    std::vector<VmId> replaced;
    for (const auto &[id, member] : m_table.members()) {
        const bool same = member.m_info.m_udp == from && id != message.m_sender;
        if (same && sender && sender->m_info.m_udp == from)
            replaced.push_back(id);
    }
    for (const VmId &id : replaced) {
        if (m_table.declareDead(id, now))
            recordChange(id, now);
    }
}

void MembershipState::handleAck(Outbox &outbox, const MembershipMessage &message)
{
    const VmId &answered = message.m_target.empty() ? message.m_sender : message.m_target;
    const auto forwarded = m_forwardedPings.find(message.m_sequence);
    if (forwarded != m_forwardedPings.end()) {
        MembershipMessage ack = newMessage(MembershipKind::Ack);
        ack.m_sequence = forwarded->second.m_sequence;
        ack.m_target = answered;
        send(outbox, forwarded->second.m_requester, std::move(ack));
        m_forwardedPings.erase(forwarded);
        return;
    }
    const auto probe = m_probes.find(message.m_sequence);
    if (probe == m_probes.end() || probe->second.m_target != answered)
        return;
    const auto member = m_table.members().find(answered);
    if (member != m_table.members().end() && member->second.m_info.m_state == VmState::Leaving)
        member->second.m_suspectUntil.reset();
    m_probes.erase(probe);
}

void MembershipState::sendAck(Outbox &outbox, const Address &from, const MembershipMessage &message)
{
    MembershipMessage ack = newMessage(MembershipKind::Ack);
    ack.m_sequence = message.m_sequence;
    appendAccusation(ack, message.m_sender);
    m_rumors.fill(ack, m_table, m_options.m_piggybackBytes, transmissionLimit());
    send(outbox, from, std::move(ack));
}

void MembershipState::forwardPing(Outbox &outbox, const Address &from,
                                  const MembershipMessage &message, TimePoint now)
{
    MembershipMessage ping = newMessage(MembershipKind::Ping);
    ping.m_sequence = ++m_lastSequence;
    ping.m_target = message.m_target;
    m_forwardedPings[ping.m_sequence] = ForwardedPing{ from, message.m_sequence, now };
    send(outbox, message.m_targetUdp, std::move(ping));
}

// Pulling the whole list.

void MembershipState::pullIfDifferent(Outbox &outbox, const Address &from,
                                      const MembershipMessage &message, TimePoint now)
{
    if (message.m_digest == m_table.digest() || now < m_nextSync)
        return;
    const bool unknownSender = !m_table.find(message.m_sender);
    if (!unknownSender && now - m_lastChange < m_options.m_settleTime)
        return;
    m_nextSync = now + m_options.m_syncPeriod;
    requestSyncPage(outbox, from, VmId());
}

void MembershipState::requestSyncPage(Outbox &outbox, const Address &from, const VmId &cursor)
{
    MembershipMessage request = newMessage(MembershipKind::SyncRequest);
    request.m_sequence = ++m_lastSequence;
    request.m_cursor = cursor;
    m_syncSequence = request.m_sequence;
    send(outbox, from, std::move(request));
}

void MembershipState::sendSyncPage(Outbox &outbox, const Address &from,
                                   const MembershipMessage &message)
{
    MembershipMessage page = newMessage(MembershipKind::SyncPage);
    page.m_sequence = message.m_sequence;
    size_t budget = PageBytes;
    auto next = m_table.members().upper_bound(message.m_cursor);
    for (; next != m_table.members().end(); ++next) {
        const size_t size = encodedSize(next->second.m_info);
        if (size > budget)
            break;
        budget -= size;
        page.m_members.push_back(next->second.m_info);
    }
    if (next != m_table.members().end() && !page.m_members.empty())
        page.m_cursor = page.m_members.back().m_id;
    for (const auto &[key, held] : m_table.notices()) {
        const size_t size = encodedSize(held.m_notice);
        if (!page.m_cursor.empty() || size > budget)
            break;
        budget -= size;
        page.m_notices.push_back(held.m_notice);
    }
    send(outbox, from, std::move(page));
}

void MembershipState::handleSyncPage(Outbox &outbox, const Address &from,
                                     const MembershipMessage &message)
{
    if (message.m_sequence != m_syncSequence)
        return;
    m_syncSequence = 0;
    if (!message.m_cursor.empty())
        requestSyncPage(outbox, from, message.m_cursor);
}

// Calls by the owner.

Outbox MembershipState::markLeaving(const VmId &id, TimePoint now)
{
    Outbox outbox;
    if (!m_table.markLeaving(id))
        return outbox;
    recordChange(id, now);
    push(outbox, now);
    return outbox;
}

Outbox MembershipState::setIntentRevision(uint64_t revision, TimePoint now)
{
    Outbox outbox;
    const VmInfo &self = m_table.self();
    if (m_table.setRevision(self.m_id, self.m_incarnation, revision))
        push(outbox, now);
    return outbox;
}

Outbox MembershipState::addNotice(const EndpointNotice &notice, TimePoint now)
{
    Outbox outbox;
    if (!m_table.merge(notice, now))
        return outbox;
    m_rumors.add(NoticeKey{ notice.m_endpoint, notice.m_kind });
    push(outbox, now);
    return outbox;
}

void MembershipState::recordChange(const VmId &id, TimePoint now)
{
    m_lastChange = now;
    m_rumors.add(id);
}

Duration MembershipState::suspicion() const
{
    const double count = static_cast<double>(std::max(m_table.aliveCount(), SmallGroup));
    const auto millis = static_cast<double>(m_options.m_suspicion.count()) * std::log10(count);
    return Millis(static_cast<int64_t>(millis));
}

uint32_t MembershipState::transmissionLimit() const
{
    const double decades = std::ceil(std::log10(m_table.aliveCount() + 1.0));
    return TransmissionsPerDecade * static_cast<uint32_t>(decades);
}

} // namespace stackquay
