#include "libcaraway/routing/slow_start.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>

namespace caraway::routing
{

namespace
{

std::uint64_t weight(const base::node_id& router, const upstream& which)
{
    return scheduling::combine(scheduling::stable_hash(router.str()), which.hash);
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
    static const warmup_limits none;
    const auto found = limits_.find(service);
    return found == limits_.end() ? none : found->second;
}

void slow_start::set_fleet(fleet_view fleet)
{
    if (fleet.isolated == fleet_.isolated && fleet.peers == fleet_.peers)
    {
        return;
    }
    fleet_ = std::move(fleet);
    ++fleet_changes_;
}

bool slow_start::record_cold(const upstream& which, std::chrono::milliseconds left,
                             base::time_point now)
{
    if (left.count() <= 0)
    {
        return false;
    }
    const auto [place, added] = cold_.try_emplace(which.id);
    auto& known = place->second;
    known.until = std::max(known.until, now + left);
    return added;
}

bool slow_start::is_cold(const base::upstream_id& id, base::time_point now) const
{
    const auto found = cold_.find(id);
    return found != cold_.end() && found->second.until > now;
}

bool slow_start::may_send(const upstream& which, base::time_point now)
{
    const auto found = cold_.find(which.id);
    const bool limited = found != cold_.end() && found->second.until > now &&
                         limits_of(which.service).requests_per_s > 0;
    if (!limited)
    {
        return true;
    }
    auto& known = found->second;
    if (known.as_of != fleet_changes_)
    {
        known.sends = is_sender(which);
        known.as_of = fleet_changes_;
    }
    const bool may = known.sends && known.next <= now;
    skip_count_ += may ? 0 : 1;
    return may;
}

void slow_start::record_sent(const upstream& which, base::time_point now)
{
    const auto found = cold_.find(which.id);
    const auto rate = limits_of(which.service).requests_per_s;
    if (found == cold_.end() || rate <= 0)
    {
        return;
    }
    const auto senders = std::min(options_.senders, fleet_.peers.size() + 1);
    const std::chrono::duration<double> gap(static_cast<double>(senders) / rate);
    found->second.next = now + std::chrono::duration_cast<base::duration>(gap);
}

std::vector<base::upstream_id> slow_start::expire(base::time_point now)
{
    std::vector<base::upstream_id> warm;
    std::erase_if(cold_,
                  [&](const auto& each)
                  {
                      const bool ended = each.second.until <= now;
                      if (ended)
                      {
                          warm.push_back(each.first);
                      }
                      return ended;
                  });
    return warm;
}

bool slow_start::is_sender(const upstream& which) const
{
    if (fleet_.isolated)
    {
        return false;
    }
    const auto own = weight(self_, which);
    const auto before = std::count_if(fleet_.peers.begin(), fleet_.peers.end(),
                                      [&](const auto& each) { return weight(each, which) > own; });
    return static_cast<std::size_t>(before) < options_.senders;
}

}  // namespace caraway::routing
