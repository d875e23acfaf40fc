#include "load/record.h"

namespace stackquay {

namespace {

constexpr std::array<std::string_view, LoadOutcomeCount> OutcomeNames{
    "complete", "refused", "failed", "unreachable", "truncated", "wrong", "unfinished", "not_sent"
};
constexpr std::array<std::string_view, LoadClassCount> ClassNames{ "<=4k", "<=32k", "<=128k",
                                                                   ">128k", "service" };
constexpr uint32_t Tokens4k = 4'096;
constexpr uint32_t Tokens32k = 32'768;
constexpr uint32_t Tokens128k = 131'072;

} // namespace

std::string_view loadOutcomeName(LoadOutcome outcome)
{
    return OutcomeNames[static_cast<size_t>(outcome)];
}

std::string_view loadClassName(LoadClass loadClass)
{
    return ClassNames[static_cast<size_t>(loadClass)];
}

LoadClass classOfPrompt(uint32_t tokens)
{
    if (tokens <= Tokens4k)
        return LoadClass::UpTo4k;
    if (tokens <= Tokens32k)
        return LoadClass::UpTo32k;
    if (tokens <= Tokens128k)
        return LoadClass::UpTo128k;
    return LoadClass::Above128k;
}

} // namespace stackquay
