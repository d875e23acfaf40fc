#include "bench/fake_engine.h"

namespace stackquay {

namespace {

Duration fromMicros(double micros)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(micros));
}

/// The blocks that are in the cache once so many tokens are prefilled.
PrefixBlocks blocksUpTo(const PrefixBlocks &blocks, uint64_t tokens)
{
    PrefixBlocks result;
    for (const auto &block : blocks) {
        if (block.m_number * PrefixBlockTokens <= tokens)
            result.push_back(block);
    }
    return result;
}

} // namespace

FakeEngine::FakeEngine(EventLoop &loop, FakeEngineSettings settings)
    : m_loop(loop)
    , m_settings(settings)
{
    m_cache.m_capacity = settings.m_cachedBlocks;
}

Duration FakeEngine::prefillTime(const FakeEngineSettings &settings, const PrefillWork &work)
{
    const auto tokens = static_cast<double>(work.m_uncachedTokens);
    const double context = static_cast<double>(work.m_cachedTokens) + tokens / 2;
    const double micros = settings.m_prefillMicros + tokens * settings.m_tokenMicros
                          + tokens * context * settings.m_contextMicros;
    return fromMicros(micros * (1 + settings.m_batchShare * work.m_batch));
}

void FakeEngine::submit(FakeJob job)
{
    ++m_waiting;
    m_backlogTokens += job.m_promptTokens;
    const int priority = job.m_priority;
    m_queue[priority].push_back(std::move(job));
    startNext();
}

ReportedLoad FakeEngine::load() const
{
    return { m_decoding,  m_waiting, m_backlogTokens, m_memoryUsed, m_settings.m_memoryTokens,
             m_loop.now() };
}

void FakeEngine::startNext()
{
    if (m_prefilling || m_queue.empty())
        return;
    auto &level = m_queue.begin()->second;
    const auto needed = level.front().m_promptTokens + level.front().m_outputTokens;
    if (m_memoryUsed != 0 && m_memoryUsed + needed > m_settings.m_memoryTokens)
        return;
    FakeJob job = std::move(level.front());
    level.pop_front();
    if (level.empty())
        m_queue.erase(m_queue.begin());
    m_prefilling = true;
    m_memoryUsed += needed;
    FakePrefill prefill;
    const auto cached = std::max(cachedTokens(m_cache, job.m_prefix), job.m_prefilledTokens);
    prefill.m_cachedTokens = std::min(cached, job.m_promptTokens);
    uint64_t uncached = job.m_promptTokens - prefill.m_cachedTokens;
    if (job.m_prefillLimit != 0)
        uncached = std::min(uncached, job.m_prefillLimit);
    prefill.m_prefilledTokens = prefill.m_cachedTokens + uncached;
    prefill.m_taken = prefillTime(m_settings, { uncached, prefill.m_cachedTokens, m_decoding });
    m_busy += prefill.m_taken;
    m_loop.after(prefill.m_taken, [this, job = std::move(job), prefill]() mutable {
        finishPrefill(std::move(job), prefill);
    });
}

void FakeEngine::finishPrefill(FakeJob job, const FakePrefill &prefill)
{
    m_prefilling = false;
    --m_waiting;
    m_backlogTokens -= job.m_promptTokens;
    notePrompt(m_cache, blocksUpTo(job.m_prefix, prefill.m_prefilledTokens));
    if (prefill.m_prefilledTokens < job.m_promptTokens) {
        m_memoryUsed -= job.m_promptTokens + job.m_outputTokens;
        job.m_onPrefill(prefill);
    } else {
        decode(job);
        job.m_onPrefill(prefill);
    }
    startNext();
}

void FakeEngine::decode(FakeJob job)
{
    ++m_decoding;
    const double step = m_settings.m_stepMicros + m_settings.m_stepBatchMicros * m_decoding;
    const auto taken = fromMicros(step * static_cast<double>(job.m_outputTokens));
    m_loop.after(taken, [this, job = std::move(job), taken] {
        --m_decoding;
        m_memoryUsed -= job.m_promptTokens + job.m_outputTokens;
        job.m_onDone(taken);
        startNext();
    });
}

} // namespace stackquay
