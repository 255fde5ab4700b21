#include "libcaraway/routing/workspace_shares.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace caraway::routing
{

namespace
{

/// Returns the largest limit per workspace at which all demands, each cut to the limit, fit into
/// `capacity`; infinite if all demands fit uncut.
double max_min_fair_limit(std::vector<double> demands, double capacity)
{
    std::sort(demands.begin(), demands.end());
    double remaining = capacity;
    std::size_t remaining_demands = demands.size();
    for (const double demand : demands)
    {
        const double even_limit = remaining / static_cast<double>(remaining_demands);
        if (demand >= even_limit)
        {
            return even_limit;
        }
        remaining -= demand;
        --remaining_demands;
    }
    return std::numeric_limits<double>::infinity();
}

}  // namespace

workspace_usage& workspace_usage::operator+=(const workspace_usage& other)
{
    demanded += other.demanded;
    served += other.served;
    refused += other.refused;
    held_by_engines += other.held_by_engines;
    return *this;
}

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
    current_bucket(id, now).demanded += tokens;
    fleet_usage_[id].demanded += tokens;
}

void workspace_shares::record_served(const base::workspace_id& id, double tokens,
                                     base::time_point now)
{
    current_bucket(id, now).served += tokens;
    fleet_usage_[id].served += tokens;
}

void workspace_shares::retract_served(const base::workspace_id& id, double tokens,
                                      base::time_point now)
{
    // The service may have been counted in an earlier bucket, so this bucket can become negative.
    // The sum is negative only for a short time, as both buckets leave the window.
    current_bucket(id, now).served -= tokens;
    auto& usage = fleet_usage_[id];
    usage.served = std::max(0.0, usage.served - tokens);
}

void workspace_shares::record_refused(const base::workspace_id& id, double tokens,
                                      refusal_cause cause, base::time_point now)
{
    const double held = cause == refusal_cause::engines ? tokens : 0;
    const workspace_usage refusal{.refused = tokens, .held_by_engines = held};
    current_bucket(id, now) += refusal;
    fleet_usage_[id] += refusal;
}

void workspace_shares::set_peer(const base::node_id& peer, workspace_usages usages,
                                base::time_point now)
{
    peers_[peer] = {.usages = std::move(usages), .received = now};
}

