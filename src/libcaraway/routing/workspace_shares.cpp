#include "libcaraway/routing/workspace_shares.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace caraway::routing
{

workspace_shares::workspace_shares(share_options options) : options_(options), own_(options.window)
{
}

void workspace_shares::set_capacity(double tokens_per_second)
{
    capacity_ = tokens_per_second;
}

void workspace_shares::set_window(std::chrono::milliseconds window)
{
    own_.set_window(window);
}

void workspace_shares::record_demand(const base::workspace_id& id, double tokens,
                                     base::time_point now)
{
    own_.current(id, now).demanded += tokens;
    fleet_usage_[id].demanded += tokens;
}

void workspace_shares::record_served(const base::workspace_id& id, double tokens,
                                     base::time_point now)
{
    own_.current(id, now).served += tokens;
    fleet_usage_[id].served += tokens;
}

void workspace_shares::retract_served(const base::workspace_id& id, double tokens,
                                      base::time_point now)
{
    // The service may have been counted in an earlier bucket, so this bucket can become negative.
    // The sum is negative only for a short time, as both buckets leave the window.
    own_.current(id, now).served -= tokens;
    auto& usage = fleet_usage_[id];
    usage.served = std::max(0.0, usage.served - tokens);
}

void workspace_shares::record_refused(const base::workspace_id& id, double tokens,
                                      refusal_cause cause, base::time_point now)
{
    const double held = cause == refusal_cause::engines ? tokens : 0;
    const workspace_usage refusal{.refused = tokens, .held_by_engines = held};
    own_.current(id, now) += refusal;
    fleet_usage_[id] += refusal;
}

void workspace_shares::set_peer(const base::node_id& peer, workspace_usages usages,
                                base::time_point now)
{
    peers_.set(peer, std::move(usages), now);
}

workspace_usages workspace_shares::own_usages(base::time_point now)
{
    return own_.totals(now);
}

double workspace_shares::share_used(const base::workspace_id& id, base::time_point now)
{
    return status(id, false, now).share_used;
}

double workspace_shares::excess_ratio(const base::workspace_id& id, base::time_point now)
{
    return status(id, false, now).excess_ratio;
}

double workspace_shares::excess_over_backlogged(const base::workspace_id& id) const
{
    if (!allocation_.any_backlogged)
    {
        return 0;
    }
    return std::isinf(allocation_.min_backlogged_served)
               ? 1
               : fleet_usage_.at(id).served / allocation_.min_backlogged_served;
}

share_status workspace_shares::status(const base::workspace_id& id, bool resubmitted,
                                      base::time_point now)
{
    if (capacity_ <= 0)
    {
        return {};
    }
    if (now >= last_allocation_ + options_.refresh_interval)
    {
        allocate(now);
    }
    const auto& usage = fleet_usage_[id];
    const double counted = resubmitted ? std::max(usage.served, usage.demanded) : usage.served;
    const double share_used = counted / allocation_.even_share;
    const double attainable_used = counted / allocation_.attainable_share;
    const double beyond_attainable = (attainable_used - 1) / options_.full_yield_excess;
    double excess = share_used < 1 ? 0 : excess_over_backlogged(id);
    if (attainable_used < 1)
    {
        excess = std::min(1.0, excess);
    }
    return {.share_used = share_used,
            .attainable_used = attainable_used,
            .yield = reserve_.value() * std::clamp(beyond_attainable, 0.0, 1.0),
            .excess_ratio = excess,
            .resubmitted = resubmitted};
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
    for (auto& view : views)
    {
        view.status = status(view.id, false, now);
        view.fleet_total = fleet_usage_[view.id];
    }
    return views;
}

share_basis workspace_shares::basis(base::time_point now)
{
    return {.attainable_share = allocation_.attainable_share,
            .reserve = reserve_.value(),
            .capacity = capacity_ * own_.window_seconds(),
            .total = shares::sum_of(fleet_usage_),
            .even_share = allocation_.even_share,
            .backlogged = allocation_.any_backlogged,
            .min_backlogged_served = allocation_.min_backlogged_served,
            .mean_age = peers_.mean_age(now),
            .oldest_age = peers_.oldest_age(now)};
}

void workspace_shares::record_second(base::time_point now)
{
    auto usages = own_usages(now);
    peers_.add_to(usages);
    gap_.add_second(usages);
}

void workspace_shares::allocate(base::time_point now)
{
    const auto elapsed = now - last_allocation_;
    last_allocation_ = now;
    fleet_usage_ = own_usages(now);
    peers_.expire(options_.peer_lifetime, now);
    peers_.add_to(fleet_usage_);
    reserve_.update(shares::sum_of(fleet_usage_), elapsed, options_);
    allocation_ = shares::allocate(fleet_usage_, capacity_ * own_.window_seconds(), options_);
}

}  // namespace caraway::routing
