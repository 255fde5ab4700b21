#include "libcaraway/routing/shares/share_limit.hpp"

#include "libcaraway/routing/shares/max_min.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::routing::shares
{

namespace
{

/// Part of the engines below which nothing is limited: what they serve then says little of what
/// they could.
constexpr double min_occupancy = 0.1;
/// Bound on the mean that what is served is divided by.
constexpr double min_mean_occupancy = 0.02;
/// Bounds on the correction of what engines are expected to serve.
constexpr double min_correction = 0.3;
constexpr double max_correction = 2;

double total_serving_rate(const workspace_usages& usages)
{
    double sum = 0;
    for (const auto& [id, usage] : usages)
    {
        sum += usage.serving_rate;
    }
    return sum;
}

std::vector<weighted_demand> even_demands(const workspace_tokens& tokens)
{
    std::vector<weighted_demand> demands;
    demands.reserve(tokens.size());
    for (const auto& [id, demanded] : tokens)
    {
        demands.push_back({.demand = demanded});
    }
    return demands;
}

}  // namespace

void share_limit::record_rates(double serving_rate, base::time_point now,
                               const share_options& options)
{
    using real_seconds = std::chrono::duration<double>;
    const auto elapsed = std::max(real_seconds(0), real_seconds(now - last_update_));
    last_update_ = now;
    const double kept = std::exp(-(elapsed / real_seconds(options.engine_memory)));
    mean_serving_rate_ = serving_rate + (mean_serving_rate_ - serving_rate) * kept;
    mean_occupancy_ = occupancy_ + (mean_occupancy_ - occupancy_) * kept;
}

/// Tokens within the window that engines serve when `aim` of them is taken.
double share_limit::attainable(double aim, const share_options& options) const
{
    const double window_seconds = std::chrono::duration<double>(options.window).count();
    const double of_all = mean_serving_rate_ / std::max(min_mean_occupancy, mean_occupancy_);
    const double highest = is_finite() ? max_correction : 1;
    const double correction =
        std::clamp(1 + options.fullness_gain * (1 - occupancy_ / aim), min_correction, highest);
    return std::max(1.0, window_seconds * of_all * aim * correction);
}

void share_limit::update(const workspace_usages& usages, const workspace_tokens& demands,
                         double configured, base::time_point now, const share_options& options)
{
    record_rates(total_serving_rate(usages), now, options);
    weights_.clear();
    held_back_.clear();
    ceiling_ = std::numeric_limits<double>::infinity();
    if (std::max(occupancy_, mean_occupancy_) < min_occupancy)
    {
        even_ = level_ = std::numeric_limits<double>::infinity();
        return;
    }
    const auto even = even_demands(demands);
    const double entitled = max_min_level(even, std::max(1.0, configured));
    const double within = attainable(options.fullness_within, options);
    const double beyond = attainable(options.fullness_beyond, options);
    // Up to the configured share engines are filled; beyond it a part of them is kept free.
    even_ = std::max(max_min_level(even, beyond), std::min(max_min_level(even, within), entitled));
    level_ = even_;
    if (is_finite())
    {
        weigh(usages, demands, options);
        set_ceiling(usages, entitled, options);
    }
}

/// Divides the sum of the even limits by weights that make up for what each was served of late.
void share_limit::weigh(const workspace_usages& usages, const workspace_tokens& demands,
                        const share_options& options)
{
    std::vector<weighted_demand> weighted;
    weighted.reserve(usages.size());
    double capacity = 0;
    for (const auto& [id, usage] : usages)
    {
        const double behind = 1 - usage.served / even_;
        const double weight =
            std::clamp(1 + options.catch_up * behind, options.min_weight, 1 + options.catch_up);
        weights_[id] = weight;
        const double demanded = demands.at(id);
        weighted.push_back({.demand = demanded, .weight = weight});
        capacity += std::min(demanded, even_);
    }
    level_ = std::min(max_min_level(weighted, capacity), max_correction * even_);
}

/// Workspaces that ask little by their configured share bound nobody: engines would idle for them.
void share_limit::set_ceiling(const workspace_usages& usages, double entitled,
                              const share_options& options)
{
    const double least_demand = std::min(entitled, even_) / 4;
    for (const auto& [id, usage] : usages)
    {
        const bool waits = usage.refused > options.waiting_above * usage.demanded;
        const bool processor_bound = usage.held_by_processor > usage.refused / 2;
        if (waits && processor_bound && usage.demanded > least_demand)
        {
            held_back_.insert(id);
            ceiling_ = std::min(ceiling_, options.max_gap * std::max(1.0, usage.served));
        }
    }
}

double share_limit::of(const base::workspace_id& id) const
{
    const auto found = weights_.find(id);
    const double weight = found == weights_.end() ? 1 : found->second;
    return std::min(ceiling(id), level_ * weight);
}

double share_limit::ceiling(const base::workspace_id& id) const
{
    return held_back_.contains(id) ? std::numeric_limits<double>::infinity() : ceiling_;
}

bool share_limit::is_finite() const
{
    return !std::isinf(even_);
}

}  // namespace caraway::routing::shares
