#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/routing/shares/allocation.hpp"
#include "libcaraway/routing/shares/peer_usages.hpp"
#include "libcaraway/routing/shares/share_gap.hpp"
#include "libcaraway/routing/shares/share_options.hpp"
#include "libcaraway/routing/shares/usage_windows.hpp"
#include "libcaraway/routing/shares/workspace_usage.hpp"
#include "libcaraway/routing/shares/yield_reserve.hpp"

#include <algorithm>
#include <limits>
#include <vector>

namespace caraway::routing
{

using shares::share_options;
using shares::workspace_usage;
using shares::workspace_usages;

/// What kept a refused request from being placed.
enum class refusal_cause
{
    /// No engine had a place on the terms of a workspace within its share.
    engines,
    /// The terms of a workspace beyond its share, or the router's processor.
    other,
};

/// How a workspace's service compares with its fair share and with other backlogged workspaces.
struct share_status
{
    /// Tokens served to the workspace within the window, as a fraction of the even share of the
    /// configured capacity; 1 is all of it.
    double share_used = 0;
    /// The same, of the even share of what engines serve to all workspaces.
    double attainable_used = 0;
    /// How far a workspace within its configured share gives way to those that were served less,
    /// from 0 (not at all) to 1, while engines are too full for these.
    double yield = 0;
    /// See workspace_shares::excess_ratio.
    double excess_ratio = 0;
    /// The caller sent the request again after a refusal, so it is late before it starts.
    bool resubmitted = false;

    /// Fraction used of the lesser of the two shares: the order of workspaces in a queue.
    double largest_used() const
    {
        return std::max(share_used, attainable_used);
    }
};

/// A workspace's counts as seen by one router, for its log.
struct workspace_view
{
    base::workspace_id id;
    workspace_usage own;
    workspace_usage fleet_total;
    share_status status;
};

/// The quantities that the allocation is based on, for the log.
struct share_basis
{
    /// Even share of what engines serve to all workspaces within the window.
    double attainable_share = 0;
    /// How far workspaces yield that have had most of what engines serve, from 0 to 1.
    double reserve = 0;
    /// Tokens that the configured capacity amounts to within the window.
    double capacity = 0;
    /// Sums over all workspaces of the fleet.
    workspace_usage total;
    /// Tokens that each workspace is entitled to within the window.
    double even_share = 0;
    /// Some workspace is served less than it demands.
    bool backlogged = false;
    /// Fewest tokens served to a backlogged workspace that still waits and demands more than its
    /// share; infinite if there is none.
    double min_backlogged_served = 0;
    /// Time since the other routers' counts were received.
    std::chrono::milliseconds mean_age{};
    std::chrono::milliseconds oldest_age{};
};

/// Max-min fair shares of the capacity of all engines: a workspace that demands less than the even
/// share gets all of its demand, the others get the even share. Counts this router's own requests
/// and, from their digests, those of the other routers.
class workspace_shares
{
public:
    explicit workspace_shares(share_options options = {});

    /// Capacity of all engines together, in tokens per second. While it is 0 (unknown), no
    /// workspace is beyond its share.
    void set_capacity(double tokens_per_second);
    void set_window(std::chrono::milliseconds window);

    /// Records the arrival of a request; `tokens` are in the unit of the capacity.
    void record_demand(const base::workspace_id& id, double tokens, base::time_point now);
    /// Records a request that was sent to an engine.
    void record_served(const base::workspace_id& id, double tokens, base::time_point now);
    /// Reverts record_served for a request that the upstream did not run or that was lost when the
    /// upstream failed.
    void retract_served(const base::workspace_id& id, double tokens, base::time_point now);

    /// Records a request that was refused and may come back.
    void record_refused(const base::workspace_id& id, double tokens, refusal_cause cause,
                        base::time_point now);

    void set_peer(const base::node_id& peer, workspace_usages usages, base::time_point now);
    /// This router's counts, for its digest.
    workspace_usages own_usages(base::time_point now);

    /// See share_status.
    double share_used(const base::workspace_id& id, base::time_point now);
    /// For a workspace beyond its share: its served tokens divided by min_backlogged_served. The
    /// workspaces beyond their share divide the remaining capacity evenly by this ratio. 1 while
    /// only workspaces are backlogged that demand less than their share: these have their own
    /// admission terms and say nothing about the order of the others. At most 1 for a workspace
    /// within its even share of what engines serve, whatever holds the least served one. 0 while no
    /// workspace is backlogged, and for a workspace within its configured share.
    double excess_ratio(const base::workspace_id& id, base::time_point now);
    /// Returns the whole share status. A `resubmitted` request has lower priority than the
    /// workspace's fresh requests: it counts as beyond the share as soon as the workspace's demand
    /// uses all of the share.
    share_status status(const base::workspace_id& id, bool resubmitted, base::time_point now);

    /// The workspaces with the highest demand at this router, at most `count`, in descending order.
    std::vector<workspace_view> highest_demand(std::size_t count, base::time_point now);
    share_basis basis(base::time_point now);
    /// Notes the counts of the fleet for `widest_gap`; called once a second.
    void record_second(base::time_point now);
    const shares::widest_gap& widest_gap() const
    {
        return gap_.widest();
    }

private:
    void allocate(base::time_point now);
    double excess_over_backlogged(const base::workspace_id& id) const;

    share_options options_;
    double capacity_ = 0;
    shares::usage_windows own_;
    shares::peer_usages peers_;
    /// Usage of the whole fleet as of the last allocation, plus this router's changes since then.
    workspace_usages fleet_usage_;
    shares::allocation allocation_;
    shares::yield_reserve reserve_;
    shares::share_gap gap_;
    base::time_point last_allocation_{};
};

}  // namespace caraway::routing
