#include "standin/engine_batch.h"

#include <algorithm>

#include "standin/notifier.h"

namespace stackquay::standin {

namespace {

constexpr size_t ExecutionsKept = 100'000;

bool live(const EngineAttempt &attempt)
{
    return attempt.m_state == AttemptState::Waiting || attempt.m_state == AttemptState::Decoding;
}

void wake(const EngineAttempt &attempt)
{
    if (attempt.m_writer)
        attempt.m_writer->notifyAll();
}

/// Prompt and skipped tokens, all of which have to be in memory before decoding.
size_t contextTokens(const EngineRequest &request)
{
    return request.m_prompt->m_tokens + (request.m_prefillOnly ? 0 : request.m_skip);
}

/// Where a prefill that begins with @p cached tokens ends.
size_t prefillEnd(const EngineRequest &request, size_t cached)
{
    const size_t whole = request.m_prompt->m_tokens;
    if (!request.m_prefillOnly || request.m_prefillLimit == 0)
        return whole;
    const size_t blocks = std::max<size_t>(request.m_prefillLimit / BlockTokens, 1);
    return std::min(whole, cached + blocks * BlockTokens);
}

std::vector<uint64_t> blocksBetween(const EnginePrompt &prompt, size_t from, size_t to)
{
    const auto begin = prompt.m_blocks.begin();
    return { begin + static_cast<ptrdiff_t>(from / BlockTokens),
             begin + static_cast<ptrdiff_t>(std::max(from, to) / BlockTokens) };
}

} // namespace

EngineBatch::EngineBatch(EngineLimits limits)
    : m_limits(limits)
    , m_memory(limits.m_memoryTokens)
{ }

SubmitOutcome EngineBatch::submit(EngineRequest request, TimePoint now)
{
    const auto present = m_attempts.find(request.m_attempt);
    if (present != m_attempts.end() && live(*present->second))
        return { nullptr, "duplicate_attempt" };
    if (m_waiting.size() >= m_limits.m_maxWaiting)
        return { nullptr, "queue_full" };
    const auto attempt = std::make_shared<EngineAttempt>();
    attempt->m_request = std::move(request);
    attempt->m_submittedAt = now;
    std::string reason = place(*attempt);
    if (reason.empty())
        reason = takeMemory(*attempt, now);
    const bool waits =
        reason == "no_memory" && m_limits.m_waitForMemory && attempt->m_request.m_handle.empty();
    if (!reason.empty() && !waits)
        return { nullptr, std::move(reason) };
    m_attempts[attempt->m_request.m_attempt] = attempt;
    m_waiting[{ -attempt->m_request.m_priority, m_arrivals++ }] = attempt;
    m_backlog += attempt->m_prefillTo - attempt->m_prefillFrom;
    ++m_stats.m_accepted;
    return { attempt, {} };
}

/// Decides which part of the prompt is this engine's, and the answer's length.
std::string EngineBatch::place(EngineAttempt &attempt)
{
    const EngineRequest &request = attempt.m_request;
    const size_t stop = m_limits.m_stopAfter;
    attempt.m_stopped = stop > 0 && stop < request.m_maxTokens;
    attempt.m_end = std::max(request.m_skip, attempt.m_stopped ? stop : request.m_maxTokens);
    attempt.m_index = request.m_skip;
    if (!request.m_handle.empty()) {
        KvHandle *handle = m_memory.findHandle(request.m_handle);
        if (!handle)
            return "unknown_handle";
        return placeInHandle(attempt, *handle);
    }
    const size_t cached = m_memory.computedBlocks(request.m_prompt->m_blocks) * BlockTokens;
    attempt.m_prefillTo = prefillEnd(request, cached);
    attempt.m_blocks = blocksBetween(*request.m_prompt, 0, attempt.m_prefillTo);
    const size_t rest = attempt.m_prefillTo - attempt.m_blocks.size() * BlockTokens;
    attempt.m_private = rest + (request.m_prefillOnly ? 0 : attempt.m_end);
    if (attempt.m_blocks.size() * BlockTokens + attempt.m_private > m_memory.total())
        return "prompt_too_long";
    return {};
}

std::string EngineBatch::placeInHandle(EngineAttempt &attempt, KvHandle &handle)
{
    const EngineRequest &request = attempt.m_request;
    const EnginePrompt &prompt = *request.m_prompt;
    const size_t coveredBlocks = handle.m_covered / BlockTokens;
    if (coveredBlocks > prompt.m_blocks.size())
        return "wrong_prefix";
    if (coveredBlocks > 0 && prompt.m_blocks[coveredBlocks - 1] != handle.m_coveredName)
        return "wrong_prefix";
    attempt.m_prefillFrom = handle.m_covered;
    const auto own = blocksBetween(prompt, handle.m_covered, prompt.m_tokens);
    const size_t cached = handle.m_covered + m_memory.computedBlocks(own) * BlockTokens;
    attempt.m_prefillTo = prefillEnd(request, cached);
    attempt.m_blocks = blocksBetween(prompt, handle.m_covered, attempt.m_prefillTo);
    const size_t held = attempt.m_blocks.size() * BlockTokens;
    const size_t rest = attempt.m_prefillTo - handle.m_covered - held;
    attempt.m_private = rest + (request.m_prefillOnly ? 0 : attempt.m_end);
    return {};
}

std::string EngineBatch::takeMemory(EngineAttempt &attempt, TimePoint now)
{
    KvHandle *handle = m_memory.findHandle(attempt.m_request.m_handle);
    const bool taken =
        handle ? m_memory.takeInHandle(*handle, attempt.m_blocks, attempt.m_private, now)
               : m_memory.take(attempt.m_blocks, attempt.m_private, now);
    if (!taken)
        return "no_memory";
    attempt.m_holdsMemory = true;
    return {};
}

void EngineBatch::releaseMemory(EngineAttempt &attempt)
{
    if (!attempt.m_holdsMemory)
        return;
    attempt.m_holdsMemory = false;
    if (attempt.m_request.m_handle.empty())
        return m_memory.giveBack(attempt.m_blocks, attempt.m_private);
    // The blocks stay with the handle.
    if (KvHandle *handle = m_memory.findHandle(attempt.m_request.m_handle))
        handle->m_private -= attempt.m_private;
}

AttemptPtr EngineBatch::find(const std::string &attempt) const
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : found->second;
}

