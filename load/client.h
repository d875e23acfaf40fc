/// Sends one planned request from a fiber and tells what became of it.
#pragma once

#include <atomic>
#include <mutex>
#include <unordered_map>

#include "load/answer_check.h"
#include "load/prompt_text.h"

namespace stackquay {

/// Remembers the answer to each prompt, to compare the next answer to the same prompt. Any thread.
class AnswerBook
{
public:
    /// False if another answer to the prompt was seen before.
    bool agrees(uint64_t promptSeed, uint64_t textHash);

private:
    std::mutex m_mutex;
    std::unordered_map<uint64_t, uint64_t> m_hashes;
};

/// What all threads of a run share. Outlives them.
struct LoadShared {
    const LoadOptions &m_options;
    PromptText m_text;
    AnswerBook m_answers;
    TimePoint m_start;
    std::atomic<bool> m_cutOff{ false }; ///< The drain time is over.
};

/// One thread's client.
class LoadClient
{
public:
    LoadClient(FiberThread &thread, LoadShared &shared, size_t firstTarget);

    LoadRecord run(const PlannedRequest &planned);

    /// Tokens that came before the end of the sending time.
    uint64_t tokensWhileSending() const { return m_tokensWhileSending; }
    /// The first few failures, for people.
    const std::vector<std::string> &problems() const { return m_problems; }

private:
    struct Call;

    void send(Call &call);
    bool exchangeHeader(Call &call, const HttpRequest &request);
    void readStream(Call &call);
    void noteTokens(Call &call, uint32_t before);
    void judgeStream(Call &call);
    void judgeStatus(Call &call, const HttpResponse &response);
    void fail(Call &call, LoadOutcome outcome, std::string problem);
    HttpRequest makeRequest(Call &call) const;
    Address nextTarget();

    FiberThread &m_thread;
    LoadShared &m_shared;
    HttpPool m_pool;
    size_t m_nextTarget;
    TimePoint m_sendingEnd;
    uint64_t m_tokensWhileSending = 0;
    std::vector<std::string> m_problems;
};

} // namespace stackquay
