/// Parses and validates requests of the chat and text completion API.
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
    std::string m_adapter; ///< From a model name "model:adapter"; empty if there is none.
    std::string m_prompt; ///< Chat messages are joined as lines "role: content".
    uint64_t m_maxTokens = 0; ///< Limit of the output.
    bool m_stream = false;
};

/// Parses a JSON body. An InvalidArgument error names the invalid field and its allowed values.
Result<CompletionRequest> parseCompletionRequest(ApiShape shape, std::string_view body);

} // namespace stackquay
