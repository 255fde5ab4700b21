#pragma once

#include "caraway_load/measures/interval.hpp"

#include <cstddef>
#include <vector>

namespace caraway_load::measures
{

/// What one workspace was given over the run.
struct workspace_service
{
    double share = 1;
    /// When it had a request that waited.
    intervals backlogged;
    /// When each of its tokens was generated, in order.
    std::vector<double> token_s;
};

/// The largest difference in weighted service (tokens by share) between two workspaces over one
/// interval in which both were backlogged throughout.
struct fairness_gap
{
    double tokens = 0;
    std::size_t more = 0;  ///< The workspace that got more.
    std::size_t less = 0;
    interval when;
};

/// Over all pairs and all intervals inside `within`.
fairness_gap largest_gap(const std::vector<workspace_service>& all, const interval& within);

/// The same for one pair.
fairness_gap gap_of_pair(const std::vector<workspace_service>& all, std::size_t a, std::size_t b,
                         const interval& within);

}  // namespace caraway_load::measures
