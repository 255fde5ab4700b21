#pragma once

#include "caraway_load/measures/interval.hpp"

#include <cstddef>
#include <vector>

namespace caraway_load::measures
{

/// What one engine said of itself at an instant; the sums run since its process began.
struct engine_sample
{
    std::size_t engine = 0;
    double at_s = 0;
    double slots = 0;
    double busy_slot_ms = 0;
    double uptime_ms = 0;
};

/// Slots busy, as a part of all slots of the engines that were up.
struct utilisation
{
    double busy_slot_s = 0;
    double slot_s = 0;

    double ratio() const
    {
        return slot_s > 0 ? busy_slot_s / slot_s : 0;
    }
};

/// From the engines' own sums. Only spans between two samples count through all of which work
/// waited somewhere, so that slots that were rightly idle don't. Samples of one engine are in
/// order.
utilisation utilisation_by_engines(const std::vector<engine_sample>& samples,
                                   const intervals& work_waits, const interval& within);

/// From what the callers saw: requests in the engines at each instant at which work waited,
/// the waits of a few milliseconds included. `running` are the times of requests in slots.
utilisation utilisation_by_callers(const intervals& running, double slots,
                                   const intervals& work_waits, const interval& within);

/// A part of the run and what it was used for.
struct utilisation_bin
{
    interval when;
    utilisation used;
};

/// By engines' samples, in bins of that length; a span between samples is spread evenly over the
/// bins that it touches. Bins without work that waits throughout are left out.
std::vector<utilisation_bin> utilisation_over_time(const std::vector<engine_sample>& samples,
                                                   const intervals& work_waits,
                                                   const interval& within, double bin_s);

}  // namespace caraway_load::measures
