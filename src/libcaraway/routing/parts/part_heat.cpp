#include "libcaraway/routing/parts/part_heat.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace caraway::routing::parts
{

namespace
{

/// Part of the capacity that is freed at once, so that the search for it is rare.
constexpr std::size_t freed_fraction = 8;
/// Counts below this are dropped.
constexpr double min_uses = 0.01;

bool is_rate(double value)
{
    return std::isfinite(value) && value > 0;
}

bool is_higher(const part_rate& a, const part_rate& b)
{
    return a.requests_per_second != b.requests_per_second
               ? a.requests_per_second > b.requests_per_second
               : a.prefix < b.prefix;
}

void keep_highest(std::vector<part_rate>& rates, std::size_t count)
{
    const auto kept = std::min(count, rates.size());
    std::partial_sort(rates.begin(), rates.begin() + static_cast<std::ptrdiff_t>(kept), rates.end(),
                      is_higher);
    rates.resize(kept);
}

}  // namespace

part_heat::part_heat(const part_heat_options& options) : options_(options) {}

void part_heat::record_use(const std::vector<std::uint64_t>& prefixes,
                           const base::workspace_id& workspace, base::time_point now)
{
    if (prefixes.empty())
    {
        return;
    }
    const auto owner = scheduling::stable_hash(workspace.str());
    for (const auto prefix : prefixes)
    {
        add(prefix, owner, now);
    }
    if (own_.size() > options_.capacity)
    {
        drop_least_used(now);
    }
}

void part_heat::add(std::uint64_t prefix, std::uint64_t workspace, base::time_point now)
{
    auto& count = own_[prefix];
    count.uses = decayed(count, now) + 1;
    count.updated = now;
    count.workspace = workspace;
}

double part_heat::decayed(const use_count& count, base::time_point now) const
{
    if (now <= count.updated)
    {
        return count.uses;
    }
    const double half_lives = std::chrono::duration<double>(now - count.updated) /
                              std::chrono::duration<double>(options_.half_life);
    return count.uses * std::exp2(-half_lives);
}

double part_heat::rate_of(double uses) const
{
    const double mean_lifetime =
        std::chrono::duration<double>(options_.half_life).count() / std::numbers::ln2;
    return uses / mean_lifetime;
}

/// Removes, from the workspace with the most parts, those used least.
void part_heat::drop_least_used(base::time_point now)
{
    std::unordered_map<std::uint64_t, std::size_t> parts_of;
    for (const auto& [unused, count] : own_)
    {
        ++parts_of[count.workspace];
    }
    const auto largest =
        std::max_element(parts_of.begin(), parts_of.end(),
                         [](const auto& a, const auto& b)
                         { return std::pair(a.second, a.first) < std::pair(b.second, b.first); });
    std::vector<std::pair<double, std::uint64_t>> uses;
    for (const auto& [prefix, count] : own_)
    {
        if (count.workspace == largest->first)
        {
            uses.emplace_back(decayed(count, now), prefix);
        }
    }
    const auto excess = own_.size() - options_.capacity;
    const auto dropped = std::min(uses.size(), std::max(excess, uses.size() / freed_fraction));
    const auto end = uses.begin() + static_cast<std::ptrdiff_t>(dropped);
    std::partial_sort(uses.begin(), end, uses.end());
    std::for_each(uses.begin(), end, [&](const auto& each) { own_.erase(each.second); });
}

double part_heat::own_rate(std::uint64_t prefix, base::time_point now) const
{
    const auto found = own_.find(prefix);
    return found == own_.end() ? 0 : rate_of(decayed(found->second, now));
}

double part_heat::rate(std::uint64_t prefix, base::time_point now)
{
    if (sums_outdated_ && summed_ + options_.max_sum_age <= now)
    {
        sum_peers(now);
    }
    const auto found = peer_sums_.find(prefix);
    return own_rate(prefix, now) + (found == peer_sums_.end() ? 0 : found->second);
}

std::vector<part_rate> part_heat::hottest(base::time_point now) const
{
    std::vector<part_rate> rates;
    for (const auto& [prefix, count] : own_)
    {
        const auto uses = decayed(count, now);
        if (uses >= options_.min_sent_uses)
        {
            // As a float it takes half the bytes.
            rates.push_back(
                {.prefix = prefix, .requests_per_second = static_cast<float>(rate_of(uses))});
        }
    }
    keep_highest(rates, options_.max_sent);
    return rates;
}

void part_heat::set_peer(const base::node_id& peer, const std::vector<part_rate>& rates,
                         base::time_point now)
{
    peer_rates accepted{.received = now};
    std::copy_if(rates.begin(), rates.end(), std::back_inserter(accepted.rates),
                 [](const auto& each) { return is_rate(each.requests_per_second); });
    // Most digests tell of no rates.
    if (accepted.rates.empty())
    {
        return;
    }
    keep_highest(accepted.rates, options_.max_received);
    for (auto& each : accepted.rates)
    {
        each.requests_per_second = std::min(each.requests_per_second, options_.max_rate);
    }
    peers_[peer] = std::move(accepted);
    sums_outdated_ = true;
}

void part_heat::expire(base::time_point now)
{
    std::erase_if(own_, [&](const auto& entry) { return decayed(entry.second, now) < min_uses; });
    const auto removed =
        std::erase_if(peers_, [&](const auto& entry)
                      { return entry.second.received + options_.peer_lifetime <= now; });
    sums_outdated_ = sums_outdated_ || removed > 0;
}

/// Summed anew each time, as running sums of added and subtracted rates would drift.
void part_heat::sum_peers(base::time_point now)
{
    sums_outdated_ = false;
    summed_ = now;
    peer_sums_.clear();
    for (const auto& [unused, peer] : peers_)
    {
        for (const auto& each : peer.rates)
        {
            peer_sums_[each.prefix] += each.requests_per_second;
        }
    }
}

}  // namespace caraway::routing::parts
