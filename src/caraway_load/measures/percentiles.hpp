#pragma once

#include <cstddef>
#include <vector>

namespace caraway_load::measures
{

/// How a quantity was spread; all 0 when there was nothing.
struct distribution
{
    std::size_t count = 0;
    double mean = 0;
    double median = 0;
    double p95 = 0;
    double p99 = 0;
    double largest = 0;
};

distribution distribution_of(std::vector<double> values);

/// The smallest value that at least `part` of the values don't exceed. `sorted` isn't empty.
double percentile(const std::vector<double>& sorted, double part);

}  // namespace caraway_load::measures
