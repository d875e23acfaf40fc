#include "peers/intent_relay.h"

#include <algorithm>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace stackquay {

struct IntentRelay::State : std::enable_shared_from_this<State> {
    State(FiberThread &thread, Membership &membership, PeerClient &client, IntentRelayHooks hooks,
          IntentRelayOptions options)
        : m_thread(thread)
        , m_membership(membership)
        , m_client(client)
        , m_hooks(std::move(hooks))
        , m_options(options)
        , m_random(stableHash(membership.list()->m_self.m_id.str()))
    { }

    FiberThread &m_thread;
    Membership &m_membership;
    PeerClient &m_client;
    IntentRelayHooks m_hooks;
    IntentRelayOptions m_options;
    RandomEngine m_random;
    RevisionHistory m_history;
    std::atomic<uint64_t> m_revision{ 0 };
    std::atomic<bool> m_ready{ false };
    bool m_applying = false;
    /// Highest revision offered while another is being applied.
    std::optional<RevisionText> m_pendingOffer;
    bool m_pulling = false;
    bool m_watching = false;

    Status offer(RevisionText text);
    Result<RevisionSteps> answer(const RevisionFetch &request) const;
    RevisionSpread spread(uint64_t revision);

    void loadAtStart();
    void watchLoop();
    void pull();
    bool pullOnce();
    std::vector<VmInfo> sources() const;
};

Status IntentRelay::State::offer(RevisionText text)
{
    if (text.m_revision <= m_history.present().m_revision) {
        m_ready = true;
        return {};
    }
    if (m_applying) {
        if (!m_pendingOffer || text.m_revision > m_pendingOffer->m_revision)
            m_pendingOffer = std::move(text);
        return {};
    }
    m_applying = true;
    const Status applied = m_hooks.m_apply(text);
    m_applying = false;
    if (applied) {
        const uint64_t revision = text.m_revision;
        m_history.advance(std::move(text));
        m_revision = revision;
        m_ready = true;
        m_membership.setIntentRevision(revision);
        log(LogPart::Peers).info("Revision in force. revision={}", revision);
    } else {
        log(LogPart::Peers)
            .error("Revision not applied. revision={} error={}", text.m_revision,
                   toString(applied.error()));
    }
    if (!m_pendingOffer)
        return applied;
    RevisionText next = std::move(*m_pendingOffer);
    m_pendingOffer.reset();
    return offer(std::move(next));
}

Result<RevisionSteps> IntentRelay::State::answer(const RevisionFetch &request) const
{
    if (m_history.present().m_revision <= request.m_afterRevision)
        return makeError(ErrorCode::NotFound, "no higher revision here");
    auto steps = m_history.stepsFrom(request.m_afterRevision);
    if (!steps)
        return tl::unexpected(steps.error());
    return RevisionSteps{ std::move(*steps) };
}

// Start and store.

void IntentRelay::State::loadAtStart()
{
    Duration wait = m_options.m_retry;
    while (!m_ready) {
        Result<RevisionText> text = m_hooks.m_load();
        if (text) {
            offer(std::move(*text));
            return;
        }
        log(LogPart::Peers)
            .warn("Intent not loaded from the store. error={}", toString(text.error()));
        if (!sleepFor(m_thread.context(), wait))
            return;
        wait = std::min<Duration>(wait * 2, m_options.m_retryMax);
    }
}

void IntentRelay::State::watchLoop()
{
    do {
        const MemberListPtr list = m_membership.list();
        const std::vector<VmInfo> watchers = storeWatchers(*list);
        const bool chosen = std::any_of(watchers.begin(), watchers.end(), [&](const VmInfo &vm) {
            return vm.m_id == list->m_self.m_id;
        });
        if (m_watching && !chosen)
            m_hooks.m_stopWatch();
        if (m_watching || !chosen)
            continue;
        m_watching = true;
        spawnFiber([self = shared_from_this()] {
            const auto take = [self](RevisionText text) { self->offer(std::move(text)); };
            self->m_hooks.m_watch(self->m_history.present().m_revision, take);
            self->m_watching = false;
        });
    } while (sleepFor(m_thread.context(), m_options.m_roleCheckInterval));
}

// Peers.

std::vector<VmInfo> IntentRelay::State::sources() const
{
    const MemberListPtr list = m_membership.list();
    std::vector<VmInfo> sources;
    for (const VmInfo &vm : list->m_vms) {
        if (vm.m_intentRevision > m_history.present().m_revision)
            sources.push_back(vm);
    }
    return sources;
}

