#include "libcaraway/routing/workspace_shares.hpp"

#include "libcaraway/routing/shares/max_min.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::routing
{

namespace
{

double even_share_of(const workspace_usages& usages, double capacity)
{
    std::vector<shares::weighted_demand> demands;
    demands.reserve(usages.size());
    for (const auto& [id, usage] : usages)
    {
        demands.push_back({.demand = usage.demanded});
    }
    return shares::max_min_level(std::move(demands), capacity);
}

}  // namespace

workspace_shares::workspace_shares(share_options options) : options_(options), own_(options.window)
{
}

void workspace_shares::set_capacity(double tokens_per_second)
{
    capacity_ = tokens_per_second;
}

void workspace_shares::set_window(std::chrono::milliseconds window)
{
    options_.window = window;
    own_.set_window(window);
}

void workspace_shares::record_occupancy(double taken)
{
    limit_.record_occupancy(taken);
}

void workspace_shares::record_demand(const base::workspace_id& id, double tokens,
                                     base::time_point now)
{
    add_demand(id, tokens, 1, now);
}

void workspace_shares::add_demand(const base::workspace_id& id, double tokens, double requests,
                                  base::time_point now)
{
    own_.current(id, now).demanded += tokens;
    fleet_usage_[id].demanded += tokens;
    credits_.record_arrival(id, tokens, now, requests);
}

bool workspace_shares::admits(const base::workspace_id& id, bool resubmitted, double random_unit,
                              base::time_point now)
{
    const double allowed = limit(id, now);
    if (std::isinf(allowed))
    {
        return true;
    }
    return credits_.admits(id, resubmitted, demands_[id], allowed, random_unit, now);
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
    const workspace_usage refusal{.refused = tokens,
                                  .held_by_engines = cause == refusal_cause::engines ? tokens : 0,
                                  .held_by_processor =
                                      cause == refusal_cause::processor ? tokens : 0};
    own_.current(id, now) += refusal;
    fleet_usage_[id] += refusal;
}

void workspace_shares::record_unread(const base::workspace_id& id, base::time_point now,
                                     double count)
{
    const double tokens = credits_.mean_tokens(id) * count;
    if (!std::isfinite(tokens) || tokens <= 0)
    {
        return;
    }
    add_demand(id, tokens, count, now);
    record_refused(id, tokens, refusal_cause::processor, now);
}

void workspace_shares::set_peer(const base::node_id& peer, workspace_usages usages,
                                base::time_point now)
{
    for (auto& [id, usage] : usages)
    {
        if (usage.serving_rate < 0)
        {
            usage.serving_rate = usage.served / own_.window_seconds();
        }
    }
    peers_.set(peer, std::move(usages), now);
}

workspace_usages workspace_shares::own_usages(base::time_point now)
{
    return own_.totals(now);
}

double workspace_shares::limit(const base::workspace_id& id, base::time_point now)
{
    if (capacity_ <= 0)
    {
        return std::numeric_limits<double>::infinity();
    }
    refresh(now);
    return limit_.of(id);
}

share_status workspace_shares::status(const base::workspace_id& id, share_request request,
                                      base::time_point now)
{
    if (capacity_ <= 0)
    {
        return {};
    }
    refresh(now);
    const auto& usage = fleet_usage_[id];
    const double counted =
        request.resubmitted ? std::max(usage.served, usage.demanded) : usage.served;
    return {.share_used = counted / even_share_,
            .limit_used = counted / limit_.of(id),
            .standing = standing(request)};
}

share_standing workspace_shares::standing(const share_request& request) const
{
    if (!limit_.is_finite())
    {
        return share_standing::unlimited;
    }
    return request.admitted ? share_standing::admitted : share_standing::beyond;
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
        view.status = status(view.id, {}, now);
        view.fleet_total = fleet_usage_[view.id];
        view.limit = limit(view.id, now);
    }
    return views;
}

share_basis workspace_shares::basis(base::time_point now)
{
    workspace_usage total;
    double over_limit = 0;
    base::workspace_id furthest_over;
    for (const auto& [id, usage] : fleet_usage_)
    {
        total += usage;
        const double allowed = limit_.of(id);
        const bool is_cut = allowed < usage.demanded;
        if (is_cut && usage.served > over_limit * allowed)
        {
            over_limit = usage.served / std::max(1.0, allowed);
            furthest_over = id;
        }
    }
    return {.capacity = capacity_ * own_.window_seconds(),
            .even_share = even_share_,
            .limit = limit_.even(),
            .occupancy = limit_.occupancy(),
            .total = total,
            .over_limit = over_limit,
            .furthest_over = furthest_over,
            .mean_age = peers_.mean_age(now),
            .oldest_age = peers_.oldest_age(now)};
}

void workspace_shares::record_second(base::time_point now)
{
    auto usages = own_usages(now);
    peers_.add_to(usages);
    gap_.add_second(usages);
}

void workspace_shares::refresh(base::time_point now)
{
    if (now < last_refresh_ + options_.refresh_interval)
    {
        return;
    }
    last_refresh_ = now;
    peers_.expire(options_.peer_lifetime, now);
    fleet_usage_ = own_usages(now);
    const auto own = fleet_usage_;
    peers_.add_to(fleet_usage_);
    const double capacity = capacity_ * own_.window_seconds();
    even_share_ = even_share_of(fleet_usage_, capacity);
    set_demands(own, now);
    limit_.update(fleet_usage_, demands_, capacity, now, options_);
}

/// What is asked now counts, that is what was served or refused in the last second: after a flood
/// the rest of the window would say that most of it still has to be refused. A demand that grows at
/// this router is taken to grow at the others, which tell it later.
void workspace_shares::set_demands(const workspace_usages& own, base::time_point now)
{
    const double refusal_seconds = shares::usage_windows::refusal_span * own_.window_seconds();
    demands_.clear();
    for (const auto& [id, usage] : fleet_usage_)
    {
        const double refusal_rate = usage.refused / refusal_seconds;
        demands_[id] = (usage.serving_rate + refusal_rate) * own_.window_seconds();
    }
    for (const auto& [id, usage] : own)
    {
        const double growth = credits_.growth(id, usage.demanded, own_.window_seconds(), now);
        if (growth > 1)
        {
            demands_[id] = std::max(demands_[id], growth * fleet_usage_[id].demanded);
        }
    }
}

}  // namespace caraway::routing
