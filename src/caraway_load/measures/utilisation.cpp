#include "caraway_load/measures/utilisation.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace caraway_load::measures
{

namespace
{

constexpr double ms_per_second = 1000;

/// What one engine did between two samples of the same life of its process.
struct span
{
    interval when;
    double busy_slot_s = 0;
    double slot_s = 0;
};

std::vector<span> spans_of(const std::vector<engine_sample>& samples)
{
    std::map<std::size_t, const engine_sample*> latest;
    std::vector<span> all;
    for (const engine_sample& now : samples)
    {
        const engine_sample*& before = latest[now.engine];
        if (before != nullptr && now.uptime_ms > before->uptime_ms)
        {
            const double up_s = (now.uptime_ms - before->uptime_ms) / ms_per_second;
            all.push_back({.when = {before->at_s, now.at_s},
                           .busy_slot_s = (now.busy_slot_ms - before->busy_slot_ms) / ms_per_second,
                           .slot_s = up_s * now.slots});
        }
        before = &now;
    }
    return all;
}

bool throughout(const intervals& all, const interval& wanted)
{
    return std::any_of(all.begin(), all.end(),
                       [&wanted](const interval& one)
                       { return one.from_s <= wanted.from_s && wanted.to_s <= one.to_s; });
}

}  // namespace

utilisation utilisation_by_engines(const std::vector<engine_sample>& samples,
                                   const intervals& work_waits, const interval& within)
{
    utilisation sum;
    const intervals counted = clipped(work_waits, within);
    for (const span& one : spans_of(samples))
    {
        if (throughout(counted, one.when))
        {
            sum.busy_slot_s += one.busy_slot_s;
            sum.slot_s += one.slot_s;
        }
    }
    return sum;
}

utilisation utilisation_by_callers(const intervals& running, double slots,
                                   const intervals& work_waits, const interval& within)
{
    const intervals counted = clipped(work_waits, within);
    utilisation sum{.slot_s = total_length(counted) * slots};
    for (const interval& one : running)
    {
        sum.busy_slot_s += total_length(clipped(counted, one));
    }
    return sum;
}

std::vector<utilisation_bin> utilisation_over_time(const std::vector<engine_sample>& samples,
                                                   const intervals& work_waits,
                                                   const interval& within, double bin_s)
{
    std::vector<utilisation_bin> bins;
    const auto count = static_cast<std::size_t>(std::floor(within.length() / bin_s));
    for (std::size_t i = 0; i < count; ++i)
    {
        const double from = within.from_s + static_cast<double>(i) * bin_s;
        bins.push_back({.when = {from, from + bin_s}, .used = {}});
    }
    for (const span& one : spans_of(samples))
    {
        for (utilisation_bin& bin : bins)
        {
            const double part =
                total_length(clipped({one.when}, bin.when)) / std::max(one.when.length(), 1e-9);
            bin.used.busy_slot_s += part * one.busy_slot_s;
            bin.used.slot_s += part * one.slot_s;
        }
    }
    std::erase_if(bins, [&work_waits](const utilisation_bin& bin)
                  { return !throughout(work_waits, bin.when); });
    return bins;
}

}  // namespace caraway_load::measures
