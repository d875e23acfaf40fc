/// Test stand-in of a model engine: continuous batching in model time. See docs/PROTOCOLS.md.
#pragma once

#include <future>
#include <set>

#include "standin/engine_batch.h"
#include "standin/engine_orders.h"
#include "standin/notifier.h"

namespace stackquay::standin {

struct EngineSettings {
    EngineLimits m_limits;
    Millis m_resume{ 2000 }; ///< How long a cut or ended stream can be resumed.
    Millis m_reportLag{ 0 }; ///< Of `GET /load`.
    Millis m_eventLag{ 0 }; ///< Of `GET /cache/events`.
    size_t m_eventGapEvery = 0; ///< Each such event is lost; 0 is none.
    size_t m_tokensPerFrame = 1; ///< At least, but for the last frame.
    bool m_checkFencing = false;
    Millis m_loadTime{ 0 }; ///< Of a model or an adapter.
    std::vector<std::string> m_models; ///< "NAME" or "NAME:VERSION"; none: serves every model.
};

enum class EngineFaultMode {
    Ok,
    Die, ///< Cuts all connections, loses all state, and cuts every new call.
    WrongAttempt, ///< The next frames name another attempt.
    SkipFrame, ///< The next token frames are left out.
    DuplicateFrame, ///< The next token frames come twice.
    CutAfter, ///< The next streams are cut once, after so many tokens; they can be resumed.
    Hang, ///< Takes connections, but neither answers nor computes.
    Refuse, ///< Every completion gets "not_run" with a reason.
    Drain, ///< Says that it is draining and refuses completions.
};

struct EngineFault {
    EngineFaultMode m_mode = EngineFaultMode::Ok;
    int64_t m_count = 1; ///< Frames or streams left to strike.
    size_t m_tokens = 0; ///< For CutAfter.
    std::string m_reason; ///< For Refuse.
};

/// "die", "cut_after" and so on.
Result<EngineFaultMode> parseEngineFaultMode(std::string_view name);

/// Serves on a FiberThread, which must be stopped before this is destroyed. The public methods,
/// but for listen(), are for other threads, while its thread runs.
///
/// Admin calls, which no fault touches: `POST /admin/fault` {"mode","count","tokens","reason"},
/// `GET /admin/stats`.
class EngineStandin
{
public:
    explicit EngineStandin(FiberThread &thread, EngineSettings settings = {});

    Result<Address> listen(const Address &address);

    void setFault(EngineFault fault);
    EngineStats stats();
    /// How often each attempt id began to run.
    std::map<std::string, uint64_t> executions();
    std::map<std::string, KvHandle> handles();

private:
    struct LoadSample {
        TimePoint m_at;
        size_t m_running = 0;
        size_t m_waiting = 0;
        size_t m_backlog = 0;
        size_t m_memoryUsed = 0;
    };
    /// A stream without connection, or an ended one; forgotten at a time unless taken over.
    struct Detached {
        AttemptPtr m_attempt;
        uint64_t m_connection = 0;
        TimePoint m_expiresAt;
    };
    /// One connection that sends an attempt's frames.
    struct Sender {
        HttpExchange &m_exchange;
        AttemptPtr m_attempt;
        uint64_t m_connection = 0;
        std::string m_attemptJson;
        size_t m_next = 0; ///< Index of the next token to send.
        std::shared_ptr<bool> m_hungUp;
    };
    enum class SendStep {
        Sent,
        Wait,
        Ended,
    };

    // engine_standin.cpp
    void stepLoop();
    bool pace(Duration time);
    void expiryLoop();
    TimePoint nextExpiry();
    void expire(TimePoint now);
    void applyFault(EngineFault fault);
    void sampleLoad();
    LoadSample reportedLoad();
    bool takeFault(EngineFaultMode mode);
    template<typename Function>
    auto ask(Function function);

    // engine_calls.cpp
    void handle(HttpExchange &exchange);
    bool awaitAnswering(HttpExchange &exchange);
    void handleAdmin(HttpExchange &exchange, std::string_view path);
    void handleGet(HttpExchange &exchange, std::string_view path);
    void handlePost(HttpExchange &exchange, std::string_view path);
    void handleCompletion(HttpExchange &exchange, const Json &body);
    std::string refusalReason(const Json &body) const;
    void refuse(HttpExchange &exchange, const std::string &reason);
    void handleCancel(HttpExchange &exchange, const Json &body);
    void handleResume(HttpExchange &exchange, const std::string &attempt);
    void handleLoad(HttpExchange &exchange);
    void handleEvents(HttpExchange &exchange);
    void handleOrder(HttpExchange &exchange, const Json &body);
    void handleState(HttpExchange &exchange);
    void handleListHandles(HttpExchange &exchange);
    void handleReserve(HttpExchange &exchange, const Json &body);
    void handleRelease(HttpExchange &exchange, const std::string &id);
    void handleExport(HttpExchange &exchange, const Json &body);
    void handleImport(HttpExchange &exchange);

    // engine_stream.cpp
    void stream(HttpExchange &exchange, const AttemptPtr &attempt, size_t from);
    void sendAll(Sender &sender, Notifier &notifier);
    SendStep sendNext(Sender &sender);
    bool connectionLost(const Sender &sender) const;
    Status sendTokens(Sender &sender, size_t to);
    void sendFinal(Sender &sender);
    size_t sendLimit(const Sender &sender) const;
    bool strikeCut(Sender &sender);
    std::string frameAttempt(const Sender &sender);
    void detach(const Sender &sender);

    FiberThread &m_thread;
    EngineSettings m_settings;
    HttpServer m_server;
    EngineBatch m_batch;
    EngineOrders m_orders;
    EngineFault m_fault;
    Notifier m_work; ///< Something to compute may have come.
    Notifier m_expiry; ///< Something that expires was added.
    Notifier m_faultChanged;
    std::set<Notifier *> m_senders;
    std::deque<Detached> m_detached;
    std::deque<LoadSample> m_loads; ///< Oldest first; the first is what is reported.
    TimePoint m_stepEnd{};
    uint64_t m_epoch = 0; ///< Grows when the engine dies.
};

template<typename Function>
auto EngineStandin::ask(Function function)
{
    std::promise<decltype(function())> answer;
    m_thread.post([&] { answer.set_value(function()); });
    return answer.get_future().get();
}

} // namespace stackquay::standin
