#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace caraway_load::workload
{

/// Random numbers that are the same for the same seed on every machine: the standard's generator,
/// with distributions of our own, since the standard leaves its own to the library.
class random_source
{
public:
    explicit random_source(std::uint64_t seed);

    /// Evenly spread in [0, 1).
    double uniform();
    /// Of mean 1: the time between arrivals of a Poisson process.
    double exponential();
    double normal();
    /// An index, each as likely as its weight says.
    std::size_t pick(const std::vector<double>& weights);

private:
    std::mt19937_64 bits_;
};

/// One seed out of two, so that each workspace has its own sequence.
std::uint64_t mixed_seed(std::uint64_t seed, std::uint64_t stream);

}  // namespace caraway_load::workload
