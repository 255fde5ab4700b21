#include "libcaraway/scheduling/fleet_view.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>
#include <utility>

namespace caraway::scheduling
{

namespace
{

constexpr std::size_t aggregators_per_account = 2;
/// Accounts are hashed into groups that share their aggregators, so that a node exchanges messages
/// with few aggregators.
constexpr std::uint64_t nodes_per_aggregation_group = 4;
/// Hashed in place of an upstream's name if a single node owns all upstreams.
constexpr const char* single_owner_key = "all upstreams";

bool by_node(const member& a, const member& b)
{
    return a.node < b.node;
}

}  // namespace

fleet_view::fleet_view(policy mode, base::node_ref self, base::zone_id zone)
    : mode_(mode), self_(std::move(self)), zone_(std::move(zone))
{
    rebuild_members({});
}

void fleet_view::set_members(std::vector<member> members)
{
    members_known_ = true;
    rebuild_members(std::move(members));
}

void fleet_view::rebuild_members(std::vector<member> members)
{
    members_ = std::move(members);
    const auto is_self = [this](const member& router)
    {
        return router.node.id == self_.id;
    };
    std::erase_if(members_, is_self);
    members_.push_back({.node = self_, .zone = zone_, .leaving = self_leaving_});
    std::sort(members_.begin(), members_.end(), by_node);
    rebuild();
}

void fleet_view::set_self_leaving(bool leaving)
{
    self_leaving_ = leaving;
    rebuild_members(members_);
}

bool fleet_view::members_known() const
{
    return members_known_;
}

void fleet_view::set_upstreams(const std::map<base::upstream_id, config::upstream>& upstreams)
{
    upstreams_.clear();
    for (const auto& [id, upstream] : upstreams)
    {
        upstreams_.emplace(id, upstream.zone);
    }
    rebuild();
}

const base::node_ref& fleet_view::self() const
{
    return self_;
}

const std::vector<member>& fleet_view::members() const
{
    return members_;
}

const member* fleet_view::find(const base::node_ref& node) const
{
    const auto found = std::lower_bound(members_.begin(), members_.end(),
                                        member{.node = node, .zone = {}}, by_node);
    return found != members_.end() && found->node == node ? &*found : nullptr;
}

std::vector<base::node_ref> fleet_view::reporting_routers() const
{
    if (is_partitioned())
    {
        return {self_};
    }
    std::vector<base::node_ref> routers;
    for (const auto& router : members_)
    {
        routers.push_back(router.node);
    }
    return routers;
}

const std::map<base::upstream_id, base::node_ref>& fleet_view::owners() const
{
    return owners_;
}

const std::vector<base::node_ref>& fleet_view::aggregators(const account& key) const
{
    const auto known = aggregators_.find(key);
    if (known != aggregators_.end())
    {
        return known->second;
    }
    std::vector<base::node_ref> chosen;
    if (mode_ == policy::local_only)
    {
        chosen.push_back(self_);
        return aggregators_.emplace(key, std::move(chosen)).first->second;
    }
    const auto groups = std::max<std::uint64_t>(members_.size() / nodes_per_aggregation_group, 1);
    const auto key_hash =
        combine(stable_hash(key.service.str()), stable_hash(key.workspace.str())) % groups;
    std::vector<std::pair<std::uint64_t, const candidate*>> ranked;
    for (const auto& contender : candidates_)
    {
        ranked.emplace_back(combine(contender.hash, key_hash), &contender);
    }
    const auto count = std::min(aggregators_per_account, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    for (std::size_t i = 0; i < count; ++i)
    {
        chosen.push_back(ranked[i].second->node);
    }
    return aggregators_.emplace(key, std::move(chosen)).first->second;
}

base::slots fleet_view::own_window(const base::upstream_id& upstream, base::slots window) const
{
    if (!is_partitioned())
    {
        return window;
    }
    base::slots own_slots = 0;
    const auto upstream_hash = stable_hash(upstream.str());
    for (base::slots slot = 0; slot < window; ++slot)
    {
        const auto slot_hash = combine(upstream_hash, slot);
        const auto best =
            std::max_element(candidates_.begin(), candidates_.end(),
                             [&](const candidate& a, const candidate& b)
                             { return combine(a.hash, slot_hash) < combine(b.hash, slot_hash); });
        own_slots += best->node == self_ ? 1 : 0;
    }
    return own_slots;
}

std::uint64_t fleet_view::hash() const
{
    return hash_;
}

bool fleet_view::is_partitioned() const
{
    return mode_ == policy::local_only || mode_ == policy::shared_counters;
}

base::node_ref fleet_view::choose_owner(const base::upstream_id& id,
                                        const base::zone_id& zone) const
{
    if (is_partitioned())
    {
        return self_;
    }
    const bool single = mode_ == policy::single_scheduler;
    const auto key = single ? stable_hash(single_owner_key) : stable_hash(id.str());
    const candidate* best = nullptr;
    // Routers in the upstream's zone are preferred: otherwise the messages for a request within one
    // zone would cross zones twice.
    auto best_rank = std::pair(false, std::uint64_t{0});
    for (const auto& contender : candidates_)
    {
        const auto rank =
            std::pair(!single && contender.zone == zone, combine(contender.hash, key));
        if (!best || rank > best_rank)
        {
            best = &contender;
            best_rank = rank;
        }
    }
    return best->node;
}

void fleet_view::rebuild()
{
    aggregators_.clear();
    candidates_.clear();
    const bool all_leave = std::all_of(members_.begin(), members_.end(),
                                       [](const member& router) { return router.leaving; });
    hash_ = 0;
    for (const auto& router : members_)
    {
        const auto id_hash = stable_hash(router.node.id.str());
        if (all_leave || !router.leaving)
        {
            candidates_.push_back({.node = router.node, .zone = router.zone, .hash = id_hash});
        }
        hash_ = combine(hash_, id_hash);
        hash_ = combine(hash_, static_cast<std::uint64_t>(router.node.life));
        hash_ = combine(hash_, stable_hash(router.zone.str()) + (router.leaving ? 1 : 0));
    }
    owners_.clear();
    for (const auto& [id, zone] : upstreams_)
    {
        owners_.emplace(id, choose_owner(id, zone));
        hash_ = combine(hash_, combine(stable_hash(id.str()), stable_hash(zone.str())));
    }
}

}  // namespace caraway::scheduling
