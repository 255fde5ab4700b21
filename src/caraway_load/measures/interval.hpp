#pragma once

#include <vector>

namespace caraway_load::measures
{

/// From one instant up to another, in seconds since the run's start.
struct interval
{
    double from_s = 0;
    double to_s = 0;

    double length() const
    {
        return to_s - from_s;
    }
    friend bool operator==(const interval&, const interval&) = default;
};

using intervals = std::vector<interval>;

/// When at least one of these was going on. In order, without overlaps.
intervals union_of(intervals parts);
/// When both were going on; each in order, without overlaps.
intervals intersection_of(const intervals& a, const intervals& b);
/// What of `all` lies inside `within`.
intervals clipped(const intervals& all, const interval& within);
double total_length(const intervals& all);

}  // namespace caraway_load::measures
