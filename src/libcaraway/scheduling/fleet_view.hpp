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

/// Which live router plays which role, by rendezvous hashing: every node with the same members and
/// upstreams comes to the same answer, and a change moves only what it must.
class fleet_view
{
public:
    fleet_view(policy mode, base::node_ref self, base::zone_id zone);

    /// The live routers; this one is added if it's missing. Nothing is owned by a leaving one
    /// unless all are.
    void set_members(std::vector<member> members);
    void set_self_leaving(bool leaving);
    /// Whether members have been set at all. Until then this node knows only itself, and would own
    /// everything: started anew in a running fleet, it would fill all upstreams a second time.
    bool members_known() const;
    void set_upstreams(const std::map<base::upstream_id, config::upstream>& upstreams);

    const base::node_ref& self() const;
    const std::vector<member>& members() const;
    /// Null if that life of that router isn't alive.
    const member* find(const base::node_ref& node) const;
    /// Routers whose reports this node needs as an owner.
    std::vector<base::node_ref> reporting_routers() const;

    /// Owner of each upstream.
    const std::map<base::upstream_id, base::node_ref>& owners() const;
    /// The nodes that add up an account, the first preferred; at most two.
    const std::vector<base::node_ref>& aggregators(const account& key) const;
    /// The part of an upstream's window that this node has under a policy of fixed parts; else all.
    base::slots own_window(const base::upstream_id& upstream, base::slots window) const;

    /// Equal on two nodes if all of the above is.
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
    bool fixed_parts() const;

    policy mode_;
    base::node_ref self_;
    base::zone_id zone_;
    bool self_leaving_ = false;
    bool complete_ = false;
    std::vector<member> members_;
    std::map<base::upstream_id, base::zone_id> upstreams_;

    std::vector<candidate> candidates_;
    std::map<base::upstream_id, base::node_ref> owners_;
    mutable std::map<account, std::vector<base::node_ref>> aggregators_;
    std::uint64_t hash_ = 0;
};

}  // namespace caraway::scheduling
