#pragma once

#include <vector>

namespace caraway::routing::shares
{

struct weighted_demand
{
    double demand = 0;
    /// Above 0.
    double weight = 1;
};

/// Returns the level at which all demands, each cut to the level times its weight, fit into
/// `capacity`; infinite if all fit uncut.
double max_min_level(std::vector<weighted_demand> demands, double capacity);

}  // namespace caraway::routing::shares
