#include "bench/workload.h"

#include <algorithm>
#include <cmath>

namespace stackquay {

namespace {

/// One band of prompt lengths, log-uniform between its ends.
struct LengthBand {
    double m_share;
    double m_least;
    double m_most;
};

// One prompt in fifty is above 100,000 tokens. Those above one engine's memory are spans, which
// are not part of this comparison.
constexpr std::array<LengthBand, 4> Bands = { {
    { 0.70, 1'000, 4'096 },
    { 0.24, 4'097, 32'768 },
    { 0.04, 32'769, 100'000 },
    { 0.02, 100'000, 350'000 },
} };

uint64_t drawLength(RandomEngine &random)
{
    std::uniform_real_distribution<double> unit(0, 1);
    double left = unit(random);
    const auto *band = &Bands.front();
    for (const auto &candidate : Bands) {
        band = &candidate;
        if (left < candidate.m_share)
            break;
        left -= candidate.m_share;
    }
    const double log =
        std::log(band->m_least) + unit(random) * (std::log(band->m_most) - std::log(band->m_least));
    return static_cast<uint64_t>(std::exp(log));
}

/// A few customers are large: weights 1, 1/2, 1/3, ...
uint32_t drawCustomer(RandomEngine &random, uint32_t customers)
{
    std::uniform_real_distribution<double> unit(0, 1);
    const double rank = std::exp(unit(random) * std::log(static_cast<double>(customers) + 1));
    return std::min(customers - 1, static_cast<uint32_t>(rank - 1));
}

void drawPrefix(RandomEngine &random, const WorkloadSettings &settings, WorkloadRequest &request)
{
    std::uniform_real_distribution<double> unit(0, 1);
    const uint64_t prefixId =
        request.m_customer * 1'000 + random() % settings.m_prefixesPerCustomer;
    const bool shares = unit(random) < settings.m_sharedPrefix;
    const uint64_t sharedBlocks = shares ? 4 + prefixId % 9 : 0;
    const uint64_t unique = random();
    const uint64_t whole = request.m_need.m_promptTokens / PrefixBlockTokens;
    request.m_sharedTokens = std::min(whole, sharedBlocks) * PrefixBlockTokens;
    for (uint32_t number = 1; number <= whole; ++number) {
        if (!isSampledBlock(number))
            continue;
        const uint64_t seed = number <= sharedBlocks ? prefixId : unique;
        request.m_need.m_prefix.push_back(
            { number, XXH3_64bits_withSeed(&number, sizeof(number), seed) });
    }
}

} // namespace

std::vector<WorkloadRequest> makeWorkload(const WorkloadSettings &settings)
{
    RandomEngine random(settings.m_seed);
    std::exponential_distribution<double> gap(settings.m_requestsPerSecond);
    std::uniform_int_distribution<uint64_t> output(20, 200);
    const std::chrono::duration<double> end = settings.m_length;
    std::vector<WorkloadRequest> requests;
    for (std::chrono::duration<double> at(gap(random)); at < end; at += decltype(at)(gap(random))) {
        WorkloadRequest request;
        request.m_arrival = std::chrono::duration_cast<Duration>(at);
        request.m_customer = drawCustomer(random, settings.m_customers);
        request.m_need.m_promptTokens = drawLength(random);
        request.m_need.m_outputTokens = output(random);
        drawPrefix(random, settings, request);
        request.m_class = lengthClass(request.m_need.m_promptTokens);
        if (!settings.m_onlyShort || request.m_class == LengthClass::Short)
            requests.push_back(std::move(request));
    }
    return requests;
}

} // namespace stackquay
