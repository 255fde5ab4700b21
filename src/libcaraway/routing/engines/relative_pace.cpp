#include "libcaraway/routing/engines/relative_pace.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::routing::engines
{

namespace
{

/// Upstreams with less weight than this are dropped, and with them the removed ones.
constexpr double min_weight = 0.05;
/// Records are rounded to multiples of 1 / 64, which CBOR encodes in few bytes.
constexpr double encoded_steps = 64;
/// The mean of fewer upstreams says little about one of them.
constexpr std::size_t min_upstreams_for_mean = 3;

bool is_positive(double value)
{
    return std::isfinite(value) && value > 0;
}

double round_for_message(double value)
{
    return std::round(value * encoded_steps) / encoded_steps;
}

}  // namespace

void relative_pace::weighted_sum::add(double ratio, double added_weight)
{
    relative_time += ratio * added_weight;
    weight += added_weight;
}

void relative_pace::weighted_sum::scale(double factor)
{
    relative_time *= factor;
    weight *= factor;
}

relative_pace::relative_pace(relative_pace_options options) : options_(options) {}

void relative_pace::record(const pace_sample& sample, base::time_point now)
{
    const bool is_valid = is_positive(sample.milliseconds) && is_positive(sample.weight) &&
                          std::isfinite(sample.running) && sample.running >= 0;
    if (!is_valid)
    {
        return;
    }
    auto& curve = expected_.try_emplace(sample.service, options_.half_life).first->second;
    const double expected = curve.expected_ms(sample.running);
    if (expected <= 0)
    {
        curve.add(sample.running, sample.milliseconds, sample.weight, now);
        return;
    }
    const double ratio =
        std::clamp(sample.milliseconds / expected, 1 / options_.max_ratio, options_.max_ratio);
    curve.add(sample.running, ratio * expected, sample.weight, now);
    if (auto* known = find_or_add(sample.upstream, now))
    {
        known->total.add(ratio, sample.weight);
        known->untold.add(ratio, sample.weight);
    }
}

void relative_pace::merge(const pace_records& records, base::time_point now)
{
    std::size_t accepted = 0;
    for (const auto& [id, record] : records)
    {
        if (!is_positive(record.milliseconds) || !is_positive(record.units))
        {
            continue;
        }
        if (++accepted > options_.max_peer_records)
        {
            return;
        }
        const double ratio = std::clamp(record.milliseconds / record.units, 1 / options_.max_ratio,
                                        options_.max_ratio);
        if (auto* known = find_or_add(id, now))
        {
            known->total.add(ratio, std::min(record.units, options_.max_peer_weight));
        }
    }
}

pace_records relative_pace::take_untold(base::time_point now)
{
    pace_records out;
    for (auto& [id, known] : known_)
    {
        apply_decay(known, now);
        auto& untold = known.untold;
        if (untold.weight < 1)
        {
            continue;
        }
        const weighted_sum told{.relative_time = known.total.relative_time - untold.relative_time,
                                .weight = known.total.weight - untold.weight};
        const double ratio = untold.relative_time / untold.weight;
        const double deviation = std::abs(ratio / estimate(told) - 1);
        if (deviation * std::sqrt(untold.weight) < options_.min_told_deviation)
        {
            continue;
        }
        out[id] = {.milliseconds = round_for_message(untold.relative_time),
                   .units = round_for_message(untold.weight)};
        untold = {};
    }
    return out;
}

void relative_pace::refresh(base::time_point now)
{
    for (auto& [id, known] : known_)
    {
        apply_decay(known, now);
    }
    std::erase_if(known_, [](const auto& entry) { return entry.second.total.weight < min_weight; });
    slowness_.clear();
    const double mean = mean_estimate();
    for (const auto& [id, known] : known_)
    {
        const double relative = estimate(known.total) / mean;
        const bool is_average =
            relative < 1 + options_.tolerance && relative > 1 / (1 + options_.tolerance);
        if (!is_average)
        {
            slowness_[id] = relative;
        }
    }
}

void relative_pace::forget(const base::upstream_id& id)
{
    known_.erase(id);
    slowness_.erase(id);
}

double relative_pace::slowness(const base::upstream_id& id) const
{
    const auto found = slowness_.find(id);
    return found == slowness_.end() ? 1 : found->second;
}

relative_pace::known_upstream* relative_pace::find_or_add(const base::upstream_id& id,
                                                          base::time_point now)
{
    auto found = known_.find(id);
    if (found == known_.end())
    {
        if (known_.size() >= options_.max_upstreams)
        {
            return nullptr;
        }
        found = known_.try_emplace(id).first;
        found->second.updated = now;
    }
    apply_decay(found->second, now);
    return &found->second;
}

void relative_pace::apply_decay(known_upstream& known, base::time_point now) const
{
    if (now <= known.updated)
    {
        return;
    }
    const double half_lives = std::chrono::duration<double>(now - known.updated) /
                              std::chrono::duration<double>(options_.half_life);
    const double decay = std::exp2(-half_lives);
    known.total.scale(decay);
    known.untold.scale(decay);
    known.updated = now;
}

double relative_pace::estimate(const weighted_sum& sum) const
{
    return (sum.relative_time + options_.prior_weight) / (sum.weight + options_.prior_weight);
}

double relative_pace::mean_estimate() const
{
    if (known_.size() < min_upstreams_for_mean)
    {
        return 1;
    }
    double sum = 0;
    for (const auto& [id, known] : known_)
    {
        sum += estimate(known.total);
    }
    return sum / static_cast<double>(known_.size());
}

}  // namespace caraway::routing::engines
