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
    /// A workspace is backlogged while it is served less than this fraction of its demand.
    double backlogged_below = 0.92;
    /// What engines hold up, as a fraction of what they serve: the reserve rises while it is more
    /// than this, and falls while it is less, so that nothing stays reserved for nobody.
    double held_tolerated = 0.05;
    /// Largest such fraction that counts.
    double max_held = 0.25;
    /// Change of the reserve per second, by the difference of the two fractions.
    double reserve_gain = 10;
    /// A workspace yields by the whole reserve once it was served this much more than its
    /// attainable share, as a fraction of it.
    double full_yield_excess = 0.67;
};

}  // namespace caraway::routing::shares