void EngineBatch::forget(const std::string &attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found != m_attempts.end() && !live(*found->second))
        m_attempts.erase(found);
}

bool EngineBatch::cancel(const std::string &attempt)
{
    const AttemptPtr found = find(attempt);
    if (!found || !live(*found))
        return false;
    finish(*found, AttemptState::Cancelled);
    std::erase(m_running, found);
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(),
                                      [&](const auto &entry) { return entry.second == found; });
    if (waiting != m_waiting.end()) {
        m_backlog -= found->m_prefillTo - found->m_prefillFrom;
        m_waiting.erase(waiting);
    }
    ++m_stats.m_cancelled;
    return true;
}

bool EngineBatch::removeHandle(const std::string &id)
{
    std::vector<std::string> inside;
    for (const auto &[name, attempt] : m_attempts) {
        if (attempt->m_request.m_handle == id && live(*attempt))
            inside.push_back(name);
    }
    for (const std::string &name : inside)
        cancel(name);
    return m_memory.removeHandle(id);
}

void EngineBatch::finish(EngineAttempt &attempt, AttemptState state)
{
    attempt.m_state = state;
    releaseMemory(attempt);
    wake(attempt);
}

size_t EngineBatch::uncached(const EngineAttempt &attempt) const
{
    const size_t cached = m_memory.computedBlocks(attempt.m_blocks) * BlockTokens;
    return attempt.m_prefillTo - attempt.m_prefillFrom - cached
           + (contextTokens(attempt.m_request) - attempt.m_request.m_prompt->m_tokens);
}

bool EngineBatch::startPrefill(const AttemptPtr &attempt, TimePoint now)
{
    if (!attempt->m_holdsMemory && !takeMemory(*attempt, now).empty())
        return false;
    attempt->m_queueTime = now - attempt->m_submittedAt;
    m_prefilling.push_back(attempt);
    m_backlog -= attempt->m_prefillTo - attempt->m_prefillFrom;
    ++m_stats.m_started;
    countExecution(attempt->m_request.m_attempt);
    return true;
}

