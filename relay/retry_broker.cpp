#include "relay/retry_broker.h"

#include <algorithm>

namespace stackquay {

namespace {

/// A holder answers within a round trip in its data centre; a small one may be busy meanwhile.
constexpr Millis AnswerTimeout{ 120 };
constexpr Millis AnswerPoll{ 4 };
/// After a denial, attempts are not ended early in the hope for a retry for this long.
constexpr Millis DenialMemory{ 2'000 };

constexpr uint32_t MillisPerRetry = 1'000;

/// Rounds down, so that the holder does not count more than the VM has.
uint32_t toMillis(double retries)
{
    return static_cast<uint32_t>(std::max(retries, 0.0) * MillisPerRetry);
}

} // namespace

RetryBroker::RetryBroker(FiberThread &thread, uint64_t origin, LoadExchange &loads,
                         std::function<LoadKey()> nextKey)
    : m_thread(thread)
    , m_origin(origin)
    , m_loads(loads)
    , m_nextKey(std::move(nextKey))
{ }

void RetryBroker::setSettings(const RetryWindowSettings &settings)
{
    m_windows.m_settings = settings;
}

void RetryBroker::setHolders(const std::vector<RetryHolder> &holders)
{
    m_holders = holders;
    if (m_depositing || m_holders.empty())
        return;
    m_depositing = true;
    spawnFiber([this] {
        do {
            deposit();
        } while (sleepFor(m_thread.context(), RetryDepositPeriod));
    });
}

void RetryBroker::countArrival(const ServiceId &service, TimePoint now)
{
    ::stackquay::countArrival(m_windows, service, now);
}

const RetryHolder *RetryBroker::ownHolder() const
{
    if (m_holders.empty())
        return nullptr;
    // Stays with its holder while that lives, because a change costs the part for a window.
    const auto current =
        std::find_if(m_holders.begin(), m_holders.end(), [this](const RetryHolder &holder) {
            return holder.m_origin == m_depositor.m_holder;
        });
    if (current != m_holders.end())
        return &*current;
    return &m_holders[m_origin % m_holders.size()];
}

void RetryBroker::deposit()
{
    const TimePoint now = Clock::now();
    const RetryHolder *holder = ownHolder();
    // Alone, a VM uses its part itself.
    if (!holder || m_holders.size() < 2 || !poolsRetries(m_windows.m_settings)
        || !mayDeposit(m_depositor, m_windows, holder->m_origin, now))
        return;
    const RetryDeposit part = ownDeposit(m_windows, now);
    LoadMessage message{ LoadEvent::RetryDeposit, m_nextKey() };
    message.m_services = part.m_requests;
    message.m_slackMillis = toMillis(part.m_slackPart);
    message.m_replyTo = m_loads.address();
    if (holder->m_origin == m_origin)
        receive(message);
    else
        m_loads.sendTo(holder->m_loads, message);
}

bool RetryBroker::isPooled(TimePoint now) const
{
    return poolsRetries(m_windows.m_settings)
           && !ownsItsPart(m_depositor, m_windows.m_settings, now);
}

LoadMessage RetryBroker::poolState(const LoadMessage &deposit, TimePoint now)
{
    const RetryWindowSettings &settings = m_windows.m_settings;
    LoadMessage state{ LoadEvent::RetryPoolState, deposit.m_key };
    state.m_slackMillis = toMillis(remainingRetries(m_pool, settings, {}, now));
    for (const auto &[service, requests] : deposit.m_services) {
        const double remaining = remainingRetries(m_pool, settings, service, now);
        state.m_services[service] = static_cast<uint32_t>(std::max(remaining, 0.0));
    }
    return state;
}

bool RetryBroker::hasBudget(const ServiceId &service, RetryPurpose purpose)
{
    const TimePoint now = Clock::now();
    if (!isPooled(now))
        return hasRetryBudget(m_windows, service, now, purpose);
    if (now - m_deniedAt < DenialMemory || now - m_poolStateAt > RetryDepositTime)
        return false;
    const auto remaining = m_poolState.m_services.find(service);
    return remaining == m_poolState.m_services.end() ? m_poolState.m_slackMillis >= MillisPerRetry
                                                     : remaining->second >= 1;
}

bool RetryBroker::spend(const ServiceId &service, RetryPurpose purpose)
{
    const TimePoint now = Clock::now();
    if (!isPooled(now) && spendRetryBudget(m_windows, service, now, purpose))
        return true;
    if (!poolsRetries(m_windows.m_settings) || m_holders.size() < 2)
        return false;
    // The own holder first; it has the parts of about half of the VMs.
    std::vector<RetryHolder> order = m_holders;
    std::stable_partition(order.begin(), order.end(), [this](const RetryHolder &holder) {
        return holder.m_origin == m_depositor.m_holder;
    });
    for (const RetryHolder &holder : order) {
        if (ask(holder, service))
            return true;
    }
    m_deniedAt = Clock::now();
    return false;
}

bool RetryBroker::ask(const RetryHolder &holder, const ServiceId &service)
{
    const TimePoint begun = Clock::now();
    if (holder.m_origin == m_origin)
        return grantRetry(m_pool, m_windows.m_settings, service, begun);
    const LoadKey key = m_nextKey();
    LoadMessage message{ LoadEvent::RetryRequest, key };
    message.m_services[service] = 1;
    message.m_replyTo = m_loads.address();
    m_answers[key.m_sequence] = std::nullopt;
    m_loads.sendTo(holder.m_loads, message);
    while (!m_answers[key.m_sequence] && Clock::now() < begun + AnswerTimeout) {
        if (!sleepFor(m_thread.context(), AnswerPoll))
            break;
    }
    const std::optional<bool> answer = m_answers[key.m_sequence];
    m_answers.erase(key.m_sequence);
    DecisionLine("relay", "retry requested from a holder")
        .text("service", service.str())
        .text("holder", holder.m_vm.str())
        .flag("answered", answer.has_value())
        .flag("granted", answer.value_or(false))
        .number("ms", std::chrono::duration_cast<Millis>(Clock::now() - begun).count())
        .write();
    return answer.value_or(false);
}

void RetryBroker::receive(const LoadMessage &message)
{
    const TimePoint now = Clock::now();
    switch (message.m_change) {
    case LoadEvent::RetryDeposit:
        receiveDeposit(m_pool, message.m_key.m_origin,
                       { message.m_slackMillis / double(MillisPerRetry), message.m_services }, now);
        if (message.m_key.m_origin == m_origin)
            receive(poolState(message, now));
        else
            m_loads.sendTo(message.m_replyTo, poolState(message, now));
        return;
    case LoadEvent::RetryPoolState:
        if (message.m_key.m_origin != m_origin)
            return;
        m_poolState = message;
        m_poolStateAt = now;
        return;
    case LoadEvent::RetryRequest: {
        if (message.m_services.empty())
            return;
        const bool granted =
            grantRetry(m_pool, m_windows.m_settings, message.m_services.begin()->first, now);
        m_loads.sendTo(message.m_replyTo,
                       { granted ? LoadEvent::RetryGrant : LoadEvent::RetryDenial, message.m_key });
        return;
    }
    case LoadEvent::RetryGrant:
    case LoadEvent::RetryDenial: {
        const auto waiting = m_answers.find(message.m_key.m_sequence);
        if (waiting != m_answers.end() && message.m_key.m_origin == m_origin)
            waiting->second = message.m_change == LoadEvent::RetryGrant;
        return;
    }
    default:
        return;
    }
}

} // namespace stackquay
