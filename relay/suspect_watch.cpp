#include "relay/suspect_watch.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <unordered_set>

namespace stackquay {

namespace {

/// Datagrams are lost: what condemns is told so often again, within the time in which a request
/// must be known everywhere. Other news say all ends so far, so that later ones make up for a loss.
constexpr std::array<Millis, 2> RepeatAfter{ Millis(150), Millis(450) };
/// A process that ends may close its connections some time before it stops to listen, as engines do
/// that write a dump. The later look is well within the time in which the end must be known.
constexpr std::array<Millis, 2> CheckAgainAfter{ Millis(20), Millis(150) };
/// Suspects of one end wait up to this long before they go on, each for itself, so that they hear
/// where the others go.
constexpr Millis LeastSpread{ 5 };
constexpr Millis MostSpread{ 35 };
/// Suspects in one datagram, which no network splits, and in all that a new VM is told.
constexpr size_t SuspectsTogether = 8;
constexpr size_t MostSuspectsTold = 64;
/// Of engines, those with the least work on which a suspect may run alone.
constexpr size_t QuietShare = 4;

std::vector<EndpointRecord> quietest(std::vector<EndpointRecord> pool, const EndpointUses &uses)
{
    const auto attempts = [&uses](const EndpointRecord &endpoint) {
        const auto use = uses.find(endpoint.m_id);
        return use == uses.end() ? 0u : use->second.m_attempts;
    };
    std::stable_sort(pool.begin(), pool.end(),
                     [&](const EndpointRecord &left, const EndpointRecord &right) {
                         return attempts(left) < attempts(right);
                     });
    pool.resize((pool.size() + QuietShare - 1) / QuietShare);
    return pool;
}

} // namespace

struct SuspectWatch::State : std::enable_shared_from_this<SuspectWatch::State> {
    State(FiberThread &thread, SuspectHooks hooks)
        : m_thread(thread)
        , m_hooks(std::move(hooks))
        , m_check(thread)
        , m_random(std::random_device{}())
    { }

    FiberThread &m_thread;
    SuspectHooks m_hooks;
    EndCheck m_check;
    RandomEngine m_random;
    SuspectTable m_table;

