#include "libcaraway/routing/upstream_directory.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>
#include <utility>

namespace caraway::routing
{

upstream_directory::upstream_directory(directory_options options) : options_(options) {}

upstream_directory::change upstream_directory::put(const upstream& entry, const update_stamp& when)
{
    const auto known = last_.find(entry.id);
    const bool restarted =
        known != last_.end() && entry.process_start > known->second.process_start;
    const bool of_ended_life =
        known != last_.end() && entry.process_start < known->second.process_start;
    if (of_ended_life || !is_news(entry.id, when))
    {
        return change::outdated;
    }
    last_[entry.id].process_start = entry.process_start;
    missing_.erase(entry.id);
    auto& kept = entries_[entry.id];
    kept = entry;
    kept.hash = scheduling::stable_hash(entry.id.str());
    changes_.record(entry.id);
    usable_.clear();
    if (entry.draining)
    {
        leaving_.try_emplace(entry.id, entry.process_start, when.received);
    }
    else
    {
        leaving_.erase(entry.id);
    }
    return restarted ? change::restarted : change::same_incarnation;
}

upstream_directory::removal upstream_directory::remove(const base::upstream_id& id,
                                                       const update_stamp& when)
{
    if (!is_news(id, when))
    {
        return removal::outdated;
    }
    if (!entries_.contains(id))
    {
        return removal::not_listed;
    }
    if (in_grace(when.received) && !entries_.at(id).draining)
    {
        missing_[id] = true;
        return removal::deferred;
    }
    drop(id, when.received);
    return removal::applied;
}

std::vector<base::upstream_id>
upstream_directory::remove_unlisted(const std::set<base::upstream_id>& listed,
                                    const update_stamp& when)
{
    std::vector<base::upstream_id> absent;
    for (const auto& [id, entry] : entries_)
    {
        if (!listed.contains(id))
        {
            absent.push_back(id);
        }
    }
    std::vector<base::upstream_id> removed;
    for (const auto& id : absent)
    {
        if (remove(id, when) == removal::applied)
        {
            removed.push_back(id);
        }
    }
    return removed;
}

void upstream_directory::record_store_lost(base::time_point now)
{
    if (!lost_)
    {
        lost_since_ = now;
    }
    lost_ = true;
}

void upstream_directory::record_store_recovered(base::time_point now)
{
    if (!lost_)
    {
        return;
    }
    lost_ = false;
    grace_until_ = now + options_.recovery_grace;
}

std::vector<base::upstream_id> upstream_directory::cancel_grace(base::time_point now)
{
    grace_until_ = {};
    return drop_missing(now);
}

std::optional<base::time_point> upstream_directory::deferring_outage_start() const
{
    return missing_.empty() || lost_ ? std::nullopt : std::optional(lost_since_);
}

std::vector<base::upstream_id> upstream_directory::expire(base::time_point now)
{
    auto dropped = in_grace(now) ? std::vector<base::upstream_id>{} : drop_missing(now);
    for (auto* times : {&leaving_, &told_})
    {
        const auto ended =
            std::erase_if(*times, [&](const auto& each)
                          { return each.second.second + options_.leaving_retention <= now; });
        if (ended > 0)
        {
            usable_.clear();
        }
    }
    std::erase_if(last_,
                  [&](const auto& each)
                  {
                      return !entries_.contains(each.first) &&
                             each.second.received + options_.tombstone_retention <= now;
                  });
    return dropped;
}

std::vector<base::upstream_id> upstream_directory::drop_missing(base::time_point now)
{
    std::vector<base::upstream_id> dropped;
    for (const auto& [id, unused] : std::exchange(missing_, {}))
    {
        drop(id, now);
        dropped.push_back(id);
    }
    return dropped;
}

void upstream_directory::drop(const base::upstream_id& id, base::time_point now)
{
    if (const auto* known = find(id))
    {
        leaving_.try_emplace(id, known->process_start, now);
    }
    discard(id);
}

void upstream_directory::record_leaving(const leaving_upstream& what, base::time_point now)
{
    auto& told = told_[what.id];
    if (told.first != what.process_start || told.second == base::time_point{})
    {
        usable_.clear();
    }
    told = {what.process_start, now};
}

std::vector<leaving_upstream> upstream_directory::leaving(base::time_point now) const
{
    std::vector<leaving_upstream> out;
    for (const auto& [id, each] : leaving_)
    {
        if (each.second + options_.leaving_retention > now)
        {
            out.push_back({.id = id, .process_start = each.first});
        }
    }
    return out;
}

void upstream_directory::discard(const base::upstream_id& id)
{
    if (entries_.erase(id) > 0)
    {
        changes_.record(id);
    }
    missing_.erase(id);
    usable_.clear();
}

bool upstream_directory::discard(const base::upstream_id& id, const update_stamp& when)
{
    if (!is_news(id, when))
    {
        return false;
    }
    discard(id);
    return true;
}

bool upstream_directory::is_news(const base::upstream_id& id, const update_stamp& when)
{
    const auto [known, first] = last_.try_emplace(id);
    if (!first && when.revision <= known->second.revision)
    {
        return false;
    }
    known->second.revision = when.revision;
    known->second.received = when.received;
    return true;
}

bool upstream_directory::record_zone(const zone_update& what)
{
    const bool changed = zones_.record(what);
    if (changed)
    {
        usable_.clear();
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
                       [&](const auto& each) {
                           return each.second.service == service &&
                                  zones_.contains(each.second.zone);
                       });
}

double upstream_directory::undrained_fraction() const
{
    std::size_t all = 0;
    std::size_t used = 0;
    for (const auto& [id, each] : entries_)
    {
        all += each.draining ? 0 : 1;
        used += each.draining || zones_.contains(each.zone) ? 0 : 1;
    }
    return all == 0 ? 1 : static_cast<double>(used) / static_cast<double>(all);
}

const std::vector<const upstream*>&
upstream_directory::usable(const base::service_id& service) const
{
    const auto [place, added] = usable_.try_emplace(service);
    auto& found = place->second;
    if (!added)
    {
        return found;
    }
    for (const auto& [id, entry] : entries_)
    {
        if (entry.service == service && is_usable(entry))
        {
            found.push_back(&entry);
        }
    }
    return found;
}

bool upstream_directory::is_usable(const upstream& of) const
{
    const auto told = told_.find(of.id);
    const bool leaves = told != told_.end() && told->second.first == of.process_start;
    return !of.draining && !leaves && !zones_.contains(of.zone);
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
    if (mark_.first == changes_.position())
    {
        return mark_.second;
    }
    std::uint64_t all = 0;
    for (const auto& [id, entry] : entries_)
    {
        all = combine(all, entry.hash);
        all = combine(all, stable_hash(entry.service.str()));
        all = combine(all, stable_hash(entry.address.ip));
        all = combine(all, entry.address.port);
        all = combine(all, entry.slots * 2U + (entry.draining ? 1U : 0U));
        // Not how long: it counts down, and each router does that by itself.
        all = combine(all, entry.warmup_left.value_or(std::chrono::milliseconds(0)).count() > 0);
        all = combine(all, static_cast<std::uint64_t>(entry.process_start.count()));
    }
    mark_ = {changes_.position(), all};
    return all;
}

std::uint64_t upstream_directory::revision_of(const base::upstream_id& id) const
{
    const auto known = last_.find(id);
    return known == last_.end() ? 0 : known->second.revision;
}

bool upstream_directory::in_grace(base::time_point now) const
{
    return lost_ || now < grace_until_;
}

std::string_view name(upstream_directory::removal of)
{
    switch (of)
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
