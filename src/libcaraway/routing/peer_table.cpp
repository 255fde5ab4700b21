#include "libcaraway/routing/peer_table.hpp"

#include <algorithm>

namespace caraway::routing
{

namespace
{

/// Digests are sent at ticks of the event loop; a digest is due up to this time before its period
/// has passed, so that a slightly early tick does not skip it.
constexpr std::chrono::milliseconds send_tolerance{50};

/// Combined request rate of the routers per core, in requests per second; 0 for no routers.
double load_per_core(const std::vector<const peer*>& routers)
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

peer peer_of(const digest& received)
{
    return {.id = received.sender,
            .incarnation = received.incarnation,
            .sequence = received.sequence,
            .zone = received.zone,
            .callers = received.callers,
            .control = received.control,
            .datagrams = received.datagrams,
            .ready = received.ready,
            .capacity = received.capacity,
            .request_rate = received.request_rate,
            .version = received.version,
            .tables_fresh_for = received.tables_fresh_for,
            .keeps_origins = received.keeps_origins};
}

peer_table::peer_table(base::node_id self, base::zone_id zone, peer_options options)
    : self_(std::move(self)), zone_(std::move(zone)), options_(options)
{
}

void peer_table::add_discovered(const peer& discovered, base::time_point now)
{
    if (discovered.id == self_)
    {
        return;
    }
    const auto [entry, added] = peers_.emplace(discovered.id, discovered);
    auto& known = entry->second;
    if (added)
    {
        known.known_since = now;
        return;
    }
    // A later incarnation may have other addresses; a reachable peer is updated by its own digests.
    if (discovered.incarnation > known.incarnation && !is_reachable(known, now))
    {
        known.incarnation = discovered.incarnation;
        known.callers = discovered.callers;
        known.control = discovered.control;
        known.datagrams = discovered.datagrams;
    }
}

bool peer_table::is_outdated(const digest_identity& identity) const
{
    if (identity.sender == self_)
    {
        return true;
    }
    const auto found = peers_.find(identity.sender);
    const auto newest = found == peers_.end()
                            ? std::pair<std::uint64_t, std::uint64_t>()
                            : std::pair(found->second.incarnation, found->second.sequence);
    return std::pair(identity.incarnation, identity.sequence) <= newest;
}

bool peer_table::record_digest(const digest& received, base::time_point now)
{
    const bool outdated = is_outdated({.sender = received.sender,
                                       .incarnation = received.incarnation,
                                       .sequence = received.sequence});
    if (outdated)
    {
        return false;
    }
    auto& known = peers_[received.sender];
    const auto last_sent = known.last_sent;
    known = peer_of(received);
    known.last_digest = now;
    known.known_since = now;
    known.last_sent = last_sent;
    return true;
}

void peer_table::remove_expired(base::time_point now)
{
    std::erase_if(peers_,
                  [&](const auto& entry)
                  {
                      const auto since =
                          entry.second.last_digest.value_or(entry.second.known_since);
                      return since + options_.expiry <= now;
                  });
}

std::vector<endpoint> peer_table::take_due(base::time_point now)
{
    std::vector<endpoint> due;
    for (auto& [id, each] : peers_)
    {
        const auto pause = is_reachable(each, now) ? period_to(each) - send_tolerance
                                                   : base::duration(options_.probe_period);
        if (each.last_sent + pause <= now)
        {
            each.last_sent = now;
            due.push_back(each.datagrams);
        }
    }
    return due;
}

base::duration peer_table::period_to(const peer& receiver) const
{
    const base::duration period = digest_period();
    const bool is_limited = max_zone_period_ && receiver.zone == zone_;
    return is_limited ? std::min(period, *max_zone_period_) : period;
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
                                               const std::function<double()>& random_unit) const
{
    const auto candidates = entry_candidates(self, now);
    std::vector<const peer*> in_zone;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(in_zone),
                 [&](const peer* candidate) { return candidate->zone == zone; });
    const bool too_few_in_zone =
        in_zone.size() < std::min(options_.min_zone_entry_points, candidates.size());
    const bool zone_overloaded =
        load_per_core(in_zone) > options_.zone_overload_ratio * load_per_core(candidates);
    const auto& chosen = too_few_in_zone || zone_overloaded ? candidates : in_zone;