    void noteEnd(const Fingerprint &print, const EndpointRecord &endpoint);
    void spread();
    void checkAgain(const std::vector<EndpointRecord> &endpoints, const Fingerprint &print);
    bool noteIfEnded(const std::vector<EndpointRecord> &endpoints, const Fingerprint &print);
    void tell(LoadMessage message);
    void tellAgain(const LoadMessage &message);
    void pass(const LoadMessage &message);
    void logChange(const Fingerprint &print, SuspectChange change);
    void reportCondemned(bool seen);
    bool take(const std::vector<SuspectNews> &news);
};

void SuspectWatch::State::logChange(const Fingerprint &print, SuspectChange change)
{
    const auto suspect = m_table.m_suspects.find(print);
    if (suspect == m_table.m_suspects.end())
        return;
    DecisionLine("relay",
                 change == SuspectChange::Condemned ? "request condemned" : "request suspected")
        .text("print", toString(print))
        .number("ends", static_cast<int64_t>(suspect->second.m_ends.size()))
        .number("trials", suspect->second.m_trials)
        .number("suspects", static_cast<int64_t>(m_table.m_suspects.size()))
        .write();
}

void SuspectWatch::State::reportCondemned(bool seen)
{
    std::vector<SuspectNews> condemned = newsOf(m_table, MostSuspectsTold, Clock::now());
    std::erase_if(condemned,
                  [this](const SuspectNews &news) { return !isCondemned(m_table, news); });
    m_hooks.m_condemned(condemned, seen);
}

void SuspectWatch::State::noteEnd(const Fingerprint &print, const EndpointRecord &endpoint)
{
    const TimePoint now = Clock::now();
    DecisionLine("relay", "endpoint process ended")
        .text("endpoint", endpoint.m_id.str())
        .text("address", endpoint.m_address)
        .text("print", toString(print))
        .write();
    forgetOldSuspects(m_table, now);
    const SuspectChange change =
        stackquay::noteEnd(m_table, print, processName(endpoint.m_id, endpoint.m_startedMs), now);
    if (change == SuspectChange::None)
        return;
    logChange(print, change);
    const Suspect &suspect = m_table.m_suspects[print];
    LoadMessage message{ LoadChange::Suspected };
    message.m_suspects = { { print, suspect.m_ends, suspect.m_trials, 0 } };
    tell(message);
    if (change != SuspectChange::Condemned)
        return;
    tellAgain(message);
    reportCondemned(true);
}

void SuspectWatch::State::tell(LoadMessage message)
{
    message.m_cell = m_hooks.m_cell().m_cell;
    m_hooks.m_tellCell(message);
    m_hooks.m_tellOtherCells(message);
}

void SuspectWatch::State::tellAgain(const LoadMessage &message)
{
    spawnFiber([self = shared_from_this(), message] {
        for (const Millis after : RepeatAfter) {
            if (!sleepFor(self->m_thread.context(), after))
                return;
            self->tell(message);
        }
    });
}

/// News of another cell go to this one, and news of this cell to the others.
void SuspectWatch::State::pass(const LoadMessage &message)
{
    const uint32_t own = m_hooks.m_cell().m_cell;
    if (message.m_cell == own) {
        if (m_hooks.m_onDuty())
            m_hooks.m_tellOtherCells(message);
        return;
    }
    LoadMessage passed = message;
    passed.m_cell = own;
    m_hooks.m_tellCell(passed);
}

bool SuspectWatch::State::take(const std::vector<SuspectNews> &news)
{
    bool changed = false;
    bool condemned = false;
    for (const SuspectNews &one : news) {
        const SuspectChange change = joinNews(m_table, one, Clock::now());
        if (change == SuspectChange::None)
            continue;
        changed = true;
        condemned = condemned || change == SuspectChange::Condemned;
        logChange(one.m_print, change);
    }
    if (condemned)
        reportCondemned(false);
    return changed;
}

bool SuspectWatch::State::noteIfEnded(const std::vector<EndpointRecord> &endpoints,
                                      const Fingerprint &print)
{
    for (const EndpointRecord &endpoint : endpoints) {
        if (!m_check.hasEnded(endpoint))
            continue;
        noteEnd(print, endpoint);
        return true;
    }
    return false;
}

void SuspectWatch::State::checkAgain(const std::vector<EndpointRecord> &endpoints,
                                     const Fingerprint &print)
{
    for (const Millis after : CheckAgainAfter) {
        if (!sleepFor(m_thread.context(), after) || noteIfEnded(endpoints, print))
            return;
    }
}

void SuspectWatch::State::spread()
{
    std::uniform_int_distribution<Millis::rep> time(LeastSpread.count(), MostSpread.count());
    std::ignore = sleepFor(m_thread.context(), Millis(time(m_random)));
}

SuspectWatch::SuspectWatch(FiberThread &thread, SuspectHooks hooks)
    : m_state(std::make_shared<State>(thread, std::move(hooks)))
{ }

SuspectWatch::~SuspectWatch() = default;

bool SuspectWatch::empty() const
{
    return m_state->m_table.empty();
}

bool SuspectWatch::mayKnow(uint64_t outline) const
{
    return m_state->m_table.mayKnow(outline);
}

bool SuspectWatch::noteBroken(const std::vector<EndpointRecord> &endpoints,
                              const Fingerprint &print)
{
    const auto state = m_state;
    if (state->noteIfEnded(endpoints, print)) {
        state->spread();
        return true;
    }
    spawnFiber([state, endpoints, print] { state->checkAgain(endpoints, print); });
    return false;
}

void SuspectWatch::noteCompleted(const Fingerprint &print)
{
    SuspectTable &table = m_state->m_table;
    const auto suspect = table.m_suspects.find(print);
    if (suspect == table.m_suspects.end())
        return;
    LoadMessage message{ LoadChange::Cleared };
    message.m_prints = { print };
    message.m_suspects = { { print, suspect->second.m_ends, 0, 0 } };
    noteCleared(table, print, {}, Clock::now());
    DecisionLine("relay", "request cleared").text("print", toString(print)).write();
    m_state->tell(std::move(message));
}

SuspectVerdict SuspectWatch::judge(const Fingerprint &print, const LoadKey &own) const
{
    return stackquay::judge(m_state->m_table, print, own, Clock::now());
}

void SuspectWatch::beginTry(const Fingerprint &print, const LoadKey &key, Duration lifetime,
                            bool own)
{
    const TimePoint now = Clock::now();
    stackquay::beginTry(m_state->m_table, print, key, now + lifetime, now);
    const auto attempt = m_state->m_table.m_tries.find(key);
    // The fleet has to remember how many trials there were, also if all VMs end.
    if (own && attempt != m_state->m_table.m_tries.end() && attempt->second.m_trial)
        m_state->reportCondemned(true);
}

void SuspectWatch::endTry(const LoadKey &key)
{
    stackquay::endTry(m_state->m_table, key);
}

std::optional<Fingerprint> SuspectWatch::tried(const LoadKey &key) const
{
    const auto attempt = m_state->m_table.m_tries.find(key);
    if (attempt == m_state->m_table.m_tries.end())
        return std::nullopt;
    return attempt->second.m_print;
}

std::vector<EndpointRecord> SuspectWatch::placesFor(SuspectCare care,
                                                    std::vector<EndpointRecord> pool,
                                                    StreamLedger &ledger) const
{
    if (care == SuspectCare::None && m_state->m_table.m_tries.empty())
        return pool;
    std::unordered_set<EndpointId> taken;
    for (const auto &[key, attempt] : m_state->m_table.m_tries) {
        const auto load = ledger.loads().find(key);
        if (load == ledger.loads().end() || load->second.m_parts.empty())
            continue;
        const SuspectCare theirs = placementOf(m_state->m_table, attempt.m_print);
        if (care != SuspectCare::None || theirs == SuspectCare::Alone)
            taken.insert(load->second.m_parts.front().m_endpoint);
    }
    std::vector<EndpointRecord> free;
    for (const EndpointRecord &endpoint : pool) {
        if (taken.count(endpoint.m_id) == 0)
            free.push_back(endpoint);
    }
    if (free.empty())
        return pool;
    if (care != SuspectCare::Alone)
        return free;
    return quietest(std::move(free), ledger.uses(Clock::now()));
}

void SuspectWatch::receive(const LoadMessage &message)
{
    if (message.m_change == LoadChange::Suspected) {
        if (m_state->take(message.m_suspects))
            m_state->pass(message);
        return;
    }
    bool cleared = false;
    for (const SuspectNews &news : message.m_suspects)
        cleared = noteCleared(m_state->m_table, news.m_print, news.m_ends, Clock::now()) || cleared;
    // A VM of an earlier version tells no ends.
    for (const Fingerprint &print : message.m_prints)
        cleared = noteCleared(m_state->m_table, print, {}, Clock::now()) || cleared;
    if (cleared)
        m_state->pass(message);
}

void SuspectWatch::join(const std::vector<SuspectNews> &news)
{
    m_state->take(news);
}

std::vector<LoadMessage> SuspectWatch::all() const
{
    std::vector<LoadMessage> messages;
    const auto news = newsOf(m_state->m_table, MostSuspectsTold, Clock::now());
    for (size_t i = 0; i < news.size(); i += SuspectsTogether) {
        const size_t end = std::min(i + SuspectsTogether, news.size());
        LoadMessage message{ LoadChange::Suspected };
        message.m_suspects.assign(news.begin() + static_cast<ptrdiff_t>(i),
                                  news.begin() + static_cast<ptrdiff_t>(end));
        message.m_cell = m_state->m_hooks.m_cell().m_cell;
        messages.push_back(std::move(message));
    }
    return messages;
}

} // namespace stackquay
