#include "libcaraway/routing/peer_table.hpp"

#include <algorithm>

namespace caraway::routing
{

peer_table::peer_table(base::node_id self, base::zone_id zone, peer_options options)
    : self_(std::move(self)), zone_(std::move(zone)), options_(options)
{
}

void peer_table::introduce(const peer& of, base::time_point now)
{
    if (of.id == self_)
    {
        return;
    }
    const auto [place, added] = peers_.emplace(of.id, of);
    auto& known = place->second;
    if (added)
    {
        known.known_since = now;
        return;
    }
    // A later life may stand at another address; one that is heard speaks for itself.
    if (of.life > known.life && !is_heard(known, now))
    {
        known.life = of.life;
        known.callers = of.callers;
        known.control = of.control;
        known.datagrams = of.datagrams;
    }
}

bool peer_table::heard(const digest& from, base::time_point now)
{
    if (from.from == self_)
    {
        return false;
    }
    auto& known = peers_[from.from];
    const bool old =
        from.life < known.life || (from.life == known.life && from.number <= known.number);
    if (old)
    {
        return false;
    }
    const auto last_sent = known.last_sent;
    known = {.id = from.from,
             .life = from.life,
             .number = from.number,
             .zone = from.zone,
             .callers = from.callers,
             .control = from.control,
             .datagrams = from.datagrams,
             .ready = from.ready,
             .version = from.version,
             .store_held = from.store_held,
             .heard = now,
             .known_since = now,
             .last_sent = last_sent};
    return true;
}

void peer_table::forget_old(base::time_point now)
{
    std::erase_if(peers_,
                  [&](const auto& each)
                  {
                      const auto since = each.second.heard.value_or(each.second.known_since);
                      return since + options_.forget <= now;
                  });
}

std::vector<endpoint> peer_table::take_due(base::time_point now)
{
    std::vector<endpoint> due;
    for (auto& [id, each] : peers_)
    {
        if (is_heard(each, now) || each.last_sent + options_.probe_period <= now)
        {
            each.last_sent = now;
            due.push_back(each.datagrams);
        }
    }
    return due;
}

std::vector<endpoint> peer_table::entries(const base::zone_id& zone, const endpoint& self,
                                          bool self_ready, base::time_point now) const
{
    const bool cut_off = seems_cut_off(now);
    std::vector<endpoint> near;
    std::vector<endpoint> far;
    if (self_ready)
    {
        (zone_ == zone ? near : far).push_back(self);
    }
    for (const auto& [id, each] : peers_)
    {
        const bool listed = each.ready && (is_heard(each, now) || (cut_off && each.heard));
        if (listed)
        {
            (each.zone == zone ? near : far).push_back(each.callers);
        }
    }
    if (near.size() < options_.entries_in_zone)
    {
        near.insert(near.end(), far.begin(), far.end());
    }
    near.resize(std::min(near.size(), options_.max_entries));
    return near;
}

const peer* peer_table::newer(base::config_version than, base::time_point now) const
{
    const peer* best = nullptr;
    for (const auto& [id, each] : peers_)
    {
        if (is_heard(each, now) && each.version > (best ? best->version : than))
        {
            best = &each;
        }
    }
    return best;
}

const peer* peer_table::with_store(base::time_point now) const
{
    for (const auto& [id, each] : peers_)
    {
        if (is_heard(each, now) && each.store_held.count() > 0)
        {
            return &each;
        }
    }
    return nullptr;
}

bool peer_table::store_held_since(base::time_point then, base::time_point now) const
{
    return std::any_of(peers_.begin(), peers_.end(),
                       [&](const auto& each)
                       {
                           const auto& of = each.second;
                           return is_heard(of, now) && *of.heard - of.store_held < then;
                       });
}

bool peer_table::seems_cut_off(base::time_point now) const
{
    std::size_t recent = 0;
    std::size_t heard = 0;
    for (const auto& [id, each] : peers_)
    {
        recent += each.heard && *each.heard + options_.recent > now ? 1 : 0;
        heard += is_heard(each, now) ? 1 : 0;
    }
    return heard * 2 < recent;
}

bool peer_table::is_heard(const peer& of, base::time_point now) const
{
    return of.heard && *of.heard + options_.silent > now;
}

}  // namespace caraway::routing
