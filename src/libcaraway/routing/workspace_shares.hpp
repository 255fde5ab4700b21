#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <array>
#include <limits>
#include <map>
#include <vector>

namespace caraway::routing
{

/// Tokens of one workspace over the window.
struct workspace_usage
{
    double demanded = 0;
    double served = 0;
};

/// What a workspace has had: of its share, 1 being all (workspace_shares::share_used), and against
/// others that wait (workspace_shares::excess_ratio).
struct share_status
{
    double share_used = 0;
    double excess_ratio = 0;
    /// Came back after a refusal: late before it begins.
    bool resubmitted = false;
};

using workspace_usages = std::map<base::workspace_id, workspace_usage>;

/// A workspace's counts as a router sees them, for its log.
struct workspace_view
{
    base::workspace_id id;
    workspace_usage own;
    workspace_usage fleet_total;
    share_status status;
};

/// What shares are decided on, for the log.
struct share_basis
{
    /// Tokens that a workspace is due in the window.
    double even_share = 0;
    /// Some workspace gets less than it asks.
    bool backlogged = false;
    /// The least that one has had that asks for more than its share; infinite if none waits.
    double min_backlogged_served = 0;
    /// How long ago the other routers' counts were heard.
    std::chrono::milliseconds mean_age{};
    std::chrono::milliseconds oldest_age{};
};

struct share_options
{
    /// The time over which shares are kept.
    std::chrono::milliseconds window{4000};
    /// How long a silent router's counts are believed.
    std::chrono::milliseconds peer_lifetime{4000};
    /// How old an allocation may be; it is a sort over the workspaces.
    std::chrono::milliseconds refresh_interval{100};
    /// A workspace is backlogged that gets less than this part of what it asks.
    double backlogged_below = 0.92;
};

/// Divides by max-min what all engines give: a workspace that asks less than an even share gets all
/// it asks, the others the same each. Counts own requests and, by their digests, those at the other
/// routers.
class workspace_shares
{
public:
    explicit workspace_shares(share_options options = {});

    /// Tokens a second of all engines together; 0: unknown, nobody is over its share.
    void set_capacity(double tokens_per_second);
    void set_window(std::chrono::milliseconds window);

    /// A request came: `tokens` in the unit of the capacity.
    void record_demand(const base::workspace_id& id, double tokens, base::time_point now);
    /// One was sent to an engine.
    void record_served(const base::workspace_id& id, double tokens, base::time_point now);
    /// Takes back what was counted as served: the upstream didn't run it, or was lost with it.
    void retract_served(const base::workspace_id& id, double tokens, base::time_point now);

    void set_peer(const base::node_id& peer, workspace_usages usages, base::time_point now);
    /// This router's counts, for its digest.
    workspace_usages own_usages(base::time_point now);

    /// What the workspace has had of what it is due in the window: 1 is all of it.
    double share_used(const base::workspace_id& id, base::time_point now);
    /// Beyond its share, what it has had against the least that any has had that asks for more than
    /// its share and waits: they divide what is left over evenly. 1 while only workspaces wait that
    /// ask for less: these go first by their own terms, and say nothing of the order of the others.
    /// 0 while nobody waits.
    double excess_ratio(const base::workspace_id& id, base::time_point now);
    /// All of it. A request that `returned` after a refusal stands behind the fresh ones: it is
    /// beyond the share already if these ask for all of it.
    share_status status(const base::workspace_id& id, bool returned, base::time_point now);

    /// Those that asked most at this router, at most `count`.
    std::vector<workspace_view> highest_demand(std::size_t count, base::time_point now);
    share_basis basis(base::time_point now);

private:
    /// Parts of the window that are dropped at a time; a count is at most an eighth too old.
    static constexpr std::size_t parts = 8;

    struct sliding
    {
        std::array<workspace_usage, parts> part{};
        std::int64_t newest = 0;
    };

    std::int64_t part_number(base::time_point now) const;
    workspace_usage& current(const base::workspace_id& id, base::time_point now);
    workspace_usage sum(sliding& of, base::time_point now) const;
    void slide(sliding& of, std::int64_t to) const;
    void allocate(base::time_point now);
    bool waits(const workspace_usage& usage) const;
    double ahead_of_others(const base::workspace_id& id) const;

    struct peer_usages
    {
        workspace_usages usages;
        base::time_point heard{};
    };

    share_options options_;
    double capacity_ = 0;
    std::map<base::workspace_id, sliding> own_;
    std::map<base::node_id, peer_usages> peers_;
    /// Fleet-wide, as of the last allocation.
    workspace_usages total_;
    double even_share_ = 0;
    /// Some workspace gets less than it asks.
    bool backlogged_ = false;
    /// The least that one has had that asks for more than an even share; infinite if none waits.
    double min_backlogged_served_ = std::numeric_limits<double>::infinity();
    base::time_point allocated_{};
};

}  // namespace caraway::routing