void EngineBatch::countExecution(const std::string &attempt)
{
    if (m_executions[attempt]++ > 0)
        return;
    m_executionOrder.push_back(attempt);
    if (m_executionOrder.size() <= ExecutionsKept)
        return;
    m_executions.erase(m_executionOrder.front());
    m_executionOrder.pop_front();
}

Duration EngineBatch::beginStep(TimePoint now)
{
    size_t tokens = 0;
    while (!m_waiting.empty() && m_running.size() + m_prefilling.size() < m_limits.m_maxRunning) {
        const auto first = m_waiting.begin();
        const size_t more = uncached(*first->second);
        if (!m_prefilling.empty() && tokens + more > m_limits.m_prefillBatchTokens)
            break;
        if (!startPrefill(first->second, now))
            break;
        tokens += more;
        m_waiting.erase(first);
    }
    const double micros =
        static_cast<double>(m_limits.m_stepBase.count())
        + static_cast<double>(m_limits.m_decode.count()) * static_cast<double>(m_running.size())
        + m_limits.m_prefillMicrosPerToken * static_cast<double>(tokens);
    const Duration time = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::micro>(micros * m_limits.m_timeScale));
    for (const AttemptPtr &attempt : m_prefilling)
        attempt->m_prefillTime = time;
    m_stats.m_maxRunning = std::max(m_stats.m_maxRunning, m_running.size() + m_prefilling.size());
    return time;
}

void EngineBatch::endStep(TimePoint now)
{
    ++m_stats.m_steps;
    m_stats.m_tokens += m_running.size();
    bool anyFinished = false;
    for (const AttemptPtr &attempt : m_running) {
        ++attempt->m_index;
        if (attempt->m_index >= attempt->m_end) {
            anyFinished = true;
            ++m_stats.m_completed;
            finish(*attempt, AttemptState::Finished);
        } else if (attempt->m_index >= attempt->m_wakeAt) {
            wake(*attempt);
        }
    }
    if (anyFinished)
        std::erase_if(m_running, [](const AttemptPtr &attempt) { return !live(*attempt); });
    for (const AttemptPtr &attempt : m_prefilling) {
        if (attempt->m_state == AttemptState::Waiting)
            finishPrefill(attempt, now);
    }
    m_prefilling.clear();
}

void EngineBatch::finishPrefill(const AttemptPtr &attempt, TimePoint now)
{
    const size_t computed = uncached(*attempt);
    m_stats.m_prefilledTokens += computed;
    const size_t own =
        attempt->m_prefillTo
        + (contextTokens(attempt->m_request) - attempt->m_request.m_prompt->m_tokens);
    attempt->m_cached = own - computed;
    m_memory.markComputed(attempt->m_blocks, now);
    if (attempt->m_request.m_prefillOnly || attempt->m_index >= attempt->m_end) {
        ++m_stats.m_completed;
        return finish(*attempt, AttemptState::Finished);
    }
    // The last prompt token's pass gives the first answer token.
    attempt->m_state = AttemptState::Decoding;
    ++attempt->m_index;
    ++m_stats.m_tokens;
    if (attempt->m_index >= attempt->m_end) {
        ++m_stats.m_completed;
        return finish(*attempt, AttemptState::Finished);
    }
    m_running.push_back(attempt);
    wake(*attempt);
}

void EngineBatch::reset()
{
    for (const auto &[name, attempt] : m_attempts) {
        attempt->m_state = AttemptState::Cancelled;
        attempt->m_holdsMemory = false;
        wake(*attempt);
    }
    m_attempts.clear();
    m_waiting.clear();
    m_running.clear();
    m_prefilling.clear();
    m_backlog = 0;
    m_memory = KvMemory(m_limits.m_memoryTokens);
}

EngineStats EngineBatch::stats() const
{
    EngineStats stats = m_stats;
    stats.m_running = m_running.size() + m_prefilling.size();
    stats.m_waiting = m_waiting.size();
    stats.m_memoryUsed = m_memory.used();
    stats.m_memoryCached = m_memory.cachedTokens();
    stats.m_handles = m_memory.handles().size();
    return stats;
}

} // namespace stackquay::standin
