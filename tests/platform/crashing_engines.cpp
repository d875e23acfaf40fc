#include "crashing_engines.h"

#include <algorithm>

namespace stackquay::platform {

namespace {

/// From the begin of the run to the end of the process.
constexpr Millis CrashAfter{ 20 };
constexpr Millis RestartAfter{ 1'000 };
constexpr Millis ReapPeriod{ 5 };

} // namespace

CrashingEngines::CrashingEngines(Deployment &deployment, Predicate crashes)
    : m_deployment(deployment)
    , m_crashes(std::move(crashes))
{ }

CrashingEngines::~CrashingEngines()
{
    stop();
}

void CrashingEngines::start(size_t engines)
{
    m_reaper = std::thread([this] { reap(); });
    for (size_t i = 0; i < engines; ++i)
        addEngine();
}

void CrashingEngines::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_over = true;
    }
    m_wake.notify_all();
    if (m_reaper.joinable())
        m_reaper.join();
}

void CrashingEngines::endTogether(size_t count)
{
    const std::lock_guard lock(m_mutex);
    for (Engine &engine : m_engines) {
        if (engine.m_worker && count > 0) {
            engine.m_endsAt = TimePoint{};
            --count;
        }
    }
    m_wake.notify_all();
}

std::vector<TimePoint> CrashingEngines::arrivals()
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
}

std::vector<TimePoint> CrashingEngines::ends()
{
    const std::lock_guard lock(m_mutex);
    return m_ends;
}

void CrashingEngines::addEngine()
{
    const std::string id = "engine-" + std::to_string(++m_started);
    auto worker = std::make_unique<HostedWorker>(id);
    (*worker)->setScript([this, id](const HttpRequest &request) {
        if (m_crashes(request))
            noteRun(id);
        return WorkerTask{ Millis(0), 8, Millis(20) };
    });
    m_deployment.describe(*worker, "model");
    const std::lock_guard lock(m_mutex);
    m_engines.push_back({ std::move(worker), id });
}

void CrashingEngines::noteRun(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    m_arrivals.push_back(Clock::now());
    for (Engine &engine : m_engines) {
        if (engine.m_id == id)
            engine.m_endsAt = std::min(engine.m_endsAt, Clock::now() + CrashAfter);
    }
    m_wake.notify_all();
}

/// Ends the processes that are due, and starts others in their place.
void CrashingEngines::reap()
{
    std::unique_lock lock(m_mutex);
    while (!m_over) {
        m_wake.wait_for(lock, ReapPeriod);
        const TimePoint now = Clock::now();
        for (Engine &engine : m_engines) {
            if (!engine.m_worker || engine.m_endsAt > now)
                continue;
            if (engine.m_endsAt != TimePoint{})
                m_ends.push_back(now);
            auto ended = std::move(engine.m_worker);
            m_restarts.push_back({ now + RestartAfter, engine.m_id });
            lock.unlock();
            ended.reset();
            lock.lock();
            break;
        }
        if (m_restarts.empty() || m_restarts.front().first > now)
            continue;
        const std::string id = m_restarts.front().second;
        m_restarts.pop_front();
        lock.unlock();
        m_deployment.m_store->remove("servers", id);
        addEngine();
        lock.lock();
    }
}

} // namespace stackquay::platform
