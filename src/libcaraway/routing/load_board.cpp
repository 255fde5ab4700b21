#include "libcaraway/routing/load_board.hpp"

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
    unread_tokens += other.unread_tokens;
    held_tokens += other.held_tokens;
    return *this;
}

upstream_load& upstream_load::operator-=(const upstream_load& other)
{
    subtract(running, other.running);
    subtract(unread_tokens, other.unread_tokens);
    subtract(held_tokens, other.held_tokens);
    return *this;
}

load_board::load_board(load_options options) : options_(options) {}

void load_board::begin(const base::upstream_id& id, const upstream_load& of)
{
    own_[id] += of;
}

void load_board::prompt_read(const base::upstream_id& id, std::uint64_t unread_tokens)
{
    own_[id] -= upstream_load{.unread_tokens = unread_tokens};
}

void load_board::end(const base::upstream_id& id, const upstream_load& of)
{
    auto& mine = own_[id];
    mine -= of;
    if (mine.running == 0)
    {
        own_.erase(id);
    }
}

void load_board::set_peer(const base::node_id& peer, upstream_loads loads, base::time_point now)
{
    auto& known = peers_[peer];
    for (const auto& [id, load] : known.loads)
    {
        peers_total_[id] -= load;
    }
    for (const auto& [id, load] : loads)
    {
        peers_total_[id] += load;
    }
    known = {.loads = std::move(loads), .heard = now};
}

void load_board::drop_old_peers(base::time_point now, std::chrono::milliseconds lifetime)
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
            peers_total_[id] -= load;
        }
        each = peers_.erase(each);
    }
    std::erase_if(peers_total_, [](const auto& each) { return each.second == upstream_load{}; });
}

upstream_load load_board::total(const base::upstream_id& id) const
{
    upstream_load sum;
    if (const auto mine = own_.find(id); mine != own_.end())
    {
        sum += mine->second;
    }
    if (const auto theirs = peers_total_.find(id); theirs != peers_total_.end())
    {
        sum += theirs->second;
    }
    return sum;
}

std::uint32_t load_board::own_running(const base::upstream_id& id) const
{
    const auto mine = own_.find(id);
    return mine == own_.end() ? 0 : mine->second.running;
}

}  // namespace caraway::routing
