#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"
#include "libcaraway/config/configuration.hpp"
#include "libcaraway/scheduling/member.hpp"
#include "libcaraway/scheduling/messages.hpp"
#include "libcaraway/scheduling/options.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace caraway::scheduling
{

/// Assigns roles to the live routers by rendezvous hashing: all nodes with the same members and
/// upstreams compute the same assignment, and a change of either reassigns no more than necessary.
class fleet_view
{
public:
    fleet_view(policy mode, base::node_ref self, base::zone_id zone);

    /// Sets the live routers; this router is added if it is missing. Leaving routers are assigned
    /// nothing, unless all routers are leaving.
    void set_members(std::vector<member> members);
    void set_self_leaving(bool leaving);
    /// Whether the members have been set. Until then this node knows only itself and is assigned
    /// every upstream: after a restart in a running fleet, it would grant slots that are already in
    /// use.
    bool members_known() const;
    void set_upstreams(const std::map<base::upstream_id, config::upstream>& upstreams);

    const base::node_ref& self() const;
    const std::vector<member>& members() const;
    /// Null if this incarnation of the router is not among the live routers.
    const member* find(const base::node_ref& node) const;
    /// The routers whose reports this node requires as an owner.
    std::vector<base::node_ref> reporting_routers() const;

    /// The owner of each upstream.
    const std::map<base::upstream_id, base::node_ref>& owners() const;
    /// The nodes that aggregate the totals of an account, in order of preference; at most two.
    const std::vector<base::node_ref>& aggregators(const account& key) const;
    /// The number of slots of an upstream's window that this node may use. Policies that partition
    /// the window between the routers give each node a part; with all others it is the whole
    /// window.
    base::slots own_window(const base::upstream_id& upstream, base::slots window) const;

    /// Hash of members and upstreams; equal on two nodes if both assign the same roles.
    std::uint64_t hash() const;

private:
    struct candidate
    {
        base::node_ref node;
        base::zone_id zone;
        std::uint64_t hash = 0;
    };

    void rebuild_members(std::vector<member> members);
    void rebuild();
    base::node_ref choose_owner(const base::upstream_id& id, const base::zone_id& zone) const;
    bool is_partitioned() const;

    policy mode_;
    base::node_ref self_;
    base::zone_id zone_;
    bool self_leaving_ = false;
    bool members_known_ = false;
    std::vector<member> members_;
    std::map<base::upstream_id, base::zone_id> upstreams_;

    std::vector<candidate> candidates_;
    std::map<base::upstream_id, base::node_ref> owners_;
    mutable std::map<account, std::vector<base::node_ref>> aggregators_;
    std::uint64_t hash_ = 0;
};

}  // namespace caraway::scheduling