bool IntentRelay::State::pullOnce()
{
    std::vector<VmInfo> candidates = sources();
    if (candidates.empty())
        return true;
    std::uniform_int_distribution<size_t> pick(0, candidates.size() - 1);
    const VmInfo &source = candidates[pick(m_random)];
    const RevisionFetch request{ m_history.present().m_revision };
    const auto reply =
        m_client.call<RevisionFetch>(source.m_peer, request, m_options.m_fetchTimeout);
    if (!reply)
        return false;
    if (m_history.present().m_revision != request.m_afterRevision)
        return true; // Another revision was applied in the meantime.
    Result<RevisionText> text = m_history.applySteps(reply->m_steps);
    if (text && text->m_revision <= request.m_afterRevision)
        text = makeError(ErrorCode::ProtocolError, "no higher revision in the reply");
    if (!text) {
        log(LogPart::Peers)
            .warn("Revision from a peer refused. vm={} error={}", source.m_id.str(),
                  toString(text.error()));
        return false;
    }
    return offer(std::move(*text)).has_value();
}

void IntentRelay::State::pull()
{
    Duration wait = m_options.m_retry;
    while (!sources().empty()) {
        if (pullOnce()) {
            wait = m_options.m_retry;
            continue;
        }
        if (!sleepFor(m_thread.context(), wait))
            break;
        wait = std::min<Duration>(wait * 2, m_options.m_retryMax);
    }
    m_pulling = false;
}

RevisionSpread IntentRelay::State::spread(uint64_t revision)
{
    /// Shared with the querying fibers, which may outlive the wait.
    struct PendingQueries {
        boost::fibers::mutex m_mutex;
        boost::fibers::condition_variable m_changed;
        size_t m_pending = 0;
        std::vector<VmId> m_behind;
    };
    const MemberListPtr list = m_membership.list();
    const auto queries = std::make_shared<PendingQueries>();
    RevisionSpread spread;
    for (const VmInfo &vm : list->m_vms) {
        ++spread.m_vms;
        const bool self = vm.m_id == list->m_self.m_id;
        const uint64_t known = self ? m_revision.load() : vm.m_intentRevision;
        if (known >= revision)
            continue;
        if (self) {
            spread.m_behind.push_back(vm.m_id);
            continue;
        }
        ++queries->m_pending;
        spawnFiber([self = shared_from_this(), queries, vm, revision] {
            const auto reply =
                self->m_client.call<RevisionQuery>(vm.m_peer, {}, self->m_options.m_queryTimeout);
            if (!reply || reply->m_revision < revision)
                queries->m_behind.push_back(vm.m_id);
            --queries->m_pending;
            queries->m_changed.notify_all();
        });
    }
    std::unique_lock lock(queries->m_mutex);
    queries->m_changed.wait(lock, [&] { return queries->m_pending == 0; });
    spread.m_behind.insert(spread.m_behind.end(), queries->m_behind.begin(),
                           queries->m_behind.end());
    std::sort(spread.m_behind.begin(), spread.m_behind.end());
    return spread;
}

IntentRelay::IntentRelay(FiberThread &thread, Membership &membership, PeerServer &server,
                         PeerClient &client, IntentRelayHooks hooks, IntentRelayOptions options)
    : m_state(std::make_shared<State>(thread, membership, client, std::move(hooks), options))
{
    server.handle<RevisionFetch>(
        [state = m_state](const RevisionFetch &request) { return state->answer(request); });
    server.handle<RevisionQuery>([state = m_state](const RevisionQuery &) {
        return Result<RevisionInForce>(RevisionInForce{ state->m_revision });
    });
    server.handle<RevisionSpreadQuery>([state = m_state](const RevisionSpreadQuery &request) {
        return Result<RevisionSpread>(state->spread(request.m_revision));
    });
}

IntentRelay::~IntentRelay() = default;

void IntentRelay::start()
{
    m_state->m_thread.post([state = m_state] { state->loadAtStart(); });
    m_state->m_thread.post([state = m_state] { state->watchLoop(); });
}

void IntentRelay::membersChanged(const MemberListPtr &list)
{
    if (m_state->m_pulling || list->m_highestRevision <= m_state->m_revision)
        return;
    m_state->m_pulling = true;
    spawnFiber([state = m_state] { state->pull(); });
}

Status IntentRelay::offer(RevisionText text)
{
    return m_state->offer(std::move(text));
}

bool IntentRelay::ready() const
{
    return m_state->m_ready;
}

uint64_t IntentRelay::revision() const
{
    return m_state->m_revision;
}

const RevisionText &IntentRelay::present() const
{
    return m_state->m_history.present();
}

RevisionSpread IntentRelay::spread(uint64_t revision)
{
    return m_state->spread(revision);
}

} // namespace stackquay
