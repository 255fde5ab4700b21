#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <vector>

namespace caraway::routing
{

/// Tokens of one workspace's requests within the window, in the unit of the capacity.
struct workspace_usage
{
    /// Requests that arrived.
    double demanded = 0;
    /// Requests that were sent to engines.
    double served = 0;
    /// Requests that were refused within the last second or so, rather than within the window.
    double refused = 0;
    /// Those of them that no engine had a place for on the terms of a workspace within its share.
    double held_by_engines = 0;

    workspace_usage& operator+=(const workspace_usage& other);
};

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

using workspace_usages = std::map<base::workspace_id, workspace_usage>;

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

private:
    /// The window is dropped in buckets, so a count is at most an eighth of the window too old.
    static constexpr std::size_t bucket_count = 8;
    /// Buckets in which refusals count: 0.5 to 1 s of a window of 4 s. A workspace that waits is
    /// refused once a second or more often; one that was refused earlier may be served by now.
    static constexpr std::size_t refusal_buckets = 2;
    /// Their part of the window.
    static constexpr double refusal_span =
        static_cast<double>(refusal_buckets) / static_cast<double>(bucket_count);

    struct sliding_window
    {
        std::array<workspace_usage, bucket_count> buckets{};
        std::int64_t newest_bucket = 0;
    };

    std::int64_t bucket_number(base::time_point now) const;
    workspace_usage& current_bucket(const base::workspace_id& id, base::time_point now);
    workspace_usage window_total(sliding_window& counts, base::time_point now) const;
    void advance(sliding_window& counts, std::int64_t bucket) const;
    void allocate(base::time_point now);
    void update_reserve(const workspace_usage& total, base::duration elapsed);
    bool is_backlogged(const workspace_usage& usage) const;
    /// Whether a backlogged workspace still waits, rather than having waited within the window.
    bool is_waiting(const workspace_usage& usage) const;
    double excess_over_backlogged(const base::workspace_id& id) const;

    struct peer_usages
    {
        workspace_usages usages;
        base::time_point received{};
    };

    share_options options_;
    double capacity_ = 0;
    std::map<base::workspace_id, sliding_window> own_;
    std::map<base::node_id, peer_usages> peers_;
    /// Usage of the whole fleet as of the last allocation, plus this router's changes since then.
    workspace_usages fleet_usage_;
    double even_share_ = 0;
    double attainable_share_ = std::numeric_limits<double>::infinity();
    /// See share_basis.
    double reserve_ = 0;
    /// Some workspace is served less than it demands.
    bool any_backlogged_ = false;
    /// See share_basis::min_backlogged_served.
    double min_backlogged_served_ = std::numeric_limits<double>::infinity();
    base::time_point last_allocation_{};
};

}  // namespace caraway::routing
