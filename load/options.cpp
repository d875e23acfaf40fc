#include "load/options.h"

#include <charconv>

#include <fmt/format.h>

namespace stackquay {

namespace {

constexpr uint32_t MostTokens = 4'000'000;

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true) {
        const size_t end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix(end + 1);
    }
}

template<typename Number>
bool parseNumber(std::string_view text, Number &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size();
}

bool parsePositive(std::string_view text, double &value)
{
    return parseNumber(text, value) && value >= 0;
}

tl::unexpected<Error> invalid(std::string_view what, std::string_view text)
{
    return makeError(ErrorCode::InvalidArgument, fmt::format("{}: \"{}\"", what, text));
}

bool parseRange(std::string_view text, LengthRange &range)
{
    const size_t dash = text.find('-');
    if (!parseNumber(text.substr(0, dash), range.m_low))
        return false;
    range.m_high = range.m_low;
    if (dash != std::string_view::npos && !parseNumber(text.substr(dash + 1), range.m_high))
        return false;
    return range.m_low >= 1 && range.m_low <= range.m_high && range.m_high <= MostTokens;
}

bool isShare(double value)
{
    return value >= 0 && value <= 1;
}

} // namespace

Result<std::vector<LengthRange>> parseLengths(std::string_view text)
{
    std::vector<LengthRange> ranges;
    for (const std::string_view part : split(text, ',')) {
        LengthRange range;
        const size_t equals = part.find('=');
        if (!parseRange(part.substr(0, equals), range))
            return invalid("not a range of tokens, LOW-HIGH=WEIGHT", part);
        if (equals != std::string_view::npos
            && !parsePositive(part.substr(equals + 1), range.m_weight))
            return invalid("not a weight", part);
        ranges.push_back(range);
    }
    return ranges;
}

Result<std::vector<LoadCustomer>> parseCustomers(std::string_view text)
{
    std::vector<LoadCustomer> customers;
    for (const std::string_view part : split(text, ',')) {
        LoadCustomer customer;
        const size_t equals = part.find('=');
        customer.m_key = std::string(part.substr(0, equals));
        if (equals != std::string_view::npos
            && !parsePositive(part.substr(equals + 1), customer.m_weight))
            return invalid("not a customer's KEY=WEIGHT", part);
        customers.push_back(std::move(customer));
    }
    return customers;
}

Result<std::vector<LoadPhase>> parsePhases(std::string_view text)
{
    std::vector<LoadPhase> phases;
    for (const std::string_view part : split(text, ',')) {
        const size_t colon = part.find(':');
        double seconds = 0;
        LoadPhase phase;
        if (colon == std::string_view::npos || !parsePositive(part.substr(0, colon), seconds)
            || !parsePositive(part.substr(colon + 1), phase.m_rate))
            return invalid("not a phase, SECONDS:RATE", part);
        phase.m_length =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        phases.push_back(phase);
    }
    return phases;
}

Result<std::vector<double>> parseWeights(std::string_view text)
{
    std::vector<double> weights;
    for (const std::string_view part : split(text, ',')) {
        double weight = 0;
        if (!parsePositive(part, weight))
            return invalid("not a weight", part);
        weights.push_back(weight);
    }
    return weights;
}

Result<std::vector<Address>> parseTargets(std::string_view text)
{
    std::vector<Address> targets;
    for (const std::string_view part : split(text, ',')) {
        const auto address = parseAddress(part);
        if (!address)
            return tl::unexpected(address.error());
        targets.push_back(*address);
    }
    return targets;
}

Status checkOptions(const LoadOptions &options)
{
    constexpr size_t MostThreads = 64;
    constexpr size_t MostPhases = 255;
    const auto refuse = [](std::string message) {
        return makeError(ErrorCode::InvalidArgument, std::move(message));
    };
    if (options.m_targets.empty())
        return refuse("no target: name at least one address");
    if (options.m_threads < 1 || options.m_threads > MostThreads)
        return refuse(fmt::format("threads: 1 to {}", MostThreads));
    if (options.m_phases.empty() || options.m_phases.size() > MostPhases)
        return refuse(fmt::format("phases: 1 to {}", MostPhases));
    if (options.m_customers.empty() || options.m_lengths.empty() || options.m_outputs.empty())
        return refuse("customers, lengths and outputs: at least one each");
    for (const double share : { options.m_serviceShare, options.m_serviceRepeatShare,
                                options.m_prefixShare, options.m_repeatShare }) {
        if (!isShare(share))
            return refuse("shares lie between 0 and 1");
    }
    if (options.m_serviceShare > 0 && (options.m_service.empty() || options.m_direct))
        return refuse("service calls need a service name and daemons as targets");
    return {};
}

} // namespace stackquay
