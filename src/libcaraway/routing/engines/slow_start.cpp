#include "libcaraway/routing/engines/slow_start.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>

namespace caraway::routing::engines
{

namespace
{

std::uint64_t rank_weight(const base::node_id& router, const upstream& target)
{
    return scheduling::combine(scheduling::stable_hash(router.str()), target.hash);
}

}  // namespace

slow_start::slow_start(base::node_id self, slow_start_options options)
    : self_(std::move(self)), options_(options)
{
}

void slow_start::set_limits(std::map<base::service_id, warmup_limits> limits)
{
    limits_ = std::move(limits);
}

const warmup_limits& slow_start::limits_of(const base::service_id& service) const
{
    static const warmup_limits no_limits;
    const auto found = limits_.find(service);
    return found == limits_.end() ? no_limits : found->second;
}

void slow_start::set_fleet(fleet_view fleet)
{
    if (fleet.isolated == fleet_.isolated && fleet.peers == fleet_.peers)
    {
        return;
    }
    fleet_ = std::move(fleet);
    ++fleet_version_;
}

bool slow_start::record_cold(const upstream& target, std::chrono::milliseconds remaining,
                             base::time_point now)
{
    if (remaining.count() <= 0)
    {
        return false;
    }
    const auto [position, added] = cold_.try_emplace(target.id);
    auto& entry = position->second;
    entry.until = std::max(entry.until, now + remaining);
    return added;
}

bool slow_start::is_cold(const base::upstream_id& id, base::time_point now) const
{
    const auto found = cold_.find(id);
    return found != cold_.end() && found->second.until > now;
}

bool slow_start::may_send(const upstream& target, base::time_point now)
{
    const auto found = cold_.find(target.id);
    const bool limited = found != cold_.end() && found->second.until > now &&
                         limits_of(target.service).requests_per_s > 0;
    if (!limited)
    {
        return true;
    }
    auto& entry = found->second;
    if (entry.fleet_version != fleet_version_)
    {
        entry.selected = is_sender(target);
        entry.fleet_version = fleet_version_;
    }
    const bool allowed = entry.selected && entry.next_send <= now;
    skip_count_ += allowed ? 0 : 1;
    return allowed;
}

void slow_start::record_sent(const upstream& target, base::time_point now)
{
    const auto found = cold_.find(target.id);
    const auto rate = limits_of(target.service).requests_per_s;
    if (found == cold_.end() || rate <= 0)
    {
        return;
    }
    const auto senders = std::min(options_.max_senders, fleet_.peers.size() + 1);
    const std::chrono::duration<double> interval(static_cast<double>(senders) / rate);
    found->second.next_send = now + std::chrono::duration_cast<base::duration>(interval);
}

std::vector<base::upstream_id> slow_start::expire(base::time_point now)
{
    std::vector<base::upstream_id> warm;
    std::erase_if(cold_,
                  [&](const auto& entry)
                  {
                      const bool expired = entry.second.until <= now;
                      if (expired)
                      {
                          warm.push_back(entry.first);
                      }
                      return expired;
                  });
    return warm;
}

bool slow_start::is_sender(const upstream& target) const
{
    if (fleet_.isolated)
    {
        return false;
    }
    const auto own_weight = rank_weight(self_, target);
    const auto higher_ranked =
        std::count_if(fleet_.peers.begin(), fleet_.peers.end(),
                      [&](const auto& peer) { return rank_weight(peer, target) > own_weight; });
    return static_cast<std::size_t>(higher_ranked) < options_.max_senders;
}

}  // namespace caraway::routing::engines
