/// The frames of the engine stand-in's streams.
#include <algorithm>

#include <fmt/format.h>

#include "standin/engine_standin.h"

namespace stackquay::standin {

namespace {

/// Tokens of a frame, when the connection was behind.
constexpr size_t FrameTokensLimit = 128;
constexpr const char *CrossedAttempt = "crossed-attempt";

int64_t micros(Duration duration)
{
    return std::chrono::duration_cast<Micros>(duration).count();
}

} // namespace

void EngineStandin::stream(HttpExchange &exchange, const AttemptPtr &attempt, size_t from)
{
    Notifier notifier(m_thread.context());
    if (attempt->m_writer)
        attempt->m_writer->notifyAll();
    attempt->m_writer = &notifier;
    m_senders.insert(&notifier);
    const uint64_t connection = ++attempt->m_connection;
    const std::string name = Json(attempt->m_request.m_attempt).dump();
    Sender sender{ exchange, attempt, connection, name, from, std::make_shared<bool>(false) };
    exchange.onHangup([attempt, connection, hungUp = sender.m_hungUp] {
        *hungUp = true;
        if (attempt->m_connection == connection && attempt->m_writer)
            attempt->m_writer->notifyAll();
    });
    sendAll(sender, notifier);
    m_senders.erase(&notifier);
    if (attempt->m_writer == &notifier)
        attempt->m_writer = nullptr;
    detach(sender);
}

void EngineStandin::sendAll(Sender &sender, Notifier &notifier)
{
    HttpExchange &exchange = sender.m_exchange;
    if (!exchange.startStream(200, { { "Content-Type", "text/event-stream" } }))
        return exchange.abort();
    for (;;) {
        if (connectionLost(sender))
            return exchange.abort();
        const SendStep step =
            m_fault.m_mode == EngineFaultMode::Hang ? SendStep::Wait : sendNext(sender);
        if (step == SendStep::Ended)
            return;
        if (step == SendStep::Wait && !notifier.wait())
            return exchange.abort();
    }
}

bool EngineStandin::connectionLost(const Sender &sender) const
{
    return *sender.m_hungUp || sender.m_attempt->m_connection != sender.m_connection
           || sender.m_attempt->m_state == AttemptState::Cancelled;
}

EngineStandin::SendStep EngineStandin::sendNext(Sender &sender)
{
    EngineAttempt &attempt = *sender.m_attempt;
    const bool finished = attempt.m_state == AttemptState::Finished;
    const size_t ready = attempt.m_index - std::min(attempt.m_index, sender.m_next);
    if (strikeCut(sender)) {
        sender.m_exchange.abort();
        return SendStep::Ended;
    }
    if (ready > 0 && (finished || ready >= m_settings.m_tokensPerFrame)) {
        if (sendTokens(sender, sendLimit(sender)))
            return SendStep::Sent;
        sender.m_exchange.abort();
        return SendStep::Ended;
    }
    if (finished) {
        sendFinal(sender);
        return SendStep::Ended;
    }
    attempt.m_wakeAt = sender.m_next + m_settings.m_tokensPerFrame;
    return SendStep::Wait;
}

/// Where the next frame ends at most.
size_t EngineStandin::sendLimit(const Sender &sender) const
{
    const EngineAttempt &attempt = *sender.m_attempt;
    size_t to = std::min(attempt.m_index, sender.m_next + FrameTokensLimit);
    const size_t cut = attempt.m_request.m_skip + m_fault.m_tokens;
    if (m_fault.m_mode == EngineFaultMode::CutAfter && !attempt.m_cutDone && cut > sender.m_next)
        to = std::min(to, cut);
    return to;
}

bool EngineStandin::strikeCut(Sender &sender)
{
    EngineAttempt &attempt = *sender.m_attempt;
    if (m_fault.m_mode != EngineFaultMode::CutAfter || attempt.m_cutDone)
        return false;
    if (sender.m_next < attempt.m_request.m_skip + m_fault.m_tokens)
        return false;
    attempt.m_cutDone = true;
    return takeFault(EngineFaultMode::CutAfter);
}

std::string EngineStandin::frameAttempt(const Sender &sender)
{
    if (!takeFault(EngineFaultMode::WrongAttempt))
        return sender.m_attemptJson;
    return Json(CrossedAttempt).dump();
}

Status EngineStandin::sendTokens(Sender &sender, size_t to)
{
    const size_t from = sender.m_next;
    std::string frame =
        fmt::format(R"(data: {{"attempt":{},"index":{},"text":")", frameAttempt(sender), from);
    appendTokenText(frame, sender.m_attempt->m_request.m_prompt->m_hash, from, to);
    fmt::format_to(std::back_inserter(frame),
                   R"(","n":{}}})"
                   "\n\n",
                   to - from);
    sender.m_next = to;
    if (takeFault(EngineFaultMode::SkipFrame))
        return {};
    if (takeFault(EngineFaultMode::DuplicateFrame)) {
        const Status first = sender.m_exchange.write(frame);
        if (!first)
            return first;
    }
    return sender.m_exchange.write(frame);
}

void EngineStandin::sendFinal(Sender &sender)
{
    const EngineAttempt &attempt = *sender.m_attempt;
    std::string frame;
    if (attempt.m_request.m_prefillOnly) {
        frame = fmt::format(R"(data: {{"attempt":{},"prefilled":{},"cached":{}}})"
                            "\n\n",
                            frameAttempt(sender), attempt.m_prefillTo - attempt.m_cached,
                            attempt.m_cached);
    } else {
        frame =
            fmt::format(R"(data: {{"attempt":{},"index":{},"done":true,"tokens":{},"cached":{},)"
                        R"("finish":"{}","prefill_us":{},"queue_us":{}}})"
                        "\n\n",
                        frameAttempt(sender), attempt.m_index, attempt.m_index, attempt.m_cached,
                        attempt.m_stopped ? "stop" : "length", micros(attempt.m_prefillTime),
                        micros(attempt.m_queueTime));
    }
    if (!sender.m_exchange.write(frame) || !sender.m_exchange.finish())
        sender.m_exchange.abort();
}

/// Leaves the attempt for a resume; without one it is cancelled or forgotten.
void EngineStandin::detach(const Sender &sender)
{
    if (sender.m_attempt->m_connection != sender.m_connection)
        return;
    m_detached.push_back(
        { sender.m_attempt, sender.m_connection, Clock::now() + m_settings.m_resume });
    m_expiry.notifyAll();
}

} // namespace stackquay::standin
