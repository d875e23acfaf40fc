/// Requests of the chat and text completion API, parsed and checked.
#pragma once

#include "core/core.h"

namespace stackquay {

enum class ApiShape {
    Chat, ///< /v1/chat/completions
    Text, ///< /v1/completions
};

struct CompletionRequest {
    ApiShape m_shape = ApiShape::Text;
    ModelId m_model;
    std::string m_adapter; ///< From a model name of the form "model:adapter"; may be empty.
    std::string m_prompt;
    uint64_t m_maxTokens = 0;
    bool m_stream = false;
};

/// Parses a JSON body. InvalidArgument names the field and what is allowed.
Result<CompletionRequest> parseCompletionRequest(ApiShape shape, std::string_view body);

} // namespace stackquay
