#include "libcaraway/scheduling/demand_board.hpp"

#include <algorithm>
#include <utility>

namespace caraway::scheduling
{

bool demand_board::put(const base::node_ref& router, const router_report& report,
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

void demand_board::forget_demand(const base::node_ref& router)
{
    const auto found = entries_.find(router);
    if (found != entries_.end())
    {
        found->second.report.demands.clear();
    }
}

std::vector<base::node_ref> demand_board::expire(base::duration age, base::time_point now)
{
    std::vector<base::node_ref> silent;
    for (auto& [router, each] : entries_)
    {
        const bool empty = each.report.demands.empty() && each.report.holdings.empty();
        if (!empty && now - each.received >= age)
        {
            each.report.demands.clear();
            each.report.holdings.clear();
            silent.push_back(router);
        }
    }
    return silent;
}

void demand_board::retain(const std::function<bool(const base::node_ref&)>& alive)
{
    std::erase_if(entries_, [&](const auto& each) { return !alive(each.first); });
}

const demand_board::entry* demand_board::find(const base::node_ref& router) const
{
    const auto found = entries_.find(router);
    return found == entries_.end() ? nullptr : &found->second;
}

const std::map<base::node_ref, demand_board::entry>& demand_board::all() const
{
    return entries_;
}

std::vector<account> demand_board::demanded() const
{
    std::set<account> keys;
    for (const auto& [router, each] : entries_)
    {
        for (const auto& waiting : each.report.demands)
        {
            keys.insert({.service = waiting.service, .workspace = waiting.workspace});
        }
    }
    return {keys.begin(), keys.end()};
}

bool demand_board::has_demand(const base::service_id& service) const
{
    return std::any_of(entries_.begin(), entries_.end(),
                       [&](const auto& each)
                       {
                           const auto& demands = each.second.report.demands;
                           return std::any_of(demands.begin(), demands.end(),
                                              [&](const demand& waiting)
                                              { return waiting.service == service; });
                       });
}

std::uint32_t demand_board::waiting(const account& key) const
{
    std::uint32_t sum = 0;
    for (const auto& [router, each] : entries_)
    {
        for (const auto& waiting : each.report.demands)
        {
            const bool same = waiting.service == key.service && waiting.workspace == key.workspace;
            sum += same ? waiting.waiting : 0;
        }
    }
    return sum;
}

}  // namespace caraway::scheduling
