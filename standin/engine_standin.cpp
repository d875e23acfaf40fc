#include "standin/engine_standin.h"

#include <array>

#include <boost/fiber/operations.hpp>

namespace stackquay::standin {

namespace {

/// A step that comes late may be made up for by at most this.
constexpr Millis StepDebtLimit{ 20 };
/// Samples of the load within this part of the lag are merged.
constexpr int LoadSamplesPerLag = 16;

struct ModeName {
    std::string_view m_name;
    EngineFaultMode m_mode;
};

constexpr std::array ModeNames{
    ModeName{ "ok", EngineFaultMode::Ok },
    ModeName{ "die", EngineFaultMode::Die },
    ModeName{ "wrong_attempt", EngineFaultMode::WrongAttempt },
    ModeName{ "skip_frame", EngineFaultMode::SkipFrame },
    ModeName{ "duplicate_frame", EngineFaultMode::DuplicateFrame },
    ModeName{ "cut_after", EngineFaultMode::CutAfter },
    ModeName{ "hang", EngineFaultMode::Hang },
    ModeName{ "refuse", EngineFaultMode::Refuse },
    ModeName{ "drain", EngineFaultMode::Drain },
};

EngineOrders initialOrders(const EngineSettings &settings)
{
    EngineOrders orders;
    orders.m_checkFencing = settings.m_checkFencing;
    orders.m_anyModel = settings.m_models.empty();
    for (const std::string &name : settings.m_models) {
        const size_t colon = name.find(':');
        LoadedModel model;
        model.m_model = name.substr(0, colon);
        if (colon != std::string::npos)
            model.m_version = name.substr(colon + 1);
        orders.m_models.push_back(std::move(model));
    }
    return orders;
}

} // namespace

Result<EngineFaultMode> parseEngineFaultMode(std::string_view name)
{
    for (const ModeName &mode : ModeNames) {
        if (mode.m_name == name)
            return mode.m_mode;
    }
    return makeError(ErrorCode::InvalidArgument, "unknown fault mode: " + std::string(name));
}

EngineStandin::EngineStandin(FiberThread &thread, EngineSettings settings)
    : m_thread(thread)
    , m_settings(std::move(settings))
    , m_server(thread, [this](HttpExchange &exchange) { handle(exchange); })
    , m_batch(m_settings.m_limits)
    , m_orders(initialOrders(m_settings))
    , m_work(thread.context())
    , m_expiry(thread.context())
    , m_faultChanged(thread.context())
{
    sampleLoad();
}

Result<Address> EngineStandin::listen(const Address &address)
{
    auto bound = m_server.listen(address);
    if (!bound)
        return bound;
    m_thread.post([this] { stepLoop(); });
    m_thread.post([this] { expiryLoop(); });
    return bound;
}

void EngineStandin::setFault(EngineFault fault)
{
    ask([&] {
        applyFault(std::move(fault));
        return true;
    });
}

EngineStats EngineStandin::stats()
{
    return ask([this] { return m_batch.stats(); });
}

std::map<std::string, uint64_t> EngineStandin::executions()
{
    return ask([this] { return m_batch.executions(); });
}

std::map<std::string, KvHandle> EngineStandin::handles()
{
    return ask([this] { return m_batch.memory().handles(); });
}

void EngineStandin::stepLoop()
{
    for (;;) {
        if (m_batch.idle() || m_fault.m_mode == EngineFaultMode::Hang) {
            if (!m_work.wait())
                return;
            m_stepEnd = Clock::now();
            continue;
        }
        const uint64_t epoch = m_epoch;
        const Duration time = m_batch.beginStep(Clock::now());
        if (!m_batch.stepHasWork()) {
            if (!m_work.wait())
                return;
            continue;
        }
        if (!pace(time))
            return;
        if (epoch != m_epoch)
            continue;
        m_batch.endStep(Clock::now());
        sampleLoad();
    }
}

bool EngineStandin::pace(Duration time)
{
    const TimePoint now = Clock::now();
    m_stepEnd = std::max<TimePoint>(m_stepEnd, now - StepDebtLimit) + time;
    if (m_stepEnd > now)
        return sleepFor(m_thread.context(), m_stepEnd - now);
    boost::this_fiber::yield();
    return !detail::YieldWait::threadStopping();
}

void EngineStandin::expiryLoop()
{
    for (;;) {
        const TimePoint next = nextExpiry();
        const bool running =
            next == TimePoint::max() ? m_expiry.wait() : m_expiry.waitFor(next - Clock::now());
        if (!running)
            return;
        expire(Clock::now());
    }
}

TimePoint EngineStandin::nextExpiry()
{
    TimePoint next = m_detached.empty() ? TimePoint::max() : m_detached.front().m_expiresAt;
    for (const auto &[id, handle] : m_batch.memory().handles())
        next = std::min(next, handle.m_expiresAt.value_or(TimePoint::max()));
    return next;
}

void EngineStandin::expire(TimePoint now)
{
    for (const std::string &id : m_batch.memory().expiredHandles(now))
        m_batch.removeHandle(id);
    while (!m_detached.empty() && m_detached.front().m_expiresAt <= now) {
        const Detached detached = m_detached.front();
        m_detached.pop_front();
        const std::string &id = detached.m_attempt->m_request.m_attempt;
        if (detached.m_attempt->m_connection != detached.m_connection)
            continue;
        if (m_batch.find(id) != detached.m_attempt)
            continue;
        m_batch.cancel(id);
        m_batch.forget(id);
    }
    sampleLoad();
    m_work.notifyAll();
}

void EngineStandin::applyFault(EngineFault fault)
{
    if (fault.m_mode == EngineFaultMode::Die) {
        ++m_epoch;
        m_batch.reset();
        m_detached.clear();
        m_orders = initialOrders(m_settings);
        m_loads.clear();
        sampleLoad();
    }
    m_fault = std::move(fault);
    m_faultChanged.notifyAll();
    m_work.notifyAll();
    for (Notifier *sender : m_senders)
        sender->notifyAll();
}

bool EngineStandin::takeFault(EngineFaultMode mode)
{
    if (m_fault.m_mode != mode || m_fault.m_count <= 0)
        return false;
    if (--m_fault.m_count == 0)
        m_fault.m_mode = EngineFaultMode::Ok;
    return true;
}

void EngineStandin::sampleLoad()
{
    const TimePoint now = Clock::now();
    const EngineStats stats = m_batch.stats();
    const LoadSample sample{ now, stats.m_running, stats.m_waiting, m_batch.prefillBacklog(),
                             stats.m_memoryUsed };
    const Duration merged = Duration(m_settings.m_reportLag) / LoadSamplesPerLag;
    if (m_loads.size() > 1 && now - m_loads.back().m_at < merged) {
        const TimePoint at = m_loads.back().m_at;
        m_loads.back() = sample;
        m_loads.back().m_at = at;
        return;
    }
    m_loads.push_back(sample);
    reportedLoad();
}

EngineStandin::LoadSample EngineStandin::reportedLoad()
{
    const TimePoint visible = Clock::now() - m_settings.m_reportLag;
    while (m_loads.size() > 1 && m_loads[1].m_at <= visible)
        m_loads.pop_front();
    return m_loads.front();
}

} // namespace stackquay::standin
