#include "caraway_load/measures/percentiles.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace caraway_load::measures
{

distribution distribution_of(std::vector<double> values)
{
    if (values.empty())
    {
        return {};
    }
    std::sort(values.begin(), values.end());
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    return {.count = values.size(),
            .mean = sum / static_cast<double>(values.size()),
            .median = percentile(values, 0.5),
            .p95 = percentile(values, 0.95),
            .p99 = percentile(values, 0.99),
            .largest = values.back()};
}

double percentile(const std::vector<double>& sorted, double part)
{
    const double rank = std::ceil(part * static_cast<double>(sorted.size()));
    const auto place = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return sorted[std::min(place, sorted.size() - 1)];
}

}  // namespace caraway_load::measures
