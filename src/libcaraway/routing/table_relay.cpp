#include "libcaraway/routing/table_relay.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>
#include <tuple>

namespace caraway::routing
{

namespace
{

/// Orders routers of a zone: those that reach the store, then larger VMs, then by a hash that all
/// agree on.
using place_in_line = std::tuple<bool, double, std::uint64_t, base::node_id>;

place_in_line place_of(const base::node_id& id, bool bad, double capacity)
{
    return {bad, -capacity, scheduling::stable_hash(id.str()), id};
}

}  // namespace

table_relay::table_relay(base::node_id self, relay_options options)
    : self_(std::move(self)), options_(options)
{
}

void table_relay::set_leaving_notice(std::chrono::milliseconds notice)
{
    options_.leaving_notice = notice;
}

void table_relay::record_peer(const base::node_id& peer, double capacity, const table_state& of,
                              base::time_point now)
{
    const auto [place, added] = mates_.try_emplace(peer);
    auto& known = place->second;
    const bool answered = added || of.answer_count != known.state.answer_count;
    known.capacity = capacity;
    known.state = of;
    known.last_digest = now;
    if (answered)
    {
        known.answered = now;
    }
    const bool confirms = is_source(known, now) && answered &&
                          of.content_hash == copied_.content_hash &&
                          of.revision >= copied_.revision;
    if (confirms)
    {
        copied_.revision = of.revision;
        confirmed_ = now;
    }
}

void table_relay::set_own_state(double capacity, const table_state& of, bool has_read,
                                base::time_point now)
{
    capacity_ = capacity;
    has_read_ = has_read;
    if (!of.polls_store)
    {
        return;
    }
    if (of.answer_count != copied_.answer_count)
    {
        confirmed_ = now;
    }
    copied_ = of;
    copied_from_ = self_;
}

void table_relay::record_store_unreachable(base::time_point now)
{
    lost_at_ = now;
}

void table_relay::record_copy(const base::node_id& from, const table_state& of,
                              base::time_point now)
{
    copied_ = of;
    copied_from_ = from;
    confirmed_ = now;
}

void table_relay::wait_for_peers(base::time_point now)
{
    relies_since_ = now;
}

void table_relay::stop_waiting_for_peers()
{
    relies_since_.reset();
}

/// Until it has the tables and hears enough of its zone to know its place in line.
bool table_relay::relies_on_others(base::time_point now) const
{
    if (!relies_since_ || (has_read_ && is_shared(now)))
    {
        return false;
    }
    const auto since = now - *relies_since_;
    const bool confirmed = now - confirmed_ <= part_of_notice(options_.unconfirmed_fraction);
    return has_read_ ? confirmed && since < options_.settling_period
                     : since < options_.initial_copy_timeout;
}

bool table_relay::should_poll_store(base::time_point now) const
{
    if (relies_on_others(now))
    {
        return false;
    }
    if (!has_read_ || !is_shared(now) || rank(now) < options_.pollers)
    {
        return true;
    }
    return now - confirmed_ > part_of_notice(options_.unconfirmed_fraction);
}

bool table_relay::is_shared(base::time_point now) const
{
    return mates_heard(now) + 1 >= options_.min_shared_routers;
}

std::optional<base::node_id> table_relay::source(base::time_point now) const
{
    std::optional<base::node_id> best;
    std::uint64_t newest = copied_.revision;
    for (const auto& [id, each] : mates_)
    {
        // At the same revision two may differ in what they still hold around an outage; a router
        // keeps to the one it copied, or it would go back and forth between them.
        const auto& state = each.state;
        const bool newer = state.revision > newest ||
                           (id == copied_from_ && state.revision == copied_.revision && !best);
        if (is_source(each, now) && state.content_hash != copied_.content_hash && newer)
        {
            newest = state.revision;
            best = id;
        }
    }
    return best;
}

bool table_relay::is_store_unreachable(base::time_point now) const
{
    return lost_at_ && *lost_at_ + options_.avoid_period > now;
}

bool table_relay::is_stale(const mate& of, base::time_point now) const
{
    return of.state.polls_store && now - of.answered > part_of_notice(options_.stale_fraction);
}

bool table_relay::is_source(const mate& of, base::time_point now) const
{
    return of.state.polls_store && !of.state.store_unreachable && !is_stale(of, now);
}

std::size_t table_relay::rank(base::time_point now) const
{
    const auto own = place_of(self_, is_store_unreachable(now), capacity_);
    std::size_t before = 0;
    for (const auto& [id, each] : mates_)
    {
        const bool silent = now - each.last_digest > part_of_notice(options_.stale_fraction);
        const bool bad = each.state.store_unreachable || is_stale(each, now);
        before += !silent && place_of(id, bad, each.capacity) < own ? 1 : 0;
    }
    return before;
}

std::size_t table_relay::mates_heard(base::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        mates_.begin(), mates_.end(),
        [&](const auto& each)
        { return now - each.second.last_digest <= part_of_notice(options_.stale_fraction); }));
}

base::duration table_relay::part_of_notice(double part) const
{
    return std::chrono::duration_cast<base::duration>(options_.leaving_notice * part);
}

}  // namespace caraway::routing
