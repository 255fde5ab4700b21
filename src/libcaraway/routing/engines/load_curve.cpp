#include "libcaraway/routing/engines/load_curve.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::routing::engines
{

namespace
{

/// Weight of the samples below which nothing is expected.
constexpr double min_weight = 4;
/// Variance of the running requests below which the slope is too uncertain to be used.
constexpr double min_variance = 0.5;
/// Bounds of the expected time, relative to the mean of the samples.
constexpr double min_relative_time = 0.3;
constexpr double max_relative_time = 3;

}  // namespace

void load_curve::add(double running, double milliseconds, double weight, base::time_point now)
{
    apply_decay(now);
    weight_ += weight;
    running_ += weight * running;
    milliseconds_ += weight * milliseconds;
    running_squared_ += weight * running * running;
    product_ += weight * running * milliseconds;
}

double load_curve::expected_ms(double running) const
{
    if (weight_ < min_weight)
    {
        return 0;
    }
    const double mean_running = running_ / weight_;
    const double mean_ms = milliseconds_ / weight_;
    const double variance = running_squared_ / weight_ - mean_running * mean_running;
    const double covariance = product_ / weight_ - mean_running * mean_ms;
    const double slope = variance < min_variance ? 0 : std::max(0.0, covariance / variance);
    return std::clamp(mean_ms + slope * (running - mean_running), min_relative_time * mean_ms,
                      max_relative_time * mean_ms);
}

void load_curve::apply_decay(base::time_point now)
{
    if (now <= updated_)
    {
        return;
    }
    const double half_lives =
        std::chrono::duration<double>(now - updated_) / std::chrono::duration<double>(half_life_);
    const double decay = std::exp2(-half_lives);
    weight_ *= decay;
    running_ *= decay;
    milliseconds_ *= decay;
    running_squared_ *= decay;
    product_ *= decay;
    updated_ = now;
}

}  // namespace caraway::routing::engines
