#include "libcaraway/scheduling/demand_tracker.hpp"

#include <algorithm>
#include <utility>

namespace caraway::scheduling
{

bool demand_tracker::record_report(const base::node_ref& router, const router_report& report,
                                   base::time_point now)
{
    const auto known = entries_.find(router);
    if (known != entries_.end() && report.sequence <= known->second.report.sequence)
    {
        return false;
    }
    entry next{.report = report, .received = now, .demands_received = now};
    if (report.demands_unchanged && known != entries_.end())
    {
        next.report.demands = known->second.report.demands;
        next.demands_received = known->second.demands_received;
    }
    entries_[router] = std::move(next);
    return true;
}

void demand_tracker::clear_demand(const base::node_ref& router)
{
    const auto found = entries_.find(router);
    if (found != entries_.end())
    {
        found->second.report.demands.clear();
    }
}

std::vector<base::node_ref> demand_tracker::expire(base::duration age, base::time_point now)
{
    std::vector<base::node_ref> silent;
    for (auto& [router, state] : entries_)
    {
        const bool empty = state.report.demands.empty() && state.report.holdings.empty();
        if (!empty && now - state.received >= age)
        {
            state.report.demands.clear();
            state.report.holdings.clear();
            silent.push_back(router);
        }
    }
    return silent;
}

void demand_tracker::retain(const std::function<bool(const base::node_ref&)>& alive)
{
    std::erase_if(entries_, [&](const auto& item) { return !alive(item.first); });
}

const demand_tracker::entry* demand_tracker::find(const base::node_ref& router) const
{
    const auto found = entries_.find(router);
    return found == entries_.end() ? nullptr : &found->second;
}

const std::map<base::node_ref, demand_tracker::entry>& demand_tracker::all() const
{
    return entries_;
}

std::vector<account> demand_tracker::accounts_with_demand() const
{
    std::set<account> keys;
    for (const auto& [router, state] : entries_)
    {
        for (const auto& item : state.report.demands)
        {
            keys.insert({.service = item.service, .workspace = item.workspace});
        }
    }
    return {keys.begin(), keys.end()};
}

bool demand_tracker::has_demand(const base::service_id& service) const
{
    return std::any_of(entries_.begin(), entries_.end(),
                       [&](const auto& state)
                       {
                           const auto& demands = state.second.report.demands;
                           return std::any_of(demands.begin(), demands.end(),
                                              [&](const demand& item)
                                              { return item.service == service; });
                       });
}

std::uint32_t demand_tracker::waiting(const account& key) const
{
    std::uint32_t sum = 0;
    for (const auto& [router, state] : entries_)
    {
        for (const auto& item : state.report.demands)
        {
            const bool same = item.service == key.service && item.workspace == key.workspace;
            sum += same ? item.waiting : 0;
        }
    }
    return sum;
}

}  // namespace caraway::scheduling
