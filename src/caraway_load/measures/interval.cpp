#include "caraway_load/measures/interval.hpp"

#include <algorithm>

namespace caraway_load::measures
{

intervals union_of(intervals parts)
{
    std::sort(parts.begin(), parts.end(),
              [](const interval& a, const interval& b) { return a.from_s < b.from_s; });
    intervals joined;
    for (const interval& part : parts)
    {
        if (part.to_s <= part.from_s)
        {
            continue;
        }
        if (!joined.empty() && part.from_s <= joined.back().to_s)
        {
            joined.back().to_s = std::max(joined.back().to_s, part.to_s);
            continue;
        }
        joined.push_back(part);
    }
    return joined;
}

intervals intersection_of(const intervals& a, const intervals& b)
{
    intervals common;
    auto left = a.begin();
    auto right = b.begin();
    while (left != a.end() && right != b.end())
    {
        const interval both{.from_s = std::max(left->from_s, right->from_s),
                            .to_s = std::min(left->to_s, right->to_s)};
        if (both.from_s < both.to_s)
        {
            common.push_back(both);
        }
        left->to_s < right->to_s ? ++left : ++right;
    }
    return common;
}

intervals clipped(const intervals& all, const interval& within)
{
    return intersection_of(all, {within});
}

double total_length(const intervals& all)
{
    double sum = 0;
    for (const interval& one : all)
    {
        sum += one.length();
    }
    return sum;
}

}  // namespace caraway_load::measures
