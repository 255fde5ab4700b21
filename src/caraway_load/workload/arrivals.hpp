#pragma once

#include "caraway_load/workload/scenario.hpp"

#include <cstdint>
#include <vector>

namespace caraway_load::workload
{

enum class call_kind
{
    model,
    plain,
};

/// One request that a caller will make, whatever became of the earlier ones.
struct arrival
{
    double at_s = 0;
    /// Place in the order of time; names the request in its prompt.
    std::uint32_t number = 0;
    std::uint32_t workspace = 0;
    call_kind kind = call_kind::model;
    std::uint32_t tokens = 0;
    /// What the caller asks for at most; 0: it doesn't say.
    std::uint32_t max_tokens = 0;
    bool streamed = false;
    /// The router that the caller is near.
    std::uint32_t router = 0;

    friend bool operator==(const arrival&, const arrival&) = default;
};

/// All arrivals of a run in order of time: Poisson processes, one for each workspace and kind, each
/// with its own random numbers, so that one workspace's demand doesn't move another's arrivals.
std::vector<arrival> make_arrivals(const scenario& load);

/// Mean length of answers, as it follows from the distribution and its limit.
double mean_tokens(const token_lengths& lengths);

/// The workspace's demand at that time, relative to its usual one.
double demand_factor(const workspace_load& workspace, double at_s);

}  // namespace caraway_load::workload
