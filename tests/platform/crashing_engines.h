/// Engines whose processes end shortly after they begin to run certain requests, and start again
/// as other processes.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"

namespace stackquay::platform {

/// All members may be used from any thread.
class CrashingEngines
{
public:
    using Predicate = std::function<bool(const HttpRequest &request)>;

    /// Engines of the service "model" in @p deployment. A process ends after each request for which
    /// @p crashes returns true.
    CrashingEngines(Deployment &deployment, Predicate crashes);
    ~CrashingEngines();
    CrashingEngines(const CrashingEngines &) = delete;
    CrashingEngines &operator=(const CrashingEngines &) = delete;

    void start(size_t engines);
    /// Stops the restarts. The engines that run stay until the destruction.
    void stop();
    /// Ends @p count running processes at once, without a request as their cause.
    void endTogether(size_t count);

    /// When requests that crash their engine began to run, in that order.
    std::vector<TimePoint> arrivals();
    /// When processes ended under such a request, in that order.
    std::vector<TimePoint> ends();

private:
    struct Engine {
        std::unique_ptr<HostedWorker> m_worker;
        std::string m_id;
        TimePoint m_endsAt = TimePoint::max();
    };

    void addEngine();
    void noteRun(const std::string &id);
    void reap();

    Deployment &m_deployment;
    const Predicate m_crashes;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<Engine> m_engines;
    std::deque<std::pair<TimePoint, std::string>> m_restarts;
    std::vector<TimePoint> m_arrivals;
    std::vector<TimePoint> m_ends;
    size_t m_started = 0;
    bool m_over = false;
    std::thread m_reaper;
};

} // namespace stackquay::platform
