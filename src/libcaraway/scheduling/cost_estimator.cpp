#include "libcaraway/scheduling/cost_estimator.hpp"

#include <algorithm>

namespace caraway::scheduling
{

namespace
{

/// Weight of the latest request in the moving averages. Costs are heavy-tailed: with a larger
/// weight, a single long answer distorts the estimates of the next ten requests.
constexpr double learning_rate = 0.05;
/// Bounds of the correction, and of the ratio observed for one request.
constexpr double min_ratio = 0.05;
constexpr double max_ratio = 20;

base::cost hint_or_fallback(base::cost hint, base::cost fallback)
{
    return hint.value() > 0 ? hint : fallback;
}

}  // namespace

cost_estimator::cost_estimator(double advance_share) : advance_share_(advance_share) {}

base::cost cost_estimator::estimate(const account& key, base::cost hint, base::cost fallback) const
{
    const auto found = ratios_.find(key);
    const double ratio = found == ratios_.end() ? 1 : found->second;
    return hint_or_fallback(hint, fallback) * ratio;
}

base::cost cost_estimator::charge(const base::service_id& service, base::cost estimate,
                                  base::cost streamed, base::cost fallback) const
{
    const auto found = means_.find(service);
    const auto mean = found == means_.end() ? fallback : found->second;
    const base::cost remaining = std::max(estimate - streamed, base::cost{});
    return streamed + std::min(remaining, mean * advance_share_);
}

void cost_estimator::record_cost(const account& key, base::cost hint, base::cost fallback,
                                 base::cost actual)
{
    const double observed =
        std::clamp(actual.value() / hint_or_fallback(hint, fallback).value(), min_ratio, max_ratio);
    auto& ratio = ratios_.emplace(key, 1.0).first->second;
    ratio += learning_rate * (observed - ratio);
    auto& mean = means_.emplace(key.service, fallback).first->second;
    mean += (actual - mean) * learning_rate;
}

}  // namespace caraway::scheduling
