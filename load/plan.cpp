#include "load/plan.h"

#include <cmath>

#include <fmt/format.h>

namespace stackquay {

namespace {

constexpr size_t EarlierKept = 256;
constexpr uint64_t ThreadSeedStep = 0x9e3779b97f4a7c15;

double uniform(RandomEngine &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

template<typename Items, typename Weight>
size_t pickWeighted(RandomEngine &random, const Items &items, Weight weight)
{
    double sum = 0;
    for (const auto &item : items)
        sum += weight(item);
    double left = uniform(random) * sum;
    for (size_t i = 0; i < items.size(); ++i) {
        left -= weight(items[i]);
        if (left < 0)
            return i;
    }
    return items.size() - 1;
}

uint32_t drawLength(RandomEngine &random, const std::vector<LengthRange> &ranges)
{
    const auto weight = [](const LengthRange &range) { return range.m_weight; };
    const LengthRange &range = ranges[pickWeighted(random, ranges, weight)];
    const double low = std::log(range.m_low);
    const double high = std::log(range.m_high);
    const double drawn = std::round(std::exp(low + uniform(random) * (high - low)));
    return std::clamp(static_cast<uint32_t>(drawn), range.m_low, range.m_high);
}

template<typename Item>
void keepSome(RandomEngine &random, std::vector<Item> &kept, const Item &item)
{
    if (kept.size() < EarlierKept)
        kept.push_back(item);
    else
        kept[random() % EarlierKept] = item;
}

} // namespace

LoadPlan::LoadPlan(const LoadOptions &options, size_t thread)
    : m_options(options)
    , m_random(options.m_seed + ThreadSeedStep * (thread + 1))
{ }

bool LoadPlan::next(PlannedRequest &request)
{
    request = {};
    if (m_options.m_closedLoops == 0 && !advance(request))
        return false;
    const auto byWeight = [](const LoadCustomer &customer) { return customer.m_weight; };
    request.m_customer =
        static_cast<uint16_t>(pickWeighted(m_random, m_options.m_customers, byWeight));
    request.m_priority = static_cast<uint8_t>(
        pickWeighted(m_random, m_options.m_priorityWeights, [](double weight) { return weight; }));
    if (m_options.m_serviceShare > 0 && uniform(m_random) < m_options.m_serviceShare)
        drawService(request);
    else
        drawPrompt(request);
    return true;
}

bool LoadPlan::advance(PlannedRequest &request)
{
    while (m_phase < m_options.m_phases.size()) {
        const LoadPhase &phase = m_options.m_phases[m_phase];
        const double rate = phase.m_rate / static_cast<double>(m_options.m_threads);
        const Duration end = m_phaseStart + phase.m_length;
        if (rate > 0) {
            const double gap = std::exponential_distribution<double>(rate)(m_random);
            m_now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
        }
        if (rate > 0 && m_now < end) {
            request.m_arrival = m_now;
            request.m_phase = static_cast<uint8_t>(m_phase);
            return true;
        }
        // The process has no memory: start afresh at the next phase's rate.
        m_now = end;
        m_phaseStart = end;
        ++m_phase;
    }
    return false;
}

void LoadPlan::drawPrompt(PlannedRequest &request)
{
    if (m_options.m_repeatShare > 0 && !m_earlier.empty()
        && uniform(m_random) < m_options.m_repeatShare) {
        const PlannedRequest &earlier = m_earlier[m_random() % m_earlier.size()];
        request.m_class = earlier.m_class;
        request.m_promptTokens = earlier.m_promptTokens;
        request.m_outputTokens = earlier.m_outputTokens;
        request.m_promptSeed = earlier.m_promptSeed;
        request.m_prefix = earlier.m_prefix;
        request.m_repeated = true;
        return;
    }
    request.m_promptTokens = drawLength(m_random, m_options.m_lengths);
    request.m_outputTokens = drawLength(m_random, m_options.m_outputs);
    request.m_promptSeed = m_random();
    request.m_class = classOfPrompt(request.m_promptTokens);
    if (m_options.m_prefixShare > 0 && uniform(m_random) < m_options.m_prefixShare)
        request.m_prefix = 1 + static_cast<uint32_t>(m_random() % m_options.m_prefixPool);
    if (m_options.m_repeatShare > 0)
        keepSome(m_random, m_earlier, request);
}

void LoadPlan::drawService(PlannedRequest &request)
{
    request.m_service = true;
    request.m_class = LoadClass::Service;
    if (!m_earlierKeys.empty() && uniform(m_random) < m_options.m_serviceRepeatShare) {
        request.m_idempotencyKey = m_earlierKeys[m_random() % m_earlierKeys.size()];
        request.m_repeated = true;
        return;
    }
    request.m_idempotencyKey = fmt::format("load-{:016x}", m_random());
    if (m_options.m_serviceRepeatShare > 0)
        keepSome(m_random, m_earlierKeys, request.m_idempotencyKey);
}

Duration planLength(const LoadOptions &options)
{
    Duration length{ 0 };
    for (const LoadPhase &phase : options.m_phases)
        length += phase.m_length;
    return length;
}

} // namespace stackquay
