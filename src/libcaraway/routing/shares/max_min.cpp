#include "libcaraway/routing/shares/max_min.hpp"

#include <algorithm>
#include <limits>

namespace caraway::routing::shares
{

double max_min_level(std::vector<weighted_demand> demands, double capacity)
{
    std::sort(demands.begin(), demands.end(),
              [](const auto& a, const auto& b)
              { return a.demand / a.weight < b.demand / b.weight; });
    double remaining = capacity;
    double remaining_weight = 0;
    for (const auto& each : demands)
    {
        remaining_weight += each.weight;
    }
    for (const auto& each : demands)
    {
        const double level = remaining / remaining_weight;
        if (each.demand >= level * each.weight)
        {
            return level;
        }
        remaining -= each.demand;
        remaining_weight -= each.weight;
    }
    return std::numeric_limits<double>::infinity();
}

}  // namespace caraway::routing::shares
