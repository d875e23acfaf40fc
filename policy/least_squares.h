/// Recursive least squares with exponential forgetting, for small fixed sets of features.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace stackquay {

/// A linear model y = sum(weight * feature) that is fitted one sample at a time.
template<size_t N>
struct LeastSquares {
    std::array<double, N> m_weights{};
    std::array<std::array<double, N>, N> m_covariance{};
    double m_deviation = 0; ///< Running mean of the absolute error.
    uint64_t m_samples = 0;
};

struct LeastSquaresSettings {
    double m_forgetting = 0.99; ///< Weight of the past for each new sample.
    double m_maxCovariance = 1e4; ///< Bounds the growth while the features do not vary.
    double m_outlierDeviations = 4; ///< Errors count up to this many mean deviations.
    uint64_t m_trustAfter = 8; ///< Samples before outliers are bounded.
};

template<size_t N>
using Features = std::array<double, N>;

/// A model with given weights and uncertainty: the larger, the faster samples replace the weights.
template<size_t N>
LeastSquares<N> leastSquaresPrior(const std::array<double, N> &weights, double covariance)
{
    LeastSquares<N> model;
    model.m_weights = weights;
    for (size_t i = 0; i < N; ++i)
        model.m_covariance[i][i] = covariance;
    return model;
}

/// The predicted value. Negative weights count as zero, as more work never takes less time.
template<size_t N>
double predict(const LeastSquares<N> &model, const Features<N> &features)
{
    double value = 0;
    for (size_t i = 0; i < N; ++i)
        value += std::max(0.0, model.m_weights[i]) * features[i];
    return value;
}

namespace detail {

template<size_t N>
double boundedError(LeastSquares<N> &model, double error, const LeastSquaresSettings &settings)
{
    constexpr double DeviationGain = 0.1;
    const double bound = settings.m_outlierDeviations * model.m_deviation;
    const bool trusted = model.m_samples > settings.m_trustAfter && bound > 0;
    const double bounded = trusted ? std::clamp(error, -bound, bound) : error;
    const double gain = std::max(DeviationGain, 1.0 / static_cast<double>(model.m_samples));
    model.m_deviation += gain * (std::abs(bounded) - model.m_deviation);
    return bounded;
}

template<size_t N>
bool covarianceWithin(const LeastSquares<N> &model, double limit)
{
    for (size_t i = 0; i < N; ++i) {
        if (model.m_covariance[i][i] > limit)
            return false;
    }
    return true;
}

} // namespace detail

/// Fits the model to one sample. A value that is not finite is ignored.
template<size_t N>
void observe(LeastSquares<N> &model, const Features<N> &features, double value,
             const LeastSquaresSettings &settings = {})
{
    if (!std::isfinite(value))
        return;
    std::array<double, N> projected{};
    double scale = 1;
    double raw = 0;
    for (size_t i = 0; i < N; ++i) {
        for (size_t j = 0; j < N; ++j)
            projected[i] += model.m_covariance[i][j] * features[j];
        raw += model.m_weights[i] * features[i];
    }
    const bool mayForget = detail::covarianceWithin(model, settings.m_maxCovariance);
    const double forgetting = mayForget ? settings.m_forgetting : 1.0;
    for (size_t i = 0; i < N; ++i)
        scale += features[i] * projected[i] / forgetting;
    ++model.m_samples;
    const double error = detail::boundedError(model, value - raw, settings);
    for (size_t i = 0; i < N; ++i) {
        const double gain = projected[i] / forgetting / scale;
        model.m_weights[i] += gain * error;
        for (size_t j = 0; j < N; ++j) {
            model.m_covariance[i][j] =
                (model.m_covariance[i][j] - gain * projected[j]) / forgetting;
        }
    }
}

} // namespace stackquay
