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
    uint64_t m_samples = 0; ///< Number of samples so far.
};

struct LeastSquaresSettings {
    double m_forgetting = 0.99; ///< Factor on the weight of all older samples at each new one.
    double m_maxCovariance = 1e4; ///< No forgetting above this, so that the covariance stays finite
                                  ///< while the features do not vary.
    double m_outlierDeviations = 4; ///< Errors are clamped to this many mean deviations.
    uint64_t m_trustAfter = 8; ///< Number of samples after which errors are clamped.
};

template<size_t N>
using Features = std::array<double, N>;

/// A model with the given weights. The larger @p covariance, the faster samples replace the
/// weights.
template<size_t N>
LeastSquares<N> leastSquaresPrior(const std::array<double, N> &weights, double covariance)
{
    LeastSquares<N> model;
    model.m_weights = weights;
    for (size_t i = 0; i < N; ++i)
        model.m_covariance[i][i] = covariance;
    return model;
}

/// The predicted value. Negative weights count as zero, because more work never takes less time.
template<size_t N>
double predict(const LeastSquares<N> &model, const Features<N> &features)
{
    double value = 0;
    for (size_t i = 0; i < N; ++i)
        value += std::max(0.0, model.m_weights[i]) * features[i];
    return value;
}

namespace detail {

/// Clamps @p error if it is an outlier, updates the mean deviation, and returns the clamped error.
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

/// Whether all variances (the diagonal of the covariance) are at most @p limit.
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

/// Updates the model by one sample. Ignores a value that is not finite.
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
