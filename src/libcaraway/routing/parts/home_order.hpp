#pragma once

#include "libcaraway/routing/upstream_directory.hpp"

#include <utility>
#include <vector>

/// Weighted rendezvous hashing: orders upstreams for a part of prompts, the same on all routers.
/// Weights are by index of the candidates; without weights all are equal. Changing one upstream's
/// weight moves that upstream in the order, and no other ones against each other.
namespace caraway::routing::parts
{

/// Rounds a relative throughput to one of few values, so that routers whose estimates differ
/// slightly use the same weight; 1 if it is no positive number.
double rounded_weight(double relative_throughput);

/// Indices of the first and second candidate in the part's order; prompt_homes::none if there is
/// none.
std::pair<std::size_t, std::size_t> two_highest(std::uint64_t part,
                                                const std::vector<const upstream*>& candidates,
                                                const std::vector<double>& weights);

/// Indices of all candidates in the part's order.
std::vector<std::size_t> home_order(std::uint64_t part,
                                    const std::vector<const upstream*>& candidates,
                                    const std::vector<double>& weights);

}  // namespace caraway::routing::parts