workspace_usages workspace_shares::own_usages(base::time_point now)
{
    workspace_usages usages;
    for (auto entry = own_.begin(); entry != own_.end();)
    {
        const auto usage = window_total(entry->second, now);
        if (usage.demanded == 0 && usage.served == 0)
        {
            entry = own_.erase(entry);
            continue;
        }
        usages[entry->first] = usage;
        ++entry;
    }
    return usages;
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
    if (!any_backlogged_)
    {
        return 0;
    }
    return std::isinf(min_backlogged_served_) ? 1
                                              : fleet_usage_.at(id).served / min_backlogged_served_;
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
    const double share_used = counted / even_share_;
    const double attainable_used = counted / attainable_share_;
    const double beyond_attainable = (attainable_used - 1) / options_.full_yield_excess;
    double excess = share_used < 1 ? 0 : excess_over_backlogged(id);
    if (attainable_used < 1)
    {
        excess = std::min(1.0, excess);
    }
    return {.share_used = share_used,
            .attainable_used = attainable_used,
            .yield = reserve_ * std::clamp(beyond_attainable, 0.0, 1.0),
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
    using std::chrono::milliseconds;
    share_basis summary{.attainable_share = attainable_share_,
                        .reserve = reserve_,
                        .capacity =
                            capacity_ * std::chrono::duration<double>(options_.window).count(),
                        .even_share = even_share_,
                        .backlogged = any_backlogged_,
                        .min_backlogged_served = min_backlogged_served_};
    for (const auto& [id, usage] : fleet_usage_)
    {
        summary.total += usage;
    }
    base::duration total_age{};
    for (const auto& [peer, known] : peers_)
    {
        const auto age = now - known.received;
        total_age += age;
        summary.oldest_age =
            std::max(summary.oldest_age, std::chrono::duration_cast<milliseconds>(age));
    }
    if (!peers_.empty())
    {
        summary.mean_age =
            std::chrono::duration_cast<milliseconds>(total_age / static_cast<int>(peers_.size()));
    }
    return summary;
}

std::int64_t workspace_shares::bucket_number(base::time_point now) const
{
    const base::duration bucket_length = options_.window / static_cast<int>(bucket_count);
    return now.time_since_epoch() / bucket_length;
}

workspace_usage& workspace_shares::current_bucket(const base::workspace_id& id,
                                                  base::time_point now)
{
    auto& counts = own_[id];
    const auto number = bucket_number(now);
    advance(counts, number);
    return counts.buckets[static_cast<std::size_t>(number) % bucket_count];
}

workspace_usage workspace_shares::window_total(sliding_window& counts, base::time_point now) const
{
    const auto newest = bucket_number(now);
    advance(counts, newest);
    workspace_usage total;
    for (std::size_t age = 0; age < bucket_count; ++age)
    {
        auto bucket = counts.buckets[(static_cast<std::size_t>(newest) - age) % bucket_count];
        if (age >= refusal_buckets)
        {
            bucket.refused = 0;
            bucket.held_by_engines = 0;
        }
        total += bucket;
    }
    total.served = std::max(0.0, total.served);
    return total;
}

void workspace_shares::advance(sliding_window& counts, std::int64_t bucket) const
{
    const auto expired_buckets =
        std::min<std::int64_t>(bucket - counts.newest_bucket, bucket_count);
    for (std::int64_t step = 0; step < expired_buckets; ++step)
    {
        counts.buckets[static_cast<std::size_t>(bucket - step) % bucket_count] = {};
    }
    counts.newest_bucket = std::max(counts.newest_bucket, bucket);
}

void workspace_shares::allocate(base::time_point now)
{
    const auto elapsed = now - last_allocation_;
    last_allocation_ = now;
    fleet_usage_ = own_usages(now);
    std::erase_if(peers_, [&](const auto& entry)
                  { return entry.second.received + options_.peer_lifetime <= now; });
    for (const auto& [peer, known] : peers_)
    {
        for (const auto& [id, usage] : known.usages)
        {
            fleet_usage_[id] += usage;
        }
    }
    std::vector<double> demands;
    workspace_usage total;
    any_backlogged_ = false;
    for (const auto& [id, usage] : fleet_usage_)
    {
        total += usage;
        demands.push_back(usage.demanded);
        any_backlogged_ = any_backlogged_ || is_backlogged(usage);
    }
    const double seconds = std::chrono::duration<double>(options_.window).count();
    update_reserve(total, elapsed);
    even_share_ = max_min_fair_limit(demands, capacity_ * seconds);
    attainable_share_ = max_min_fair_limit(std::move(demands), std::max(1.0, total.served));
    min_backlogged_served_ = std::numeric_limits<double>::infinity();
    for (const auto& [id, usage] : fleet_usage_)
    {
        if (is_waiting(usage) && usage.demanded > even_share_)
        {
            min_backlogged_served_ = std::min(min_backlogged_served_, std::max(usage.served, 1.0));
        }
    }
}

void workspace_shares::update_reserve(const workspace_usage& total, base::duration elapsed)
{
    const double recent_served = std::max(1.0, refusal_span * total.served);
    const double held = std::min(options_.max_held, total.held_by_engines / recent_served);
    const double seconds = std::min(1.0, std::chrono::duration<double>(elapsed).count());
    reserve_ += seconds * options_.reserve_gain * (held - options_.held_tolerated);
    reserve_ = std::clamp(reserve_, 0.0, 1.0);
}

bool workspace_shares::is_backlogged(const workspace_usage& usage) const
{
    return usage.served < options_.backlogged_below * usage.demanded;
}

bool workspace_shares::is_waiting(const workspace_usage& usage) const
{
    const double tolerated = 1 - options_.backlogged_below;
    return is_backlogged(usage) && usage.refused > tolerated * refusal_span * usage.demanded;
}

}  // namespace caraway::routing
