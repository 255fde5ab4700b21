#include "libcaraway/routing/engines/load_tracker.hpp"

#include <algorithm>

namespace caraway::routing::engines
{

namespace
{

template <class Number>
void subtract(Number& value, Number amount)
{
    value -= std::min(value, amount);
}

/// Calls `changed` for each of the loads that isn't the same among the others. Most are, in two
/// digests that follow each other.
template <class Changed>
void for_each_changed(const upstream_loads& loads, const upstream_loads& others,
                      const Changed& changed)
{
    auto other = others.begin();
    for (const auto& [id, load] : loads)
    {
        while (other != others.end() && other->first < id)
        {
            ++other;
        }
        const bool is_same = other != others.end() && other->first == id && other->second == load;
        if (!is_same)
        {
            changed(id, load);
        }
    }
}

}  // namespace

upstream_load& upstream_load::operator+=(const upstream_load& other)
{
    running += other.running;
    pending_prefill_tokens += other.pending_prefill_tokens;
    held_tokens += other.held_tokens;
    return *this;
}

upstream_load& upstream_load::operator-=(const upstream_load& other)
{
    subtract(running, other.running);
    subtract(pending_prefill_tokens, other.pending_prefill_tokens);
    subtract(held_tokens, other.held_tokens);
    return *this;
}

load_tracker::load_tracker(load_options options) : options_(options) {}

void load_tracker::record_start(const base::upstream_id& id, const upstream_load& load)
{
    loads_[id].own += load;
}

void load_tracker::record_prefill_done(const base::upstream_id& id,
                                       std::uint64_t pending_prefill_tokens)
{
    if (const auto known = loads_.find(id); known != loads_.end())
    {
        known->second.own -= upstream_load{.pending_prefill_tokens = pending_prefill_tokens};
    }
}

void load_tracker::record_end(const base::upstream_id& id, const upstream_load& load)
{
    auto& own = loads_[id].own;
    own -= load;
    if (own.running == 0)
    {
        own = {};
        erase_if_idle(id);
    }
}

void load_tracker::set_peer(const base::node_id& peer, upstream_loads loads, base::time_point now)
{
    auto& known_peer = peers_[peer];
    for_each_changed(loads, known_peer.loads,
                     [&](const auto& id, const auto& load) { loads_[id].peers += load; });
    for_each_changed(known_peer.loads, loads,
                     [&](const auto& id, const auto& load)
                     {
                         loads_[id].peers -= load;
                         erase_if_idle(id);
                     });
    known_peer = {.loads = std::move(loads), .received = now};
}

void load_tracker::expire_peers(base::time_point now, std::chrono::milliseconds lifetime)
{
    lifetime = std::max(lifetime, options_.peer_lifetime);
    for (auto entry = peers_.begin(); entry != peers_.end();)
    {
        if (entry->second.received + lifetime > now)
        {
            ++entry;
            continue;
        }
        for (const auto& [id, load] : entry->second.loads)
        {
            loads_[id].peers -= load;
            erase_if_idle(id);
        }
        entry = peers_.erase(entry);
    }
}

void load_tracker::erase_if_idle(const base::upstream_id& id)
{
    const auto found = loads_.find(id);
    if (found->second.own == upstream_load{} && found->second.peers == upstream_load{})
    {
        loads_.erase(found);
    }
}

upstream_loads load_tracker::own_loads() const
{
    upstream_loads loads;
    for (const auto& [id, known] : loads_)
    {
        if (known.own.running > 0)
        {
            loads.emplace(id, known.own);
        }
    }
    return loads;
}

upstream_load load_tracker::total(const base::upstream_id& id) const
{
    const auto known = loads_.find(id);
    if (known == loads_.end())
    {
        return {};
    }
    auto sum = known->second.own;
    sum += known->second.peers;
    return sum;
}

std::uint32_t load_tracker::own_running(const base::upstream_id& id) const
{
    const auto known = loads_.find(id);
    return known == loads_.end() ? 0 : known->second.own.running;
}

}  // namespace caraway::routing::engines
