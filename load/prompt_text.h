/// Makes prompts of any length cheaply from one shared text.
#pragma once

#include "load/plan.h"

namespace stackquay {

constexpr uint32_t BytesPerToken = 4;

/// Words that need no escaping in JSON. Read-only after construction, so that threads share it.
class PromptText
{
public:
    PromptText();

    /// Appends the prompt of @p request, BytesPerToken * m_promptTokens bytes: the shared prefix if
    /// any, then a head of its own, so that no two prompts agree further.
    void append(std::string &body, const PlannedRequest &request, uint32_t prefixTokens) const;

private:
    void appendText(std::string &body, size_t bytes, uint64_t seed) const;

    std::string m_text;
};

/// The JSON body of a call to a daemon.
std::string makeCallerBody(const PromptText &text, const PlannedRequest &request,
                           const LoadOptions &options);
/// The JSON body of a call to an engine. @p attempt is echoed in every frame.
std::string makeEngineBody(const PromptText &text, const PlannedRequest &request,
                           const LoadOptions &options, const AttemptId &attempt);

} // namespace stackquay
