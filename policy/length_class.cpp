#include "policy/length_class.h"

namespace stackquay {

LengthClass lengthClass(uint64_t uncachedTokens)
{
    size_t index = 0;
    while (index < LengthClassLimits.size() && uncachedTokens > LengthClassLimits[index])
        ++index;
    return static_cast<LengthClass>(index);
}

std::string_view lengthClassName(LengthClass lengthClass)
{
    switch (lengthClass) {
    case LengthClass::Short:
        return "short";
    case LengthClass::Medium:
        return "medium";
    case LengthClass::Long:
        return "long";
    case LengthClass::VeryLong:
        return "very-long";
    case LengthClass::Count:
        break;
    }
    return "unknown";
}

uint64_t estimateTokens(size_t bytes)
{
    return (bytes + BytesPerToken - 1) / BytesPerToken;
}

bool isLongPrefill(LengthClass lengthClass)
{
    return lengthClass >= LengthClass::Long;
}

} // namespace stackquay
