/// Draws the requests of a run from a seed: the same seed gives the same requests.
#pragma once

#include "load/options.h"
#include "load/record.h"

namespace stackquay {

struct PlannedRequest {
    Duration m_arrival{ 0 }; ///< From the start of the run.
    uint8_t m_phase = 0;
    LoadClass m_class = LoadClass::UpTo4k;
    uint32_t m_promptTokens = 0;
    uint32_t m_outputTokens = 0;
    uint64_t m_promptSeed = 0; ///< Names the prompt's text.
    uint32_t m_prefix = 0; ///< Which shared prefix, from 1; 0: none.
    uint8_t m_priority = 0;
    uint16_t m_customer = 0;
    bool m_repeated = false; ///< The prompt was planned before.
    bool m_service = false;
    std::string m_idempotencyKey; ///< Only of service calls.
};

/// One thread's part of the arrivals: a Poisson process of rate / threads.
class LoadPlan
{
public:
    LoadPlan(const LoadOptions &options, size_t thread);

    /// The next request; false after the last one. Without Poisson arrivals (closed loops) it never
    /// ends, and m_arrival stays zero.
    bool next(PlannedRequest &request);

private:
    bool advance(PlannedRequest &request);
    void drawPrompt(PlannedRequest &request);
    void drawService(PlannedRequest &request);

    const LoadOptions &m_options;
    RandomEngine m_random;
    Duration m_now{ 0 };
    Duration m_phaseStart{ 0 };
    size_t m_phase = 0;
    std::vector<PlannedRequest> m_earlier; ///< Some earlier prompts, to ask again.
    std::vector<std::string> m_earlierKeys;
};

/// The length of the whole plan.
Duration planLength(const LoadOptions &options);

} // namespace stackquay
