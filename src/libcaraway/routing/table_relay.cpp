#include "libcaraway/routing/table_relay.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>
#include <tuple>

namespace caraway::routing
{

namespace
{

/// The order in which a zone's routers are chosen to poll the store: first those that can reach it,
/// then larger VMs, then by a hash of the id, which is equal at all routers.
using poller_order = std::tuple<bool, double, std::uint64_t, base::node_id>;

poller_order poller_order_of(const base::node_id& id, bool is_deprioritized, double capacity)
{
    return {is_deprioritized, -capacity, scheduling::stable_hash(id.str()), id};
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

void table_relay::record_peer(const base::node_id& peer, double capacity, const table_state& state,
                              base::time_point received)
{
    const auto [position, inserted] = peers_.try_emplace(peer);
    auto& known = position->second;
    const bool has_new_answer = inserted || state.answer_count != known.state.answer_count;
    known.capacity = capacity;
    known.state = state;
    known.last_digest = received;
    if (has_new_answer)
    {
        known.last_answer = received - state.answer_age;
    }
    const bool confirms_copy = is_source(known, received) && has_new_answer &&
                               state.content_hash == copy_.content_hash &&
                               state.revision >= copy_.revision;
    if (confirms_copy)
    {
        copy_.revision = state.revision;
        confirm(known.last_answer);
    }
}

void table_relay::confirm(base::time_point answered)
{
    last_confirmed_ = std::max(last_confirmed_, answered);
}

void table_relay::set_own_state(double capacity, const table_state& state, bool has_read,
                                base::time_point now)
{
    capacity_ = capacity;
    has_read_ = has_read;
    if (!state.polls_store)
    {
        return;
    }
    if (state.answer_count != copy_.answer_count)
    {
        confirm(now - state.answer_age);
    }
    copy_ = state;
    copy_source_ = self_;
}

void table_relay::record_store_unreachable(base::time_point now)
{
    last_store_failure_ = now;
}

void table_relay::record_copy(const base::node_id& from, const table_state& state,
                              base::time_point now)
{
    copy_ = state;
    copy_source_ = from;
    confirm(now - state.answer_age);
}

void table_relay::wait_for_peers(base::time_point now)
{
    waiting_since_ = now;
}

void table_relay::stop_waiting_for_peers()
{
    waiting_since_.reset();
}

/// True at a start until this router has the tables and knows enough peers of its zone to rank
/// itself, or until the time limits for that are over.
bool table_relay::is_waiting_for_peers(base::time_point now) const
{
    if (!waiting_since_ || (has_read_ && is_shared(now)))
    {
        return false;
    }
    const auto waited = now - *waiting_since_;
    const bool is_confirmed =
        now - last_confirmed_ <= fraction_of_notice(options_.settling_unconfirmed_fraction);
    return has_read_ ? is_confirmed && waited < options_.settling_period
                     : waited < options_.initial_copy_timeout;
}

bool table_relay::should_poll_store(base::time_point now) const
{
    if (is_waiting_for_peers(now))
    {
        return false;
    }
    if (!has_read_ || !is_shared(now) || rank(now) < options_.pollers)
    {
        return true;
    }
    return now - last_confirmed_ > fraction_of_notice(options_.unconfirmed_fraction);
}

bool table_relay::is_shared(base::time_point now) const
{
    return reachable_peer_count(now) + 1 >= options_.min_shared_routers;
}

std::optional<base::node_id> table_relay::source(base::time_point now) const
{
    std::optional<base::node_id> best;
    std::uint64_t newest = copy_.revision;
    for (const auto& [id, peer] : peers_)
    {
        // Around an outage, two pollers at the same revision may hold different entries. A router
        // stays with the one that it copied, or it would alternate between them.
        const auto& state = peer.state;
        const bool is_preferred = state.revision > newest ||
                                  (id == copy_source_ && state.revision == copy_.revision && !best);
        if (is_source(peer, now) && state.content_hash != copy_.content_hash && is_preferred)
        {
            newest = state.revision;
            best = id;
        }
    }
    return best;
}

bool table_relay::is_store_unreachable(base::time_point now) const
{
    return last_store_failure_ && *last_store_failure_ + options_.avoid_period > now;
}

bool table_relay::is_stale(const peer_state& peer, base::time_point now) const
{
    return peer.state.polls_store &&
           now - peer.last_answer > fraction_of_notice(options_.stale_fraction);
}

bool table_relay::is_silent(const peer_state& peer, base::time_point now) const
{
    return now - peer.last_digest > fraction_of_notice(options_.silent_fraction);
}

bool table_relay::is_deprioritized(const peer_state& peer, base::time_point now) const
{
    return peer.state.store_unreachable || is_stale(peer, now);
}

bool table_relay::is_source(const peer_state& peer, base::time_point now) const
{
    return peer.state.polls_store && !peer.state.store_unreachable && !is_stale(peer, now);
}

std::size_t table_relay::rank(base::time_point now) const
{
    const auto own = poller_order_of(self_, is_store_unreachable(now), capacity_);
    std::size_t preceding = 0;
    for (const auto& [id, peer] : peers_)
    {
        const auto order = poller_order_of(id, is_deprioritized(peer, now), peer.capacity);
        preceding += !is_silent(peer, now) && order < own ? 1 : 0;
    }
    return preceding;
}

std::optional<base::node_id> table_relay::first_poller(bool polls_itself,
                                                       base::time_point now) const
{
    std::optional<poller_order> first;
    if (polls_itself)
    {
        first = poller_order_of(self_, is_store_unreachable(now), capacity_);
    }
    for (const auto& [id, peer] : peers_)
    {
        if (!is_silent(peer, now) && peer.state.polls_store)
        {
            const auto order = poller_order_of(id, is_deprioritized(peer, now), peer.capacity);
            first = std::min(first.value_or(order), order);
        }
    }
    return first ? std::optional(std::get<base::node_id>(*first)) : std::nullopt;
}

bool table_relay::polls_store(const base::node_id& peer) const
{
    const auto known = peers_.find(peer);
    return known != peers_.end() && known->second.state.polls_store;
}

std::size_t table_relay::reachable_peer_count(base::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(),
                                                  [&](const auto& peer)
                                                  { return !is_silent(peer.second, now); }));
}

base::duration table_relay::fraction_of_notice(double fraction) const
{
    return std::chrono::duration_cast<base::duration>(options_.leaving_notice * fraction);
}

}  // namespace caraway::routing
