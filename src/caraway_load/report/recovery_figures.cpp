#include "caraway_load/report/recovery_figures.hpp"

#include "caraway_load/measures/recovery.hpp"

#include <algorithm>

namespace caraway_load::report
{

namespace
{

/// The gap is looked at in windows of this length, begun every so often.
constexpr double window_s = 2.0;
constexpr double step_s = 0.25;
constexpr double bin_s = 0.5;
/// A gap is back when it is at most so many times the largest one before the fault.
constexpr double gap_tolerance = 1.25;
/// Utilisation is back when it is at most so much below the lowest one before the fault.
constexpr double utilisation_tolerance = 0.01;

using measures::interval;
using measures::utilisation_bin;
using measures::window_value;

bool inside(const interval& one, const interval& within)
{
    return one.from_s >= within.from_s && one.to_s <= within.to_s;
}

double largest(const std::vector<window_value>& values, const interval& within)
{
    double found = 0;
    for (const auto& one : values)
    {
        found = inside(one.when, within) ? std::max(found, one.value) : found;
    }
    return found;
}

double lowest(const std::vector<utilisation_bin>& bins, const interval& within)
{
    double found = 1;
    for (const auto& one : bins)
    {
        found = inside(one.when, within) ? std::min(found, one.used.ratio()) : found;
    }
    return found;
}

}  // namespace

std::vector<recovery_figures> make_recoveries(const run::load_run_options& options,
                                              const run::run_log& log,
                                              const measures::call_history& history)
{
    std::vector<recovery_figures> all;
    const auto& load = options.load;
    if (load.faults.empty())
    {
        return all;
    }
    const interval window{load.warm_up_s, load.duration_s};
    const auto gaps = measures::gap_over_time(history.workspaces, window, window_s, step_s);
    const auto bins =
        measures::utilisation_over_time(log.engines, history.work_waits, window, bin_s);
    const double first_s =
        std::min_element(load.faults.begin(), load.faults.end(),
                         [](const auto& a, const auto& b) { return a.at_s < b.at_s; })
            ->at_s;
    const interval before{load.warm_up_s, first_s};
    for (const auto& fault : load.faults)
    {
        const interval after{fault.at_s, load.duration_s};
        recovery_figures one{.fault = workload::name(fault.kind),
                             .at_s = fault.at_s,
                             .for_s = fault.for_s,
                             .gap_before = largest(gaps, before),
                             .gap_during = largest(gaps, {fault.at_s - window_s, load.duration_s}),
                             .utilisation_before = lowest(bins, before),
                             .utilisation_lowest = lowest(bins, after)};
        one.gap_back_s = measures::time_until_below(gaps, one.gap_before * gap_tolerance, after);
        one.utilisation_back_s =
            measures::time_until_above(bins, one.utilisation_before - utilisation_tolerance, after);
        all.push_back(one);
    }
    return all;
}

}  // namespace caraway_load::report
