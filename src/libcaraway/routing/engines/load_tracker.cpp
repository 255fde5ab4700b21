#include "libcaraway/routing/engines/load_tracker.hpp"

#include <algorithm>
#include <utility>

namespace caraway::routing::engines
{

namespace
{

/// Growth of held tokens is counted over this time, so a sum is also a rate per second.
constexpr std::chrono::seconds growth_period{1};

template <class Number>
void subtract(Number& value, Number amount)
{
    value -= std::min(value, amount);
}

/// Calls `changed` for each of the loads that isn't the same among the others, with the load there.
/// Most are the same in two digests that follow each other.
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
        const bool is_known = other != others.end() && other->first == id;
        const auto other_load = is_known ? other->second : upstream_load{};
        if (!is_known || load != other_load)
        {
            changed(id, load, other_load);
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

upstream_load known_load::total() const
{
    auto sum = own;
    sum += peers;
    return sum;
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
                     [&](const auto& id, const auto& load, const auto& before)
                     {
                         auto& known = loads_[id];
                         known.peers += load;
                         known.growth += static_cast<double>(
                             load.held_tokens - std::min(load.held_tokens, before.held_tokens));
                     });
    for_each_changed(known_peer.loads, loads,
                     [&](const auto& id, const auto& load, const auto& /*after*/)
                     {
                         loads_[id].peers -= load;
                         erase_if_idle(id);
                     });
    known_peer = {.loads = std::move(loads), .received = now};
}

void load_tracker::expire_peers(base::time_point now, std::chrono::milliseconds lifetime)
{
    lifetime = std::max(lifetime, options_.peer_lifetime);
    start_growth_period(now);
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

void load_tracker::start_growth_period(base::time_point now)
{
    if (now < growth_period_start_ + growth_period)
    {
        return;
    }
    growth_period_start_ = now;
    for (auto& [id, known] : loads_)
    {
        known.last_growth = std::exchange(known.growth, 0);
    }
}

void load_tracker::record_told(std::chrono::milliseconds digest_period, base::time_point now)
{
    const bool is_next_period = now >= told_period_start_ + digest_period;
    if (is_next_period)
    {
        told_period_start_ = now;
    }
    for (auto& [id, known] : loads_)
    {
        if (is_next_period)
        {
            known.told_before_tokens = known.told_tokens;
        }
        known.told_tokens = known.own.held_tokens;
    }
}

const known_load& load_tracker::load_of(const base::upstream_id& id) const
{
    static const known_load idle;
    const auto known = loads_.find(id);
    return known == loads_.end() ? idle : known->second;
}

std::map<base::node_id, std::uint64_t> load_tracker::held_by_peers() const
{
    std::map<base::node_id, std::uint64_t> held;
    for (const auto& [peer, entry] : peers_)
    {
        auto& sum = held[peer];
        for (const auto& [id, load] : entry.loads)
        {
            sum += load.held_tokens;
        }
    }
    return held;
}

std::uint64_t load_tracker::own_held_tokens() const
{
    std::uint64_t sum = 0;
    for (const auto& [id, known] : loads_)
    {
        sum += known.own.held_tokens;
    }
    return sum;
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
    return load_of(id).total();
}

std::uint32_t load_tracker::own_running(const base::upstream_id& id) const
{
    const auto known = loads_.find(id);
    return known == loads_.end() ? 0 : known->second.own.running;
}

}  // namespace caraway::routing::engines
