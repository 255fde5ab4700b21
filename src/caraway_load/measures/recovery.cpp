#include "caraway_load/measures/recovery.hpp"

#include <algorithm>

namespace caraway_load::measures
{

namespace
{

/// `windows` are in order; `good` tells of each whether its value is, `passed` when a bad one is
/// over.
template <class Windows, class Good, class Passed>
std::optional<double> time_until(const Windows& windows, const interval& after, Good good,
                                 Passed passed)
{
    double bad_until = after.from_s;
    bool last_good = true;
    for (const auto& window : windows)
    {
        const bool concerned = window.when.to_s > after.from_s && window.when.to_s <= after.to_s;
        if (!concerned)
        {
            continue;
        }
        last_good = good(window);
        bad_until = last_good ? bad_until : passed(window);
    }
    return last_good ? std::optional(std::max(bad_until - after.from_s, 0.0)) : std::nullopt;
}

}  // namespace

std::vector<window_value> gap_over_time(const std::vector<workspace_service>& all,
                                        const interval& within, double window_s, double step_s)
{
    std::vector<window_value> values;
    for (int i = 0; within.from_s + i * step_s + window_s <= within.to_s; ++i)
    {
        const double from = within.from_s + i * step_s;
        const interval when{.from_s = from, .to_s = from + window_s};
        values.push_back({.when = when, .value = largest_gap(all, when).tokens});
    }
    return values;
}

std::optional<double> time_until_below(const std::vector<window_value>& values, double limit,
                                       const interval& after)
{
    // Windows overlap: the disturbance that shows in the last bad one lies before the next begins.
    const double step =
        values.size() > 1 ? values[1].when.from_s - values[0].when.from_s : after.length();
    return time_until(
        values, after, [limit](const window_value& window) { return window.value <= limit; },
        [step](const window_value& window) { return window.when.from_s + step; });
}

std::optional<double> time_until_above(const std::vector<utilisation_bin>& bins, double limit,
                                       const interval& after)
{
    return time_until(
        bins, after, [limit](const utilisation_bin& bin) { return bin.used.ratio() >= limit; },
        [](const utilisation_bin& bin) { return bin.when.to_s; });
}

}  // namespace caraway_load::measures
