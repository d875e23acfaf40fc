#include "policy/cost_model.h"

#include <algorithm>

namespace stackquay {

namespace {

using FloatMicros = std::chrono::duration<double, std::micro>;

// Divisors that bring each feature to the order of magnitude of one.
constexpr double TokenScale = 1'000;
constexpr double ContextScale = 100'000;
constexpr double BatchScale = 16;

// Initial weights in microseconds for a model without samples. Their large covariance lets a few
// samples replace them.
constexpr std::array<double, 4> DefaultPrefill = { 2'000, 50'000, 10'000, 0 };
constexpr std::array<double, 2> DefaultDecode = { 10'000, 2'000 };
constexpr double DefaultCovariance = 1'000;
constexpr double SiblingCovariance = 1;

Features<4> prefillFeatures(const PrefillWork &work)
{
    const double tokens = static_cast<double>(work.m_uncachedTokens) / TokenScale;
    // Mean number of earlier tokens that attention reads for each prefilled token.
    const double context =
        static_cast<double>(work.m_cachedTokens) + static_cast<double>(work.m_uncachedTokens) / 2;
    const double batch = static_cast<double>(work.m_batch) / BatchScale;
    return { 1, tokens, tokens * context / ContextScale, tokens * batch };
}

Features<2> decodeFeatures(uint32_t batch)
{
    return { 1, static_cast<double>(batch) / BatchScale };
}

Duration toDuration(double micros)
{
    return std::chrono::duration_cast<Duration>(FloatMicros(std::max(0.0, micros)));
}

template<size_t N>
LeastSquares<N> siblingPrior(std::span<const CostModel> siblings, const std::string &version,
                             LeastSquares<N> CostModel::*part,
                             const std::array<double, N> &defaults)
{
    std::array<double, N> sum{};
    double samples = 0;
    for (const auto &sibling : siblings) {
        const auto &model = sibling.*part;
        if (sibling.m_version != version || model.m_samples == 0)
            continue;
        const auto weight = static_cast<double>(std::min<uint64_t>(model.m_samples, 1'000));
        for (size_t i = 0; i < N; ++i)
            sum[i] += weight * model.m_weights[i];
        samples += weight;
    }
    if (samples == 0)
        return leastSquaresPrior(defaults, DefaultCovariance);
    for (auto &weight : sum)
        weight /= samples;
    return leastSquaresPrior(sum, SiblingCovariance);
}

/// Adds a sample scaled down by its size, so that the fit minimizes the relative error. The sizes
/// of prefills differ by orders of magnitude, and the absolute errors of long ones would dominate.
void observeRelative(LeastSquares<4> &model, Features<4> features, double micros)
{
    const double size = 1 + features[1];
    for (auto &feature : features)
        feature /= size;
    observe(model, features, micros / size);
}

} // namespace

CostModel coldStartCostModel(std::string version, std::span<const CostModel> siblings)
{
    CostModel model;
    model.m_prefill = siblingPrior(siblings, version, &CostModel::m_prefill, DefaultPrefill);
    model.m_decode = siblingPrior(siblings, version, &CostModel::m_decode, DefaultDecode);
    model.m_version = std::move(version);
    return model;
}

bool resetForVersion(CostModel &model, const std::string &version,
                     std::span<const CostModel> siblings)
{
    if (model.m_version == version)
        return false;
    model = coldStartCostModel(version, siblings);
    return true;
}

void observePrefill(CostModel &model, const PrefillWork &work, Duration taken)
{
    if (work.m_uncachedTokens == 0 || taken < Duration::zero())
        return;
    observeRelative(model.m_prefill, prefillFeatures(work), FloatMicros(taken).count());
}

void observeDecodeStep(CostModel &model, uint32_t batch, Duration taken)
{
    if (batch == 0 || taken < Duration::zero())
        return;
    observe(model.m_decode, decodeFeatures(batch), FloatMicros(taken).count());
}

Duration predictPrefill(const CostModel &model, const PrefillWork &work)
{
    return toDuration(predict(model.m_prefill, prefillFeatures(work)));
}

Duration predictDecodeStep(const CostModel &model, uint32_t batch)
{
    return toDuration(predict(model.m_decode, decodeFeatures(batch)));
}

Duration predictTtft(const CostModel &model, const EndpointQueue &queue, uint64_t uncachedTokens,
                     uint64_t cachedTokens)
{
    const auto prefill = predictPrefill(model, { uncachedTokens, cachedTokens, queue.m_batch });
    return queue.m_prefillAhead + prefill + predictDecodeStep(model, queue.m_batch + 1);
}

} // namespace stackquay
