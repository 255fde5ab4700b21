#include "libcaraway/scheduling/report_schedule.hpp"

#include <algorithm>
#include <utility>

namespace caraway::scheduling
{

namespace
{

/// An empty report is sent this many more times. If all copies are lost, the owner counts the slots
/// as held until it drops the last report it received as stale.
constexpr std::uint32_t empty_report_repeats = 2;

}  // namespace

report_schedule::report_schedule(const scheduler_options& options, base::node_ref self)
    : options_(options), self_(std::move(self))
{
}

void report_schedule::mark_changed(const base::node_ref& owner, base::time_point now)
{
    auto& state = peers_[owner];
    const bool must_wait = state.last_sent && owner != self_;
    mark_at(state, must_wait ? std::max(now, *state.last_sent + options_.report_delay) : now);
}

void report_schedule::mark_deferred(const base::node_ref& owner, base::time_point now)
{
    mark_at(peers_[owner], now + options_.report_deferred_delay);
}

void report_schedule::mark_at(peer& state, base::time_point due_time)
{
    state.due_at = state.due_at ? std::min(*state.due_at, due_time) : due_time;
    state.changed = true;
}

std::vector<base::node_ref> report_schedule::due(base::time_point now) const
{
    std::vector<base::node_ref> owners;
    for (const auto& [owner, state] : peers_)
    {
        if (state.due_at && *state.due_at <= now)
        {
            owners.push_back(owner);
        }
    }
    return owners;
}

std::uint64_t report_schedule::record_sent(const base::node_ref& owner, bool is_empty,
                                           base::time_point now)
{
    auto& state = peers_[owner];
    state.last_sent = now;
    state.due_at.reset();
    const bool changed = std::exchange(state.changed, false);
    state.empty_repeats = is_empty && !changed ? state.empty_repeats + 1 : 0;
    if (changed)
    {
        state.due_at = now + options_.report_refresh;
    }
    else if (!is_empty || state.empty_repeats < empty_report_repeats)
    {
        state.due_at = now + options_.report_slow_refresh;
    }
    return ++state.sequence;
}

std::optional<base::time_point> report_schedule::next_wakeup() const
{
    std::optional<base::time_point> next;
    for (const auto& [owner, state] : peers_)
    {
        if (state.due_at && (!next || *state.due_at < *next))
        {
            next = state.due_at;
        }
    }
    return next;
}

void report_schedule::retain(const std::function<bool(const base::node_ref&)>& alive)
{
    std::erase_if(peers_, [&](const auto& entry) { return !alive(entry.first); });
}

}  // namespace caraway::scheduling
