#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/routing/shares/share_options.hpp"
#include "libcaraway/routing/shares/workspace_usage.hpp"

#include <limits>
#include <map>
#include <set>

namespace caraway::routing::shares
{

/// How many tokens each workspace may begin within the window, so that together they keep the
/// engines as full as they should be: the max-min share of what engines serve at that fullness.
/// Workspaces that had less than the others of late may begin more, those that had more less, so
/// nobody is shut off for what it had before.
class share_limit
{
public:
    /// Notes the part of the engines that is taken, 1 is all; called several times a second.
    void record_occupancy(double taken)
    {
        occupancy_ = taken;
    }
    /// Computes the limits anew from the usages of the fleet, and from the tokens that workspaces
    /// ask within a window at the rate at which they ask now; called several times a second.
    /// `configured` is the capacity of the settings in tokens within the window.
    void update(const workspace_usages& usages, const workspace_tokens& demands, double configured,
                base::time_point now, const share_options& options);

    /// Tokens that a workspace may begin within the window; infinite while all demands fit.
    double of(const base::workspace_id& id) const;
    /// Whether the demands of some workspaces are cut.
    bool is_finite() const;
    /// The limit of a workspace that had as much as the others.
    double even() const
    {
        return even_;
    }
    /// Part of the engines taken, as of the last note.
    double occupancy() const
    {
        return occupancy_;
    }

private:
    /// Bound beside workspaces that a router's processor holds back; infinite if there are none, or
    /// for one of them.
    double ceiling(const base::workspace_id& id) const;
    void record_rates(double serving_rate, base::time_point now, const share_options& options);
    double attainable(double aim, const share_options& options) const;
    void weigh(const workspace_usages& usages, const workspace_tokens& demands,
               const share_options& options);
    void set_ceiling(const workspace_usages& usages, double entitled, const share_options& options);

    double occupancy_ = 0;
    /// Means of late, over the same time: their ratio says what engines serve when all are taken,
    /// also while what is let in swings.
    double mean_occupancy_ = 0;
    double mean_serving_rate_ = 0;
    base::time_point last_update_{};
    double even_ = std::numeric_limits<double>::infinity();
    /// Limit of a workspace of weight 1.
    double level_ = std::numeric_limits<double>::infinity();
    std::map<base::workspace_id, double> weights_;
    /// Workspaces that a router's processor holds back, and the bound that they set for the others.
    std::set<base::workspace_id> held_back_;
    double ceiling_ = std::numeric_limits<double>::infinity();
};

}  // namespace caraway::routing::shares
