#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/routing/shares/peer_usages.hpp"
#include "libcaraway/routing/shares/share_credits.hpp"
#include "libcaraway/routing/shares/share_gap.hpp"
#include "libcaraway/routing/shares/share_limit.hpp"
#include "libcaraway/routing/shares/share_options.hpp"
#include "libcaraway/routing/shares/usage_windows.hpp"
#include "libcaraway/routing/shares/workspace_usage.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <vector>

namespace caraway::routing
{

using shares::share_options;
using shares::workspace_usage;
using shares::workspace_usages;

/// What kept a refused request from being placed.
enum class refusal_cause
{
    /// The request might begin by its workspace's limit, and no engine had a place.
    engines,
    /// The router's processor.
    processor,
    /// The limit of its workspace.
    other,
};

/// How a request stands to what its workspace may begin.
enum class share_standing
{
    /// The demands of all workspaces fit.
    unlimited,
    /// Demands don't fit, and the request is among those that may begin.
    admitted,
    /// Demands don't fit, and the request isn't: it begins nowhere for now.
    beyond,
};

/// What counts for the terms of one request.
struct share_status
{
    /// Tokens served to the workspace within the window, as a fraction of the even share of the
    /// configured capacity; 1 is all of it.
    double share_used = 0;
    /// The same, of what the workspace may begin.
    double limit_used = 0;
    share_standing standing = share_standing::unlimited;

    /// Whether the request isn't among those that may begin.
    bool is_beyond() const
    {
        return standing == share_standing::beyond;
    }
    /// Fraction used of the lesser of the two: the order of workspaces in a queue.
    double largest_used() const
    {
        return std::max(share_used, limit_used);
    }
};

/// What a request brings along for its status.
struct share_request
{
    /// The caller sent the request again after a refusal, so it is late before it starts.
    bool resubmitted = false;
    /// See workspace_shares::admits.
    bool admitted = true;
};

/// A workspace's counts as seen by one router, for its log.
struct workspace_view
{
    base::workspace_id id;
    workspace_usage own;
    workspace_usage fleet_total;
    /// Tokens that it may begin within the window; infinite if that isn't bounded.
    double limit = std::numeric_limits<double>::infinity();
    share_status status;
};

/// The quantities that the limits are based on, for the log.
struct share_basis
{
    /// Tokens that the configured capacity amounts to within the window.
    double capacity = 0;
    /// Max-min fair share of it; infinite if all demands fit.
    double even_share = 0;
    /// Tokens that a workspace served like the others may begin within the window; infinite if all
    /// demands fit into what engines serve.
    double limit = 0;
    /// Part of the engines that is taken.
    double occupancy = 0;
    /// Sums over all workspaces of the fleet.
    workspace_usage total;
    /// Of the workspaces whose demand is cut: the highest ratio of the tokens that one was served
    /// within the window to those that it may begin, and that workspace; 0 if there is none.
    double over_limit = 0;
    base::workspace_id furthest_over;
    /// Time since the other routers' counts were received.
    std::chrono::milliseconds mean_age{};
    std::chrono::milliseconds oldest_age{};
};

/// Max-min fair shares of what all engines serve, as rates: each router lets the same part of a
/// workspace's requests begin, so that the fleet begins as much of each as the workspace may, and
/// engines are as full as they should be. Counts this router's own requests and, from their
/// digests, those of the other routers.
class workspace_shares
{
public:
    explicit workspace_shares(share_options options = {});

    /// Capacity of all engines together, in tokens per second. While it is 0 (unknown), nothing is
    /// limited.
    void set_capacity(double tokens_per_second);
    void set_window(std::chrono::milliseconds window);
    /// Part of the engines' places that requests of all routers take; 1 is all. Called several
    /// times a second.
    void record_occupancy(double taken);

    /// Records the arrival of a request; `tokens` are in the unit of the capacity.
    void record_demand(const base::workspace_id& id, double tokens, base::time_point now);
    /// Whether the request may begin. Asked once for each request that gets as far as an engine
    /// might be looked for. `random_unit` is uniform in [0, 1).
    bool admits(const base::workspace_id& id, bool resubmitted, double random_unit,
                base::time_point now);
    /// Records a request that was sent to an engine.
    void record_served(const base::workspace_id& id, double tokens, base::time_point now);
    /// Reverts record_served for a request that the upstream did not run or that was lost when the
    /// upstream failed.
    void retract_served(const base::workspace_id& id, double tokens, base::time_point now);

    /// Records a request that was refused and may come back.
    void record_refused(const base::workspace_id& id, double tokens, refusal_cause cause,
                        base::time_point now);
    /// Records requests that were turned away unread, as the router's processor had no time for
    /// them. They count like the workspace's requests of late on average; `count` may be an
    /// estimate and is ignored unless it is above 0 and finite.
    void record_unread(const base::workspace_id& id, base::time_point now, double count = 1);

    void set_peer(const base::node_id& peer, workspace_usages usages, base::time_point now);
    /// This router's counts, for its digest.
    workspace_usages own_usages(base::time_point now);

    share_status status(const base::workspace_id& id, share_request request, base::time_point now);
    /// Tokens that the workspace may begin within the window.
    double limit(const base::workspace_id& id, base::time_point now);

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
    void add_demand(const base::workspace_id& id, double tokens, double requests,
                    base::time_point now);
    share_standing standing(const share_request& request) const;
    void refresh(base::time_point now);
    void set_demands(const workspace_usages& own, base::time_point now);

    share_options options_;
    double capacity_ = 0;
    shares::usage_windows own_;
    shares::peer_usages peers_;
    /// Usage of the whole fleet as of the last refresh, plus this router's changes since then.
    workspace_usages fleet_usage_;
    /// Tokens that workspaces ask within a window at the rate at which they ask now.
    shares::workspace_tokens demands_;
    double even_share_ = std::numeric_limits<double>::infinity();
    shares::share_limit limit_;
    shares::share_credits credits_;
    shares::share_gap gap_;
    base::time_point last_refresh_{};
};

}  // namespace caraway::routing
