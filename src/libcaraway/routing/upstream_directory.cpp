#include "libcaraway/routing/upstream_directory.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>
#include <utility>

namespace caraway::routing
{

namespace
{

/// Heartbeats from the last contact with the store until the first entry can expire: three, less
/// one that may have passed since the entry was written, less a quarter as upstreams write only
/// about that often.
constexpr double shortest_expiry_heartbeats = 1.75;

}  // namespace

upstream_directory::upstream_directory(directory_options options) : options_(options) {}

upstream_directory::change upstream_directory::put(const upstream& entry, const update_stamp& stamp)
{
    const auto known = last_updates_.find(entry.id);
    const bool restarted =
        known != last_updates_.end() && entry.process_start > known->second.process_start;
    const bool is_previous_incarnation =
        known != last_updates_.end() && entry.process_start < known->second.process_start;
    if (is_previous_incarnation || !accept_update(entry.id, stamp))
    {
        return change::outdated;
    }
    auto& update = last_updates_[entry.id];
    update.process_start = entry.process_start;
    update.announced_leaving = update.announced_leaving && !restarted;
    deferred_removals_.erase(entry.id);
    auto& stored = entries_[entry.id];
    stored = entry;
    stored.hash = scheduling::stable_hash(entry.id.str());
    changes_.record(entry.id);
    usable_cache_.clear();
    if (entry.draining)
    {
        leaving_.try_emplace(entry.id, entry.process_start, stamp.received);
    }
    else if (!update.announced_leaving)
    {
        leaving_.erase(entry.id);
    }
    return restarted ? change::restarted : change::same_incarnation;
}

upstream_directory::removal upstream_directory::remove(const base::upstream_id& id,
                                                       const update_stamp& stamp)
{
    if (!accept_update(id, stamp))
    {
        return removal::outdated;
    }
    if (!entries_.contains(id))
    {
        return removal::not_listed;
    }
    if (in_grace(stamp.received) && !entries_.at(id).draining && !has_announced_leaving(id))
    {
        deferred_removals_[id] = true;
        return removal::deferred;
    }
    remove_entry(id, stamp.received);
    return removal::applied;
}

std::vector<base::upstream_id>
upstream_directory::remove_unlisted(const std::set<base::upstream_id>& listed,
                                    const update_stamp& stamp)
{
    std::vector<base::upstream_id> unlisted;
    for (const auto& [id, entry] : entries_)
    {
        if (!listed.contains(id))
        {
            unlisted.push_back(id);
        }
    }
    std::vector<base::upstream_id> removed;
    for (const auto& id : unlisted)
    {
        if (remove(id, stamp) == removal::applied)
        {
            removed.push_back(id);
        }
    }
    return removed;
}

void upstream_directory::record_store_lost(base::time_point now, base::time_point last_contact)
{
    if (store_lost_)
    {
        return;
    }
    store_lost_ = true;
    store_lost_since_ = now;
    last_contact_ = last_contact;
}

void upstream_directory::record_store_recovered(base::time_point now)
{
    if (!store_lost_)
    {
        return;
    }
    store_lost_ = false;
    if (may_have_expired(now))
    {
        grace_until_ = now + options_.recovery_grace;
    }
}

bool upstream_directory::may_have_expired(base::time_point end) const
{
    // Upstreams may not have registered again yet since an outage before.
    const bool follows_outage = last_contact_ < grace_until_;
    return follows_outage || end - last_contact_ >= shortest_expiry_heartbeats * heartbeat_;
}

std::vector<base::upstream_id> upstream_directory::cancel_grace(base::time_point now)
{
    grace_until_ = {};
    return apply_deferred_removals(now);
}

std::optional<base::time_point> upstream_directory::deferring_outage_start() const
{
    return deferred_removals_.empty() || store_lost_ ? std::nullopt
                                                     : std::optional(store_lost_since_);
}

std::vector<base::upstream_id> upstream_directory::expire(base::time_point now)
{
    auto removed = in_grace(now) ? std::vector<base::upstream_id>{} : apply_deferred_removals(now);
    for (auto* times : {&leaving_, &reported_leaving_})
    {
        const auto erased_count = std::erase_if(
            *times, [&](const auto& incarnation)
            { return incarnation.second.second + options_.leaving_retention <= now; });
        if (erased_count > 0)
        {
            usable_cache_.clear();
        }
    }
    std::erase_if(last_updates_,
                  [&](const auto& update)
                  {
                      return !entries_.contains(update.first) &&
                             update.second.received + options_.tombstone_retention <= now;
                  });
    return removed;
}

std::vector<base::upstream_id> upstream_directory::apply_deferred_removals(base::time_point now)
{
    std::vector<base::upstream_id> removed;
    for (const auto& [id, unused] : std::exchange(deferred_removals_, {}))
    {
        remove_entry(id, now);
        removed.push_back(id);
    }
    return removed;
}

void upstream_directory::remove_entry(const base::upstream_id& id, base::time_point now)
{
    if (const auto* known = find(id))
    {
        leaving_.try_emplace(id, known->process_start, now);
    }
    discard(id);
}

void upstream_directory::record_leaving(const leaving_upstream& entry, base::time_point now)
{
    auto& reported = reported_leaving_[entry.id];
    if (reported.first != entry.process_start || reported.second == base::time_point{})
    {
        usable_cache_.clear();
    }
    reported = {entry.process_start, now};
}

bool upstream_directory::record_announced_leaving(const base::upstream_id& id, base::time_point now)
{
    // Also of an entry that was removed: an upstream may register again after an outage.
    const auto known = last_updates_.find(id);
    if (known == last_updates_.end() || known->second.announced_leaving)
    {
        return false;
    }
    known->second.announced_leaving = true;
    leaving_.try_emplace(id, known->second.process_start, now);
    usable_cache_.clear();
    return true;
}

bool upstream_directory::has_announced_leaving(const base::upstream_id& id) const
{
    const auto known = last_updates_.find(id);
    return known != last_updates_.end() && known->second.announced_leaving;
}

std::vector<leaving_upstream> upstream_directory::leaving(base::time_point now) const
{
    std::vector<leaving_upstream> result;
    for (const auto& [id, incarnation] : leaving_)
    {
        if (incarnation.second + options_.leaving_retention > now)
        {
            result.push_back({.id = id, .process_start = incarnation.first});
        }
    }
    return result;
}

void upstream_directory::discard(const base::upstream_id& id)
{
    if (entries_.erase(id) > 0)
    {
        changes_.record(id);
    }
    deferred_removals_.erase(id);
    usable_cache_.clear();
}

bool upstream_directory::discard(const base::upstream_id& id, const update_stamp& stamp)
{
    if (!accept_update(id, stamp))
    {
        return false;
    }
    discard(id);
    return true;
}

bool upstream_directory::accept_update(const base::upstream_id& id, const update_stamp& stamp)
{
    const auto [known, inserted] = last_updates_.try_emplace(id);
    if (!inserted && stamp.revision <= known->second.revision)
    {
        return false;
    }
    known->second.revision = stamp.revision;
    known->second.received = stamp.received;
    return true;
}

bool upstream_directory::record_zone(const zone_update& update)
{
    const bool changed = zones_.record(update);
    if (changed)
    {
        usable_cache_.clear();
    }
    return changed;
}

bool upstream_directory::all_drained(const base::service_id& service) const
{
    if (zones_.drained_count() == 0 || !usable(service).empty())
    {
        return false;
    }
    return std::any_of(entries_.begin(), entries_.end(),
                       [&](const auto& entry) {
                           return entry.second.service == service &&
                                  zones_.contains(entry.second.zone);
                       });
}

double upstream_directory::undrained_fraction() const
{
    std::size_t total = 0;
    std::size_t undrained = 0;
    for (const auto& [id, entry] : entries_)
    {
        total += entry.draining ? 0 : 1;
        undrained += entry.draining || zones_.contains(entry.zone) ? 0 : 1;
    }
    return total == 0 ? 1 : static_cast<double>(undrained) / static_cast<double>(total);
}

const std::vector<const upstream*>&
upstream_directory::usable(const base::service_id& service) const
{
    const auto [position, inserted] = usable_cache_.try_emplace(service);
    auto& upstreams = position->second;
    if (!inserted)
    {
        return upstreams;
    }
    for (const auto& [id, entry] : entries_)
    {
        if (entry.service == service && is_usable(entry))
        {
            upstreams.push_back(&entry);
        }
    }
    return upstreams;
}

bool upstream_directory::is_usable(const upstream& entry) const
{
    const auto reported = reported_leaving_.find(entry.id);
    const bool is_leaving =
        reported != reported_leaving_.end() && reported->second.first == entry.process_start;
    return !entry.draining && !is_leaving && !has_announced_leaving(entry.id) &&
           !zones_.contains(entry.zone);
}

bool upstream_directory::is_usable(const base::upstream_id& id) const
{
    const auto* entry = find(id);
    return entry != nullptr && is_usable(*entry);
}

const upstream* upstream_directory::find(const base::upstream_id& id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

std::uint64_t upstream_directory::content_hash() const
{
    using scheduling::combine;
    using scheduling::stable_hash;
    if (cached_hash_.first == changes_.position())
    {
        return cached_hash_.second;
    }
    std::uint64_t hash = 0;
    for (const auto& [id, entry] : entries_)
    {
        hash = combine(hash, entry.hash);
        hash = combine(hash, stable_hash(entry.service.str()));
        hash = combine(hash, stable_hash(entry.address.ip));
        hash = combine(hash, entry.address.port);
        hash = combine(hash, entry.slots * 2U + (entry.draining ? 1U : 0U));
        // Only whether it is cold: the remaining time counts down at each router independently.
        hash = combine(hash, entry.warmup_left.value_or(std::chrono::milliseconds(0)).count() > 0);
        hash = combine(hash, static_cast<std::uint64_t>(entry.process_start.count()));
    }
    cached_hash_ = {changes_.position(), hash};
    return hash;
}

std::uint64_t upstream_directory::revision_of(const base::upstream_id& id) const
{
    const auto known = last_updates_.find(id);
    return known == last_updates_.end() ? 0 : known->second.revision;
}

bool upstream_directory::in_grace(base::time_point now) const
{
    return store_lost_ || now < grace_until_;
}

std::string_view name(upstream_directory::removal outcome)
{
    switch (outcome)
    {
    case upstream_directory::removal::not_listed:
        return "not_listed";
    case upstream_directory::removal::outdated:
        return "outdated";
    case upstream_directory::removal::applied:
        return "believed";
    case upstream_directory::removal::deferred:
        return "waits";
    }
    return "unknown";
}

}  // namespace caraway::routing
