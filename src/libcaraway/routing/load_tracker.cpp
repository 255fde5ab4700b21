#include "libcaraway/routing/load_tracker.hpp"

#include <algorithm>

namespace caraway::routing
{

namespace
{

template <class Number>
void subtract(Number& from, Number amount)
{
    from -= std::min(from, amount);
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

void load_tracker::record_start(const base::upstream_id& id, const upstream_load& of)
{
    loads_[id].own += of;
}

void load_tracker::record_prefill_done(const base::upstream_id& id, std::uint64_t unread_tokens)
{
    if (const auto known = loads_.find(id); known != loads_.end())
    {
        known->second.own -= upstream_load{.pending_prefill_tokens = unread_tokens};
    }
}

void load_tracker::record_end(const base::upstream_id& id, const upstream_load& of)
{
    auto& mine = loads_[id].own;
    mine -= of;
    if (mine.running == 0)
    {
        mine = {};
        forget_if_empty(id);
    }
}

void load_tracker::set_peer(const base::node_id& peer, upstream_loads loads, base::time_point now)
{
    auto& known = peers_[peer];
    for (const auto& [id, load] : loads)
    {
        loads_[id].others += load;
    }
    for (const auto& [id, load] : known.loads)
    {
        loads_[id].others -= load;
        forget_if_empty(id);
    }
    known = {.loads = std::move(loads), .heard = now};
}

void load_tracker::expire_peers(base::time_point now, std::chrono::milliseconds lifetime)
{
    lifetime = std::max(lifetime, options_.peer_lifetime);
    for (auto each = peers_.begin(); each != peers_.end();)
    {
        if (each->second.heard + lifetime > now)
        {
            ++each;
            continue;
        }
        for (const auto& [id, load] : each->second.loads)
        {
            loads_[id].others -= load;
            forget_if_empty(id);
        }
        each = peers_.erase(each);
    }
}

void load_tracker::forget_if_empty(const base::upstream_id& id)
{
    const auto found = loads_.find(id);
    if (found->second.own == upstream_load{} && found->second.others == upstream_load{})
    {
        loads_.erase(found);
    }
}

upstream_loads load_tracker::own_loads() const
{
    upstream_loads out;
    for (const auto& [id, known] : loads_)
    {
        if (known.own.running > 0)
        {
            out.emplace(id, known.own);
        }
    }
    return out;
}

upstream_load load_tracker::total(const base::upstream_id& id) const
{
    const auto known = loads_.find(id);
    if (known == loads_.end())
    {
        return {};
    }
    auto sum = known->second.own;
    sum += known->second.others;
    return sum;
}

std::uint32_t load_tracker::own_running(const base::upstream_id& id) const
{
    const auto known = loads_.find(id);
    return known == loads_.end() ? 0 : known->second.own.running;
}

}  // namespace caraway::routing
