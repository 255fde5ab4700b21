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
    return {.id = from.sender,
            .incarnation = from.incarnation,
            .sequence = from.sequence,
            .zone = from.zone,
            .callers = from.callers,
            .control = from.control,
            .datagrams = from.datagrams,
            .ready = from.ready,
            .capacity = from.capacity,
            .request_rate = from.request_rate,
            .version = from.version,
            .tables_fresh_for = from.tables_fresh_for};
}

peer_table::peer_table(base::node_id self, base::zone_id zone, peer_options options)
    : self_(std::move(self)), zone_(std::move(zone)), options_(options)
{
}

void peer_table::add_discovered(const peer& of, base::time_point now)
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
    if (of.incarnation > known.incarnation && !is_reachable(known, now))
    {
        known.incarnation = of.incarnation;
        known.callers = of.callers;
        known.control = of.control;
        known.datagrams = of.datagrams;
    }
}

bool peer_table::record_digest(const digest& from, base::time_point now)
{
    if (from.sender == self_)
    {
        return false;
    }
    auto& known = peers_[from.sender];
    const bool old = from.incarnation < known.incarnation ||
                     (from.incarnation == known.incarnation && from.sequence <= known.sequence);
    if (old)
    {
        return false;
    }
    const auto last_sent = known.last_sent;
    known = peer_of(from);
    known.last_digest = now;
    known.known_since = now;
    known.last_sent = last_sent;
    return true;
}

void peer_table::remove_expired(base::time_point now)
{
    std::erase_if(peers_,
                  [&](const auto& each)
                  {
                      const auto since = each.second.last_digest.value_or(each.second.known_since);
                      return since + options_.expiry <= now;
                  });
}

std::vector<endpoint> peer_table::take_due(base::time_point now)
{
    std::vector<endpoint> due;
    for (auto& [id, each] : peers_)
    {
        const auto pause =
            is_reachable(each, now) ? digest_period() - half_tick : options_.probe_period;
        if (each.last_sent + pause <= now)
        {
            each.last_sent = now;
            due.push_back(each.datagrams);
        }
    }
    return due;
}

std::vector<endpoint> peer_table::reachable_in_zone(base::time_point now) const
{
    std::vector<endpoint> out;
    for (const auto& [id, each] : peers_)
    {
        if (each.zone == zone_ && is_reachable(each, now))
        {
            out.push_back(each.datagrams);
        }
    }
    return out;
}

std::vector<endpoint> peer_table::entry_points(const base::zone_id& zone, const peer& self,
                                               base::time_point now,
                                               const std::function<double()>& draw) const
{
    const auto all = listed(self, now);
    std::vector<const peer*> near;
    std::copy_if(all.begin(), all.end(), std::back_inserter(near),
                 [&](const peer* each) { return each->zone == zone; });
    const bool too_few = near.size() < std::min(options_.min_zone_entry_points, all.size());
    const bool crowded = load_of(near) > options_.zone_overload_ratio * load_of(all);
    const auto& chosen = too_few || crowded ? all : near;

    double largest = 0;
    for (const auto* each : chosen)
    {
        largest = std::max(largest, each->capacity);
    }
    std::vector<endpoint> entry_points;
    for (const auto* each : chosen)
    {
        if (entry_points.size() < options_.max_entry_points && draw() * largest < each->capacity)
        {
            entry_points.push_back(each->callers);
        }
    }
    return entry_points;
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
        if (each.ready && (is_reachable(each, now) || (cut_off && each.last_digest)))
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
    const auto limit = std::max(options_.overload_rate, 3 * usual);
    std::vector<const peer*> others;
    std::copy_if(from.begin(), from.end(), std::back_inserter(others),
                 [&](const peer* each) { return each->request_rate <= limit * each->capacity; });
    if (others.size() * 2 > from.size())
    {
        from = std::move(others);
    }
}

const peer* peer_table::with_newer_configuration(base::config_version than, base::time_point now,
                                                 double draw) const
{
    std::vector<const peer*> newest;
    for (const auto& [id, each] : peers_)
    {
        if (each.version <= than || !is_reachable(each, now))
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

const peer* peer_table::with_fresh_tables(base::time_point now, double draw) const
{
    std::vector<const peer*> fresh;
    for (const auto& [id, each] : peers_)
    {
        if (is_reachable(each, now) && each.tables_fresh_for.count() > 0)
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

bool peer_table::any_fresh_since(base::time_point then, base::time_point now) const
{
    return std::any_of(peers_.begin(), peers_.end(),
                       [&](const auto& each)
                       {
                           const auto& of = each.second;
                           return is_reachable(of, now) &&
                                  *of.last_digest - of.tables_fresh_for < then;
                       });
}

fleet_view peer_table::fleet(base::time_point now) const
{
    fleet_view out;
    std::size_t heard = 0;
    for (const auto& [id, each] : peers_)
    {
        const bool hears = is_reachable(each, now);
        heard += hears ? 1 : 0;
        if (hears || (!each.last_digest && each.known_since + options_.first_digest_timeout > now))
        {
            out.peers.push_back(id);
        }
    }
    out.cut_off = heard * 2 < peers_.size();
    return out;
}

bool peer_table::seems_cut_off(base::time_point now) const
{
    std::size_t recent = 0;
    std::size_t heard = 0;
    for (const auto& [id, each] : peers_)
    {
        recent += each.last_digest && *each.last_digest + options_.recent_window > now ? 1 : 0;
        heard += is_reachable(each, now) ? 1 : 0;
    }
    return heard * 2 < recent;
}

bool peer_table::is_reachable(const peer& of, base::time_point now) const
{
    return of.last_digest && *of.last_digest + silence() > now;
}

std::chrono::milliseconds peer_table::digest_period() const
{
    const auto times = std::max<std::size_t>(1, (peers_.size() + 1) / options_.full_rate_routers);
    return options_.digest_period * times;
}

std::chrono::milliseconds peer_table::silence() const
{
    const auto periods = static_cast<double>(digest_period().count()) * options_.reachable_periods;
    const std::chrono::milliseconds usual(static_cast<std::int64_t>(periods));
    return std::min(usual, options_.max_silence);
}

}  // namespace caraway::routing
