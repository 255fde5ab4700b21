#pragma once

#include <chrono>

namespace caraway::routing::shares
{

struct share_options
{
    /// Length of the sliding window over which demand and service are counted.
    std::chrono::milliseconds window{4000};
    /// Time after which the last counts of an unreachable router are dropped.
    std::chrono::milliseconds peer_lifetime{4000};
    /// Longest time for which an allocation is reused; computing one sorts all workspaces.
    std::chrono::milliseconds refresh_interval{100};
    /// Part of the engines that workspaces beyond their configured share keep busy while demands
    /// don't fit. The rest is kept free, so that requests within their share find a place at once.
    double fullness_beyond = 0.65;
    /// The same up to the configured share: above 1, so that each place that becomes free finds a
    /// request.
    double fullness_within = 1.15;
    /// How strongly the limits follow the difference between the fullness and its aim.
    double fullness_gain = 3;
    /// By how much a workspace's limit is raised that was served nothing of late; lowered likewise
    /// for one that was served more than the others.
    double catch_up = 0.5;
    double min_weight = 0.1;
    /// Part of what a workspace asks that is refused within the last second while it waits.
    double waiting_above = 0.02;
    /// Others may have this much more than a workspace that a router's processor holds back.
    double max_gap = 1.5;
    /// Time constant of what engines serve: it changes as they slow down and recover.
    std::chrono::milliseconds engine_memory{1000};
};

}  // namespace caraway::routing::shares
