#include "core/wire.h"

#include <algorithm>

#include <boost/endian/conversion.hpp>
#include <fmt/format.h>

namespace stackquay {

namespace {

constexpr size_t LengthBytes = 4;
constexpr size_t HeaderBytes = 3; ///< Version and type.
constexpr size_t MaxDepth = 32;
constexpr size_t MaxElements = 1 << 20; ///< Of one array or map.

const unsigned char *asBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

std::string buildHeader(uint16_t type)
{
    std::string header(HeaderBytes, '\0');
    auto *bytes = reinterpret_cast<unsigned char *>(header.data());
    bytes[0] = WireVersion;
    boost::endian::store_big_u16(bytes + 1, type);
    return header;
}

Error versionError(uint8_t version)
{
    return { ErrorCode::ProtocolError,
             fmt::format("peer speaks version {}, this is {}", version, WireVersion) };
}

} // namespace

FrameReader::FrameReader(size_t limit)
    : m_limit(limit)
{ }

void FrameReader::feed(std::string_view bytes)
{
    if (m_error)
        return;
    if (m_taken > 0 && m_taken >= m_buffer.size() / 2) {
        m_buffer.erase(0, m_taken);
        m_taken = 0;
    }
    m_buffer.append(bytes);
}

Result<std::optional<WireFrame>> FrameReader::next()
{
    if (m_error)
        return tl::unexpected(*m_error);
    const std::string_view rest = std::string_view(m_buffer).substr(m_taken);
    if (rest.size() < LengthBytes)
        return std::nullopt;
    const size_t length = boost::endian::load_big_u32(asBytes(rest));
    if (length < HeaderBytes || length > m_limit) {
        m_error =
            Error{ ErrorCode::ProtocolError, fmt::format("frame of {} bytes, accepted: {} to {}",
                                                         length, HeaderBytes, m_limit) };
        return tl::unexpected(*m_error);
    }
    // The version comes before the body, so that a wrong peer is refused early.
    if (rest.size() > LengthBytes && asBytes(rest)[LengthBytes] != WireVersion) {
        m_error = versionError(asBytes(rest)[LengthBytes]);
        return tl::unexpected(*m_error);
    }
    if (rest.size() < LengthBytes + length)
        return std::nullopt;
    WireFrame frame;
    frame.m_type = boost::endian::load_big_u16(asBytes(rest) + LengthBytes + 1);
    frame.m_payload = rest.substr(LengthBytes + HeaderBytes, length - HeaderBytes);
    m_taken += LengthBytes + length;
    return frame;
}

Result<WireFrame> decodeDatagram(std::string_view datagram)
{
    if (datagram.size() < HeaderBytes)
        return makeError(ErrorCode::ProtocolError, "datagram is too short");
    if (asBytes(datagram)[0] != WireVersion)
        return tl::unexpected(versionError(asBytes(datagram)[0]));
    return WireFrame{ boost::endian::load_big_u16(asBytes(datagram) + 1),
                      std::string(datagram.substr(HeaderBytes)) };
}

namespace detail {

std::string buildFrame(uint16_t type, std::string_view payload)
{
    std::string frame(LengthBytes, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(frame.data()),
                                 static_cast<uint32_t>(HeaderBytes + payload.size()));
    frame += buildHeader(type);
    return frame.append(payload);
}

std::string buildDatagram(uint16_t type, std::string_view payload)
{
    return buildHeader(type).append(payload);
}

Result<msgpack::object_handle> unpackObject(std::string_view payload)
{
    // An element takes a byte at least, so that a false count cannot make us reserve much.
    const size_t elements = std::min(payload.size(), MaxElements);
    const msgpack::unpack_limit limit(elements, elements, payload.size(), payload.size(),
                                      payload.size(), MaxDepth);
    try {
        size_t offset = 0;
        msgpack::object_handle handle =
            msgpack::unpack(payload.data(), payload.size(), offset, nullptr, nullptr, limit);
        if (offset != payload.size())
            return makeError(ErrorCode::ProtocolError, "bytes after the message");
        return handle;
    } catch (const std::exception &error) {
        return makeError(ErrorCode::ProtocolError,
                         fmt::format("malformed msgpack: {}", error.what()));
    }
}

Error conversionError(const char *what)
{
    return { ErrorCode::ProtocolError, fmt::format("message has another shape: {}", what) };
}

} // namespace detail

} // namespace stackquay
