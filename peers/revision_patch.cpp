#include "peers/revision_patch.h"

#include <bit>
#include <memory>

#include <zstd.h>

namespace stackquay {

namespace {

constexpr int CompressionLevel = 3;
constexpr int SmallestWindowLog = 17;
constexpr int LargestWindowLog = 27;

struct FreeContext {
    void operator()(ZSTD_CCtx *context) const { ZSTD_freeCCtx(context); }
    void operator()(ZSTD_DCtx *context) const { ZSTD_freeDCtx(context); }
};

/// The window has to reach over the whole base.
int windowLogFor(size_t bytes)
{
    return std::clamp<int>(std::bit_width(bytes), SmallestWindowLog, LargestWindowLog);
}

tl::unexpected<Error> zstdError(ErrorCode code, size_t result)
{
    return makeError(code, ZSTD_getErrorName(result));
}

} // namespace

Result<std::string> makePatch(std::string_view base, std::string_view text)
{
    const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
    const int windowLog = windowLogFor(base.size() + text.size());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, CompressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (!base.empty())
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string patch(ZSTD_compressBound(text.size()), '\0');
    const size_t size =
        ZSTD_compress2(context.get(), patch.data(), patch.size(), text.data(), text.size());
    if (ZSTD_isError(size))
        return zstdError(ErrorCode::Internal, size);
    patch.resize(size);
    patch.shrink_to_fit();
    return patch;
}

Result<std::string> applyPatch(std::string_view base, std::string_view patch)
{
    const unsigned long long size = ZSTD_getFrameContentSize(patch.data(), patch.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN
        || size > MaxRevisionBytes)
        return makeError(ErrorCode::ProtocolError, "not a patch of a known size");
    const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, LargestWindowLog);
    if (!base.empty())
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string text(size, '\0');
    const size_t written =
        ZSTD_decompressDCtx(context.get(), text.data(), text.size(), patch.data(), patch.size());
    if (ZSTD_isError(written))
        return zstdError(ErrorCode::ProtocolError, written);
    if (written != size)
        return makeError(ErrorCode::ProtocolError, "the patch is cut short");
    return text;
}

} // namespace stackquay
