#include "caraway_load/measures/fairness_gap.hpp"

#include <algorithm>

namespace caraway_load::measures
{

namespace
{

using place = std::vector<double>::const_iterator;

/// The difference between two workspaces' service as it changes over one interval, and the extremes
/// that it has reached. The largest difference over any part of the interval is between a minimum
/// and a maximum.
class difference
{
public:
    explicit difference(double start) : lowest_at_(start), highest_at_(start) {}

    void add(double change, double at)
    {
        now_ += change;
        if (now_ < lowest_)
        {
            lowest_ = now_;
            lowest_at_ = at;
        }
        if (now_ > highest_)
        {
            highest_ = now_;
            highest_at_ = at;
        }
    }

    double spread() const
    {
        return highest_ - lowest_;
    }
    /// The first workspace gained on the second.
    bool rising() const
    {
        return lowest_at_ <= highest_at_;
    }
    interval when() const
    {
        return {.from_s = std::min(lowest_at_, highest_at_),
                .to_s = std::max(lowest_at_, highest_at_)};
    }

private:
    double now_ = 0;
    double lowest_ = 0;
    double highest_ = 0;
    double lowest_at_;
    double highest_at_;
};

difference difference_over(const workspace_service& a, const workspace_service& b,
                           const interval& when)
{
    difference gap(when.from_s);
    auto next_a = std::lower_bound(a.token_s.begin(), a.token_s.end(), when.from_s);
    auto next_b = std::lower_bound(b.token_s.begin(), b.token_s.end(), when.from_s);
    const auto due = [&when](place next, const workspace_service& one)
    {
        return next != one.token_s.end() && *next < when.to_s;
    };
    while (due(next_a, a) || due(next_b, b))
    {
        if (!due(next_b, b) || (due(next_a, a) && *next_a <= *next_b))
        {
            gap.add(1 / a.share, *next_a);
            ++next_a;
            continue;
        }
        gap.add(-1 / b.share, *next_b);
        ++next_b;
    }
    return gap;
}

}  // namespace

fairness_gap gap_of_pair(const std::vector<workspace_service>& all, std::size_t a, std::size_t b,
                         const interval& within)
{
    fairness_gap largest;
    const auto common = intersection_of(all[a].backlogged, all[b].backlogged);
    for (const interval& when : clipped(common, within))
    {
        const difference gap = difference_over(all[a], all[b], when);
        if (gap.spread() > largest.tokens)
        {
            largest = {.tokens = gap.spread(),
                       .more = gap.rising() ? a : b,
                       .less = gap.rising() ? b : a,
                       .when = gap.when()};
        }
    }
    return largest;
}

fairness_gap largest_gap(const std::vector<workspace_service>& all, const interval& within)
{
    fairness_gap largest;
    for (std::size_t a = 0; a < all.size(); ++a)
    {
        for (std::size_t b = a + 1; b < all.size(); ++b)
        {
            const fairness_gap one = gap_of_pair(all, a, b, within);
            largest = one.tokens > largest.tokens ? one : largest;
        }
    }
    return largest;
}

}  // namespace caraway_load::measures
