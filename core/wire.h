/// Framed msgpack between the system's own processes.
///
/// A frame on a TCP stream: 4 bytes length (big endian, of all that follows), 1 byte protocol
/// version, 2 bytes message type (big endian), then the msgpack payload. A UDP datagram holds one
/// frame without the length.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <msgpack.hpp>

#include "core/error.h"

namespace stackquay {

constexpr uint8_t WireVersion = 1;
constexpr size_t DefaultFrameLimit = 16 * 1024 * 1024;

/// One message as it came; decodePayload() gives it its type.
struct WireFrame {
    uint16_t m_type = 0; ///< A value of the user's enumeration.
    std::string m_payload;

    template<typename Type>
    Type type() const
    {
        return static_cast<Type>(m_type);
    }
};

/// Takes frames out of a byte stream that arrives in pieces.
class FrameReader
{
public:
    /// @p limit bounds the bytes of one frame after its length.
    explicit FrameReader(size_t limit = DefaultFrameLimit);

    void feed(std::string_view bytes);
    /// The next whole frame; none if more bytes are needed. After an error (a frame too long, too
    /// short or of another version) the stream is lost, and every further call gives the error.
    Result<std::optional<WireFrame>> next();
    /// Whether the stream may end here.
    bool empty() const { return m_buffer.size() == m_taken; }

private:
    size_t m_limit;
    std::string m_buffer;
    size_t m_taken = 0; ///< Bytes of m_buffer already given out.
    std::optional<Error> m_error;
};

namespace detail {

std::string buildFrame(uint16_t type, std::string_view payload);
std::string buildDatagram(uint16_t type, std::string_view payload);
/// Unpacks the whole of @p payload, with bounds on depth and sizes.
Result<msgpack::object_handle> unpackObject(std::string_view payload);
Error conversionError(const char *what);

} // namespace detail

template<typename T>
std::string packMessage(const T &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return std::string(buffer.data(), buffer.size());
}

/// ProtocolError if the bytes are no msgpack, hold more than one value, or do not fit T.
template<typename T>
Result<T> unpackMessage(std::string_view bytes)
{
    const auto handle = detail::unpackObject(bytes);
    if (!handle)
        return tl::unexpected(handle.error());
    try {
        return handle->get().as<T>();
    } catch (const std::exception &error) {
        return tl::unexpected(detail::conversionError(error.what()));
    }
}

/// @p type is a value of an enumeration over uint16_t.
template<typename Type, typename T>
std::string encodeFrame(Type type, const T &message)
{
    return detail::buildFrame(static_cast<uint16_t>(type), packMessage(message));
}

template<typename Type, typename T>
std::string encodeDatagram(Type type, const T &message)
{
    return detail::buildDatagram(static_cast<uint16_t>(type), packMessage(message));
}

/// The frame in a datagram; ProtocolError if it is too short or of another version.
Result<WireFrame> decodeDatagram(std::string_view datagram);

template<typename T>
Result<T> decodePayload(const WireFrame &frame)
{
    return unpackMessage<T>(frame.m_payload);
}

} // namespace stackquay
