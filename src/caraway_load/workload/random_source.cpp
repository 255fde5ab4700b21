#include "caraway_load/workload/random_source.hpp"

#include <cmath>
#include <numbers>
#include <numeric>

namespace caraway_load::workload
{

random_source::random_source(std::uint64_t seed) : bits_(seed) {}

double random_source::uniform()
{
    constexpr int unused_bits = 11;
    constexpr double step = 0x1.0p-53;
    return static_cast<double>(bits_() >> unused_bits) * step;
}

double random_source::exponential()
{
    return -std::log1p(-uniform());
}

double random_source::normal()
{
    const double radius = std::sqrt(2 * exponential());
    return radius * std::cos(2 * std::numbers::pi * uniform());
}

std::size_t random_source::pick(const std::vector<double>& weights)
{
    double left = uniform() * std::accumulate(weights.begin(), weights.end(), 0.0);
    for (std::size_t i = 0; i + 1 < weights.size(); ++i)
    {
        left -= weights[i];
        if (left < 0)
        {
            return i;
        }
    }
    return weights.empty() ? 0 : weights.size() - 1;
}

std::uint64_t mixed_seed(std::uint64_t seed, std::uint64_t stream)
{
    // The finaliser of SplitMix64.
    std::uint64_t mixed = seed + (stream + 1) * 0x9e3779b97f4a7c15ULL;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

}  // namespace caraway_load::workload
