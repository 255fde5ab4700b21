#pragma once

#include "libcaraway/routing/shares/share_options.hpp"
#include "libcaraway/routing/shares/workspace_usage.hpp"

#include <limits>

namespace caraway::routing::shares
{

/// What the workspaces of the fleet are entitled to within the window, in tokens.
struct allocation
{
    /// Max-min fair share of the configured capacity; infinite if all demands fit.
    double even_share = 0;
    /// The same of what engines serve to all workspaces.
    double attainable_share = std::numeric_limits<double>::infinity();
    /// Some workspace is served less than it demands.
    bool any_backlogged = false;
    /// Fewest tokens served to a backlogged workspace that still waits and demands more than its
    /// share; infinite if there is none.
    double min_backlogged_served = std::numeric_limits<double>::infinity();
};

workspace_usage sum_of(const workspace_usages& usages);

/// Divides `capacity`, in tokens within the window, between workspaces with these usages.
allocation allocate(const workspace_usages& usages, double capacity, const share_options& options);

}  // namespace caraway::routing::shares
