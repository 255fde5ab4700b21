#pragma once

#include "caraway_load/measures/fairness_gap.hpp"
#include "caraway_load/measures/utilisation.hpp"

#include <optional>
#include <vector>

namespace caraway_load::measures
{

/// A quantity's value over a part of the run.
struct window_value
{
    interval when;
    double value = 0;
};

/// The largest gap inside each window of that length; windows start every `step_s`.
std::vector<window_value> gap_over_time(const std::vector<workspace_service>& all,
                                        const interval& within, double window_s, double step_s);

/// How long after `after.from_s` the values are good again and stay so up to `after.to_s`: every
/// window that begins later is good. Nothing if the last window isn't.
std::optional<double> time_until_below(const std::vector<window_value>& values, double limit,
                                       const interval& after);
/// Likewise, until the end of the last bin that isn't good.
std::optional<double> time_until_above(const std::vector<utilisation_bin>& bins, double limit,
                                       const interval& after);

}  // namespace caraway_load::measures
