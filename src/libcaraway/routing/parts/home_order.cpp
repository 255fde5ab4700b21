#include "libcaraway/routing/parts/home_order.hpp"

#include "libcaraway/routing/parts/part_homes.hpp"
#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace caraway::routing::parts
{

namespace
{

using scheduling::combine;

/// Bounds of a weight: an engine that seems faster or slower than that is being estimated wrongly.
constexpr double min_weight = 0.25;
constexpr double max_weight = 4;
/// Weights are powers of two to multiples of 1 / this.
constexpr double weight_steps_per_doubling = 4;

/// Uniform in (0, 1).
double unit_of(std::uint64_t hash)
{
    constexpr int unused_bits = 11;
    return (static_cast<double>(hash >> unused_bits) + 0.5) * 0x1p-53;
}

/// Lower is earlier in the order.
double rank_of(std::uint64_t hash, double weight)
{
    return -std::log(unit_of(hash)) / weight;
}

std::pair<std::size_t, std::size_t> two_highest_even(std::uint64_t part,
                                                     const std::vector<const upstream*>& candidates)
{
    std::size_t first = prompt_homes::none;
    std::size_t second = prompt_homes::none;
    std::uint64_t highest = 0;
    std::uint64_t next = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        const auto hash = combine(part, candidates[index]->hash);
        if (first == prompt_homes::none || hash > highest)
        {
            second = first;
            next = highest;
            first = index;
            highest = hash;
        }
        else if (second == prompt_homes::none || hash > next)
        {
            second = index;
            next = hash;
        }
    }
    return {first, second};
}

}  // namespace

double rounded_weight(double relative_throughput)
{
    if (!std::isfinite(relative_throughput) || relative_throughput <= 0)
    {
        return 1;
    }
    const double bounded = std::clamp(relative_throughput, min_weight, max_weight);
    return std::exp2(std::round(std::log2(bounded) * weight_steps_per_doubling) /
                     weight_steps_per_doubling);
}

std::pair<std::size_t, std::size_t> two_highest(std::uint64_t part,
                                                const std::vector<const upstream*>& candidates,
                                                const std::vector<double>& weights)
{
    if (weights.empty())
    {
        return two_highest_even(part, candidates);
    }
    std::size_t first = prompt_homes::none;
    std::size_t second = prompt_homes::none;
    double lowest = std::numeric_limits<double>::infinity();
    double next = lowest;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        const auto hash = combine(part, candidates[index]->hash);
        // -ln(u) is at least 1 - u: saves most logarithms.
        if ((1 - unit_of(hash)) / weights[index] >= next)
        {
            continue;
        }
        const auto rank = rank_of(hash, weights[index]);
        if (rank < lowest)
        {
            second = first;
            next = lowest;
            first = index;
            lowest = rank;
        }
        else if (rank < next)
        {
            second = index;
            next = rank;
        }
    }
    return {first, second};
}

std::vector<std::size_t> home_order(std::uint64_t part,
                                    const std::vector<const upstream*>& candidates,
                                    const std::vector<double>& weights)
{
    std::vector<std::pair<double, std::uint64_t>> ranks;
    ranks.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        const auto hash = combine(part, candidates[index]->hash);
        ranks.emplace_back(weights.empty() ? 0 : rank_of(hash, weights[index]), hash);
    }
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b)
                     {
                         return ranks[a].first != ranks[b].first
                                    ? ranks[a].first < ranks[b].first
                                    : ranks[a].second > ranks[b].second;
                     });
    return order;
}

}  // namespace caraway::routing::parts
