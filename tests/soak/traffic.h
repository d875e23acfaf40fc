/// The clients of the soak: some open a connection for each request, others use the one they have
/// until it is closed on them.
#pragma once

#include <atomic>
#include <mutex>

#include "net/net.h"
#include "tests/soak/observations.h"
#include "tests/soak/schedule.h"

namespace stackquay::soak {

/// Where clients find a VM.
struct ClientsDoor {
    Address m_front;
    Address m_ready;
};

/// The key that is replaced now and then, as the operator hands it out.
struct KeyRing {
    std::string m_newest;
    std::string m_replaced; ///< Empty before the first change.
};

class TrafficSource
{
public:
    TrafficSource(const Schedule &schedule, std::vector<ClientsDoor> doors);
    ~TrafficSource();

    /// Begins to ask for readiness as a balancer does.
    void watchReadiness();
    bool allReady() const;
    /// Begins to send; times count from @p start.
    void start(TimePoint start);
    /// Long prompts end, so that memory can be seen to come back.
    void stopLong() { m_longs = false; }
    /// Sends nothing new, and waits for the answers.
    void finish(Duration patience);
    void setKeys(KeyRing keys);
    std::vector<SentRequest> takeRequests();
    size_t sentCount() const;

    /// The key that no configuration takes away.
    static constexpr const char *LastingKey = "key-of-one";

private:
    struct Rotation {
        std::atomic<bool> m_ready{ false };
        unsigned m_missed = 0;
    };

    void pollReadiness(size_t vm);
    void keepUsing(size_t vm, RandomEngine random);
    void openForEach(RandomEngine random);
    void hurry(size_t vm, RandomEngine random);
    bool pause(RandomEngine &random, Millis most, Millis least = Millis(0));
    /// Whether the connection can be used for another request.
    bool exchange(HttpConnection &connection, SentRequest request);
    SentRequest draw(size_t vm, RandomEngine &random);
    SentRequest drawShort(size_t vm, RandomEngine &random);
    void drawKey(SentRequest &request, RandomEngine &random);
    HttpRequest messageOf(const SentRequest &request) const;
    void readAnswer(HttpConnection &connection, SentRequest &request);
    Duration timeLeft(const SentRequest &request) const;
    Millis now() const;

    const Schedule m_schedule;
    const std::vector<ClientsDoor> m_doors;
    std::vector<std::unique_ptr<Rotation>> m_rotation;
    TimePoint m_start;
    std::atomic<bool> m_sending{ false };
    std::atomic<bool> m_longs{ true };
    std::atomic<size_t> m_open{ 0 };
    std::atomic<uint64_t> m_nextId{ 0 };
    mutable std::mutex m_mutex;
    KeyRing m_keys;
    std::vector<SentRequest> m_requests;
    FiberThread m_thread{ "clients" };
};

/// The work that a path of the soak's requests asks of the endpoint's stand-in.
struct PathWork {
    Millis m_delay{ 0 };
    uint32_t m_events = 0;
    Millis m_gap{ 0 };
};

/// The route of streams to the service that has one worker.
constexpr const char *SoleRoute = "sole";

std::string workPath(const std::string &route, const PathWork &work);
PathWork workOf(std::string_view path);

} // namespace stackquay::soak
