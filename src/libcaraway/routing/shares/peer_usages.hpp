#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/routing/shares/workspace_usage.hpp"

namespace caraway::routing::shares
{

/// The other routers' counts, as their last digests tell them.
class peer_usages
{
public:
    void set(const base::node_id& peer, workspace_usages usages, base::time_point now);
    /// Drops the counts of routers that weren't heard of for `lifetime`.
    void expire(std::chrono::milliseconds lifetime, base::time_point now);
    void add_to(workspace_usages& sums) const;

    /// Time since the counts were received; 0 without any.
    std::chrono::milliseconds mean_age(base::time_point now) const;
    std::chrono::milliseconds oldest_age(base::time_point now) const;

private:
    struct received_usages
    {
        workspace_usages usages;
        base::time_point received{};
    };

    std::map<base::node_id, received_usages> by_peer_;
};

}  // namespace caraway::routing::shares
