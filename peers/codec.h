/// Encoding of messages between daemons: one msgpack value, with bounds on what is accepted.
#pragma once

#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "core/core.h"

namespace stackquay {

template<typename Message>
std::string encodeMessage(const Message &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return { buffer.data(), buffer.size() };
}

/// Decodes exactly one message. ProtocolError if @p bytes are malformed or have trailing bytes.
template<typename Message>
Result<Message> decodeMessage(std::string_view bytes)
{
    constexpr size_t CountLimit = 100'000;
    constexpr size_t DepthLimit = 16;
    const msgpack::unpack_limit limits(CountLimit, CountLimit, bytes.size(), bytes.size(),
                                       bytes.size(), DepthLimit);
    try {
        size_t offset = 0;
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limits);
        if (offset != bytes.size())
            return makeError(ErrorCode::ProtocolError, "trailing bytes after the message");
        return handle.get().as<Message>();
    } catch (const std::exception &exception) {
        return makeError(ErrorCode::ProtocolError, exception.what());
    }
}

} // namespace stackquay
