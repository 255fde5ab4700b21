#pragma once

#include "libcaraway/routing/shares/workspace_usage.hpp"

#include <deque>

namespace caraway::routing::shares
{

/// The waiting workspace that is furthest behind.
struct widest_gap
{
    /// What it could have had, the lesser of what it asked and what the best served one had,
    /// divided by what it had; 1 if nobody waits.
    double ratio = 1;
    base::workspace_id behind;
    base::workspace_id ahead;
};

/// How unevenly the workspaces that wait were served over the last seconds, from the counts of the
/// whole fleet.
class share_gap
{
public:
    /// Adds the usages of the fleet as of now; called once a second.
    void add_second(const workspace_usages& usages);
    /// Of the workspaces that were refused in each of the last six seconds.
    const widest_gap& widest() const
    {
        return widest_;
    }

private:
    widest_gap find_widest() const;
    bool waited_throughout(const base::workspace_id& id) const;
    workspace_usage total(const base::workspace_id& id) const;

    std::deque<workspace_usages> seconds_;
    widest_gap widest_;
};

}  // namespace caraway::routing::shares