    double largest = 0;
    for (const auto* each : chosen)
    {
        largest = std::max(largest, each->capacity);
    }
    std::vector<endpoint> entry_points;
    for (const auto* each : chosen)
    {
        if (entry_points.size() < options_.max_entry_points &&
            random_unit() * largest < each->capacity)
        {
            entry_points.push_back(each->callers);
        }
    }
    return entry_points;
}

std::vector<const peer*> peer_table::entry_candidates(const peer& self, base::time_point now) const
{
    const bool isolated = is_isolated(now);
    std::vector<const peer*> candidates;
    if (self.ready)
    {
        candidates.push_back(&self);
    }
    for (const auto& [id, each] : peers_)
    {
        if (each.ready && (is_reachable(each, now) || (isolated && each.last_digest)))
        {
            candidates.push_back(&each);
        }
    }
    remove_overloaded(candidates);
    return candidates;
}

void peer_table::remove_overloaded(std::vector<const peer*>& routers) const
{
    const auto average = load_per_core(routers);
    const auto limit = std::max(options_.overload_rate, 3 * average);
    std::vector<const peer*> kept;
    std::copy_if(routers.begin(), routers.end(), std::back_inserter(kept),
                 [&](const peer* router)
                 { return router->request_rate <= limit * router->capacity; });
    if (kept.size() * 2 > routers.size())
    {
        routers = std::move(kept);
    }
}

const peer* peer_table::with_newer_configuration(base::config_version version, base::time_point now,
                                                 double random_unit) const
{
    std::vector<const peer*> newest;
    for (const auto& [id, each] : peers_)
    {
        if (each.version <= version || !is_reachable(each, now))
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
    return pick_random(std::move(newest), random_unit);
}

const peer* peer_table::with_fresh_tables(base::time_point now, double random_unit) const
{
    std::vector<const peer*> fresh;
    for (const auto& [id, each] : peers_)
    {
        if (is_reachable(each, now) && each.tables_fresh_for.count() > 0)
        {
            fresh.push_back(&each);
        }
    }
    return pick_random(std::move(fresh), random_unit);
}

const peer* peer_table::pick_random(std::vector<const peer*> candidates, double random_unit) const
{
    const auto other_zones =
        std::stable_partition(candidates.begin(), candidates.end(),
                              [&](const peer* candidate) { return candidate->zone == zone_; });
    const auto in_zone = std::distance(candidates.begin(), other_zones);
    const auto choices =
        in_zone > 0 ? in_zone : std::distance(candidates.begin(), candidates.end());
    if (choices == 0)
    {
        return nullptr;
    }
    const auto index = static_cast<std::ptrdiff_t>(random_unit * static_cast<double>(choices));
    return candidates[static_cast<std::size_t>(std::min(index, choices - 1))];
}

bool peer_table::any_fresh_since(base::time_point start, base::time_point now) const
{
    return std::any_of(peers_.begin(), peers_.end(),
                       [&](const auto& entry)
                       {
                           const auto& candidate = entry.second;
                           return is_reachable(candidate, now) &&
                                  *candidate.last_digest - candidate.tables_fresh_for < start;
                       });
}

engines::fleet_view peer_table::fleet(base::time_point now) const
{
    engines::fleet_view view;
    std::size_t reachable_count = 0;
    for (const auto& [id, each] : peers_)
    {
        const bool reachable = is_reachable(each, now);
        reachable_count += reachable ? 1 : 0;
        if (reachable ||
            (!each.last_digest && each.known_since + options_.first_digest_timeout > now))
        {
            view.peers.push_back(id);
        }
    }
    view.isolated = reachable_count * 2 < peers_.size();
    return view;
}

bool peer_table::is_isolated(base::time_point now) const
{
    std::size_t recent_count = 0;
    std::size_t reachable_count = 0;
    for (const auto& [id, each] : peers_)
    {
        recent_count +=
            each.last_digest && *each.last_digest + options_.recent_window > now ? 1 : 0;
        reachable_count += is_reachable(each, now) ? 1 : 0;
    }
    return reachable_count * 2 < recent_count;
}

const peer* peer_table::in_zone(const endpoint& datagrams) const
{
    const auto found =
        std::find_if(peers_.begin(), peers_.end(),
                     [&](const auto& each)
                     { return each.second.datagrams == datagrams && each.second.zone == zone_; });
    return found == peers_.end() ? nullptr : &found->second;
}

std::vector<origin_keeper> peer_table::reachable_keepers(base::time_point now) const
{
    std::vector<origin_keeper> keepers;
    for (const auto& [id, each] : peers_)
    {
        if (each.keeps_origins && is_reachable(each, now))
        {
            keepers.push_back({.router = id,
                               .zone = each.zone,
                               .datagrams = each.datagrams,
                               .ready = each.ready});
        }
    }
    return keepers;
}

bool peer_table::is_reachable(const peer& candidate, base::time_point now) const
{
    return candidate.last_digest && *candidate.last_digest + reachable_time() > now;
}

std::chrono::milliseconds peer_table::digest_period() const
{
    const auto factor = std::max<std::size_t>(1, (peers_.size() + 1) / options_.full_rate_routers);
    return options_.digest_period * factor;
}

std::chrono::milliseconds peer_table::reachable_time() const
{
    const auto reachable_ms =
        static_cast<double>(digest_period().count()) * options_.reachable_periods;
    const std::chrono::milliseconds unbounded(static_cast<std::int64_t>(reachable_ms));
    return std::min(unbounded, options_.max_silence);
}

}  // namespace caraway::routing
