#include "libcaraway/routing/workspace_shares.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace caraway::routing
{

namespace
{

/// The most that each may get so that all together get no more than `capacity`.
double max_min_level(std::vector<double> demands, double capacity)
{
    std::sort(demands.begin(), demands.end());
    double left = capacity;
    std::size_t sharers = demands.size();
    for (const double demand : demands)
    {
        const double even = left / static_cast<double>(sharers);
        if (demand >= even)
        {
            return even;
        }
        left -= demand;
        --sharers;
    }
    return std::numeric_limits<double>::infinity();
}

}  // namespace

workspace_shares::workspace_shares(share_options options) : options_(options) {}

void workspace_shares::set_capacity(double tokens_per_second)
{
    capacity_ = tokens_per_second;
}

void workspace_shares::set_window(std::chrono::milliseconds window)
{
    if (window == options_.window)
    {
        return;
    }
    options_.window = window;
    own_.clear();
}

void workspace_shares::record_demand(const base::workspace_id& id, double tokens,
                                     base::time_point now)
{
    current(id, now).demanded += tokens;
    total_[id].demanded += tokens;
}

void workspace_shares::record_served(const base::workspace_id& id, double tokens,
                                     base::time_point now)
{
    current(id, now).served += tokens;
    total_[id].served += tokens;
}

void workspace_shares::retract_served(const base::workspace_id& id, double tokens,
                                      base::time_point now)
{
    // Its service may stand in an earlier part of the window, so a part may be below zero; the
    // sum isn't for long, as both leave the window.
    current(id, now).served -= tokens;
    auto& all = total_[id];
    all.served = std::max(0.0, all.served - tokens);
}

void workspace_shares::set_peer(const base::node_id& peer, workspace_usages usages,
                                base::time_point now)
{
    peers_[peer] = {.usages = std::move(usages), .heard = now};
}

workspace_usages workspace_shares::own_usages(base::time_point now)
{
    workspace_usages out;
    for (auto each = own_.begin(); each != own_.end();)
    {
        const auto usage = sum(each->second, now);
        if (usage.demanded == 0 && usage.served == 0)
        {
            each = own_.erase(each);
            continue;
        }
        out[each->first] = usage;
        ++each;
    }
    return out;
}

double workspace_shares::share_used(const base::workspace_id& id, base::time_point now)
{
    if (capacity_ <= 0)
    {
        return 0;
    }
    if (now >= allocated_ + options_.refresh_interval)
    {
        allocate(now);
    }
    return total_[id].served / even_share_;
}

double workspace_shares::excess_ratio(const base::workspace_id& id, base::time_point now)
{
    return status(id, false, now).excess_ratio;
}

double workspace_shares::ahead_of_others(const base::workspace_id& id) const
{
    if (!backlogged_)
    {
        return 0;
    }
    return std::isinf(min_backlogged_served_) ? 1 : total_.at(id).served / min_backlogged_served_;
}

share_status workspace_shares::status(const base::workspace_id& id, bool returned,
                                      base::time_point now)
{
    if (capacity_ <= 0)
    {
        return {};
    }
    const double had = share_used(id, now);
    const double wanted = total_[id].demanded / even_share_;
    const double counted = returned ? std::max(had, wanted) : had;
    return {.share_used = counted,
            .excess_ratio = counted < 1 ? 0 : ahead_of_others(id),
            .resubmitted = returned};
}

std::vector<workspace_view> workspace_shares::highest_demand(std::size_t count,
                                                             base::time_point now)
{
    std::vector<workspace_view> views;
    for (const auto& [id, usage] : own_usages(now))
    {
        views.push_back({.id = id, .own = usage});
    }
    std::sort(views.begin(), views.end(),
              [](const auto& a, const auto& b) { return a.own.demanded > b.own.demanded; });
    views.resize(std::min(count, views.size()));
    for (auto& each : views)
    {
        each.status = status(each.id, false, now);
        each.fleet_total = total_[each.id];
    }
    return views;
}

share_basis workspace_shares::basis(base::time_point now)
{
    using std::chrono::milliseconds;
    share_basis out{.even_share = even_share_,
                    .backlogged = backlogged_,
                    .min_backlogged_served = min_backlogged_served_};
    base::duration sum{};
    for (const auto& [peer, known] : peers_)
    {
        const auto age = now - known.heard;
        sum += age;
        out.oldest_age = std::max(out.oldest_age, std::chrono::duration_cast<milliseconds>(age));
    }
    if (!peers_.empty())
    {
        out.mean_age =
            std::chrono::duration_cast<milliseconds>(sum / static_cast<int>(peers_.size()));
    }
    return out;
}

std::int64_t workspace_shares::part_number(base::time_point now) const
{
    const base::duration part = options_.window / static_cast<int>(parts);
    return now.time_since_epoch() / part;
}

workspace_usage& workspace_shares::current(const base::workspace_id& id, base::time_point now)
{
    auto& of = own_[id];
    const auto number = part_number(now);
    slide(of, number);
    return of.part[static_cast<std::size_t>(number) % parts];
}

workspace_usage workspace_shares::sum(sliding& of, base::time_point now) const
{
    slide(of, part_number(now));
    workspace_usage all;
    for (const auto& part : of.part)
    {
        all.demanded += part.demanded;
        all.served += part.served;
    }
    all.served = std::max(0.0, all.served);
    return all;
}

void workspace_shares::slide(sliding& of, std::int64_t to) const
{
    const auto stale = std::min<std::int64_t>(to - of.newest, parts);
    for (std::int64_t step = 0; step < stale; ++step)
    {
        of.part[static_cast<std::size_t>(to - step) % parts] = {};
    }
    of.newest = std::max(of.newest, to);
}

void workspace_shares::allocate(base::time_point now)
{
    allocated_ = now;
    total_ = own_usages(now);
    std::erase_if(peers_, [&](const auto& each)
                  { return each.second.heard + options_.peer_lifetime <= now; });
    for (const auto& [peer, known] : peers_)
    {
        for (const auto& [id, usage] : known.usages)
        {
            total_[id].demanded += usage.demanded;
            total_[id].served += usage.served;
        }
    }
    std::vector<double> demands;
    backlogged_ = false;
    for (const auto& [id, usage] : total_)
    {
        demands.push_back(usage.demanded);
        backlogged_ = backlogged_ || waits(usage);
    }
    const double seconds = std::chrono::duration<double>(options_.window).count();
    even_share_ = max_min_level(std::move(demands), capacity_ * seconds);
    min_backlogged_served_ = std::numeric_limits<double>::infinity();
    for (const auto& [id, usage] : total_)
    {
        if (waits(usage) && usage.demanded > even_share_)
        {
            min_backlogged_served_ = std::min(min_backlogged_served_, std::max(usage.served, 1.0));
        }
    }
}

bool workspace_shares::waits(const workspace_usage& usage) const
{
    return usage.served < options_.backlogged_below * usage.demanded;
}

}  // namespace caraway::routing
