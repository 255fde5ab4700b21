#include "libcaraway/scheduling/report_schedule.hpp"

#include <algorithm>
#include <utility>

namespace caraway::scheduling
{

namespace
{

/// An empty report is sent so many times more. If all get lost, the owner takes the slots for held
/// until it drops what it heard last as stale.
constexpr std::uint32_t empty_report_repeats = 2;

}  // namespace

report_schedule::report_schedule(const scheduler_options& options, base::node_ref self)
    : options_(options), self_(std::move(self))
{
}

void report_schedule::mark_changed(const base::node_ref& owner, base::time_point now)
{
    auto& each = peers_[owner];
    const bool wait = each.last_sent && owner != self_;
    mark_at(each, wait ? std::max(now, *each.last_sent + options_.report_delay) : now);
}

void report_schedule::mark_deferred(const base::node_ref& owner, base::time_point now)
{
    mark_at(peers_[owner], now + options_.report_deferred_delay);
}

void report_schedule::mark_at(peer& each, base::time_point when)
{
    each.due_at = each.due_at ? std::min(*each.due_at, when) : when;
    each.changed = true;
}

std::vector<base::node_ref> report_schedule::due(base::time_point now) const
{
    std::vector<base::node_ref> owners;
    for (const auto& [owner, each] : peers_)
    {
        if (each.due_at && *each.due_at <= now)
        {
            owners.push_back(owner);
        }
    }
    return owners;
}

std::uint64_t report_schedule::record_sent(const base::node_ref& owner, bool empty,
                                           base::time_point now)
{
    auto& each = peers_[owner];
    each.last_sent = now;
    each.due_at.reset();
    const bool changed = std::exchange(each.changed, false);
    each.empty_repeats = empty && !changed ? each.empty_repeats + 1 : 0;
    if (changed)
    {
        each.due_at = now + options_.report_refresh;
    }
    else if (!empty || each.empty_repeats < empty_report_repeats)
    {
        each.due_at = now + options_.report_slow_refresh;
    }
    return ++each.sequence;
}

std::optional<base::time_point> report_schedule::next_wakeup() const
{
    std::optional<base::time_point> next;
    for (const auto& [owner, each] : peers_)
    {
        if (each.due_at && (!next || *each.due_at < *next))
        {
            next = each.due_at;
        }
    }
    return next;
}

void report_schedule::retain(const std::function<bool(const base::node_ref&)>& alive)
{
    std::erase_if(peers_, [&](const auto& each) { return !alive(each.first); });
}

}  // namespace caraway::scheduling
