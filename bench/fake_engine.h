/// A fake of one engine in simulated time: one prefill at a time by priority, a decoding batch,
/// finite memory and a finite prefix cache. It is there to compare policies, not to be an engine.
#pragma once

#include <deque>
#include <map>

#include "bench/event_loop.h"
#include "policy/policy.h"

namespace stackquay {

struct FakeEngineSettings {
    double m_prefillMicros = 2'000; ///< Fixed cost of each prefill call.
    double m_tokenMicros = 20;
    double m_contextMicros = 1e-4; ///< A token and token of context.
    double m_batchShare = 0.01; ///< Slower by this for each decoding request.
    double m_stepMicros = 8'000; ///< A decode step, and for each request of the batch:
    double m_stepBatchMicros = 150;
    uint64_t m_memoryTokens = 400'000;
    size_t m_cachedBlocks = 1'500; ///< Sampled blocks in the prefix cache.
};

/// What the engine tells of one finished piece of prefill.
struct FakePrefill {
    uint64_t m_prefilledTokens = 0; ///< Cached ones included.
    uint64_t m_cachedTokens = 0;
    Duration m_taken{};
};

struct FakeJob {
    uint64_t m_promptTokens = 0;
    uint64_t m_outputTokens = 0;
    PrefixBlocks m_prefix;
    int m_priority = 0;
    uint64_t m_prefilledTokens = 0; ///< By earlier chunks, and still in the cache.
    uint64_t m_prefillLimit = 0; ///< Uncached tokens to prefill at most; 0: all, then decode.
    std::function<void(const FakePrefill &)> m_onPrefill;
    std::function<void(Duration decode)> m_onDone;
};

class FakeEngine
{
public:
    FakeEngine(EventLoop &loop, FakeEngineSettings settings);

    void submit(FakeJob job);
    ReportedLoad load() const;
    /// Prefill time of so many tokens on an idle engine.
    static Duration prefillTime(const FakeEngineSettings &settings, const PrefillWork &work);
    Duration busy() const { return m_busy; }

private:
    void startNext();
    void finishPrefill(FakeJob job, const FakePrefill &prefill);
    void decode(FakeJob job);

    EventLoop &m_loop;
    FakeEngineSettings m_settings;
    std::map<int, std::deque<FakeJob>, std::greater<>> m_queue;
    PrefixIndex m_cache;
    bool m_prefilling = false;
    uint32_t m_decoding = 0;
    uint32_t m_waiting = 0;
    uint64_t m_backlogTokens = 0;
    uint64_t m_memoryUsed = 0;
    Duration m_busy{};
};

} // namespace stackquay
