#include "libcaraway/routing/peer_table.hpp"

#include <algorithm>

namespace caraway::routing
{

namespace
{

/// Digests are sent at ticks; one that comes a little early still counts as due.
constexpr std::chrono::milliseconds half_tick{50};

/// Requests a second for a core of these together; 0 for none.
double load_of(const std::vector<const peer*>& routers)
{
    double rate = 0;
    double capacity = 0;
    for (const auto* each : routers)
    {
        rate += each->request_rate;
        capacity += each->capacity;
    }
    return capacity > 0 ? rate / capacity : 0;
}

}  // namespace

peer peer_of(const digest& from)
{
    return {.id = from.from,
            .life = from.life,
            .number = from.number,
            .zone = from.zone,
            .callers = from.callers,
            .control = from.control,
            .datagrams = from.datagrams,
            .ready = from.ready,
            .capacity = from.capacity,
            .request_rate = from.request_rate,
            .version = from.version,
            .store_held = from.store_held};
}

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
    known = peer_of(from);
    known.heard = now;
    known.known_since = now;
    known.last_sent = last_sent;
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
        const auto pause = is_heard(each, now) ? period() - half_tick : options_.probe_period;
        if (each.last_sent + pause <= now)
        {
            each.last_sent = now;
            due.push_back(each.datagrams);
        }
    }
    return due;
}

std::vector<endpoint> peer_table::heard_in_zone(base::time_point now) const
{
    std::vector<endpoint> out;
    for (const auto& [id, each] : peers_)
    {
        if (each.zone == zone_ && is_heard(each, now))
        {
            out.push_back(each.datagrams);
        }
    }
    return out;
}

std::vector<endpoint> peer_table::entries(const base::zone_id& zone, const peer& self,
                                          base::time_point now,
                                          const std::function<double()>& draw) const
{
    const auto all = listed(self, now);
    std::vector<const peer*> near;
    std::copy_if(all.begin(), all.end(), std::back_inserter(near),
                 [&](const peer* each) { return each->zone == zone; });
    const bool too_few = near.size() < std::min(options_.entries_in_zone, all.size());
    const bool crowded = load_of(near) > options_.crowded * load_of(all);
    const auto& chosen = too_few || crowded ? all : near;

    double largest = 0;
    for (const auto* each : chosen)
    {
        largest = std::max(largest, each->capacity);
    }
    std::vector<endpoint> entries;
    for (const auto* each : chosen)
    {
        if (entries.size() < options_.max_entries && draw() * largest < each->capacity)
        {
            entries.push_back(each->callers);
        }
    }
    return entries;
}

std::vector<const peer*> peer_table::listed(const peer& self, base::time_point now) const
{
    const bool cut_off = seems_cut_off(now);
    std::vector<const peer*> all;
    if (self.ready)
    {
        all.push_back(&self);
    }
    for (const auto& [id, each] : peers_)
    {
        if (each.ready && (is_heard(each, now) || (cut_off && each.heard)))
        {
            all.push_back(&each);
        }
    }
    leave_out_flooded(all);
    return all;
}

void peer_table::leave_out_flooded(std::vector<const peer*>& from) const
{
    const auto usual = load_of(from);
    const auto limit = std::max(options_.flooded, 3 * usual);
    std::vector<const peer*> others;
    std::copy_if(from.begin(), from.end(), std::back_inserter(others),
                 [&](const peer* each) { return each->request_rate <= limit * each->capacity; });
    if (others.size() * 2 > from.size())
    {
        from = std::move(others);
    }
}

const peer* peer_table::newer(base::config_version than, base::time_point now, double draw) const
{
    std::vector<const peer*> newest;
    for (const auto& [id, each] : peers_)
    {
        if (each.version <= than || !is_heard(each, now))
        {
            continue;
        }
        if (!newest.empty() && each.version > newest.front()->version)
        {
            newest.clear();
        }
        if (newest.empty() || each.version == newest.front()->version)
        {
            newest.push_back(&each);
        }
    }
    return drawn(std::move(newest), draw);
}

const peer* peer_table::with_store(base::time_point now, double draw) const
{
    std::vector<const peer*> fresh;
    for (const auto& [id, each] : peers_)
    {
        if (is_heard(each, now) && each.store_held.count() > 0)
        {
            fresh.push_back(&each);
        }
    }
    return drawn(std::move(fresh), draw);
}

const peer* peer_table::drawn(std::vector<const peer*> from, double draw) const
{
    const auto others = std::stable_partition(
        from.begin(), from.end(), [&](const peer* each) { return each->zone == zone_; });
    const auto near = std::distance(from.begin(), others);
    const auto among = near > 0 ? near : std::distance(from.begin(), from.end());
    if (among == 0)
    {
        return nullptr;
    }
    const auto at = static_cast<std::ptrdiff_t>(draw * static_cast<double>(among));
    return from[static_cast<std::size_t>(std::min(at, among - 1))];
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

fleet_view peer_table::fleet(base::time_point now) const
{
    fleet_view out;
    std::size_t heard = 0;
    for (const auto& [id, each] : peers_)
    {
        const bool hears = is_heard(each, now);
        heard += hears ? 1 : 0;
        if (hears || (!each.heard && each.known_since + options_.expected > now))
        {
            out.peers.push_back(id);
        }
    }
    out.isolated = heard * 2 < peers_.size();
    return out;
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
    return of.heard && *of.heard + silence() > now;
}

std::chrono::milliseconds peer_table::period() const
{
    const auto times = std::max<std::size_t>(1, (peers_.size() + 1) / options_.full_rate);
    return options_.period * times;
}

std::chrono::milliseconds peer_table::silence() const
{
    const auto periods = static_cast<double>(period().count()) * options_.silent_periods;
    const std::chrono::milliseconds usual(static_cast<std::int64_t>(periods));
    return std::min(usual, options_.longest_silence);
}

}  // namespace caraway::routing
