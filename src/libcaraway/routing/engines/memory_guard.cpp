#include "libcaraway/routing/engines/memory_guard.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::routing::engines
{

namespace
{

/// Fraction of an engine's KV cache that requests may reserve. The rest is for outputs longer than
/// expected, since an engine that runs out of memory prefills its newest request again or crashes.
constexpr double usable_kv_fraction = 0.92;
/// Fraction of the usable memory above which a router without a part of the rest places nothing.
constexpr double scarce_fraction = 0.5;
/// Fraction of the room that is divided evenly, so that a router without requests can begin.
constexpr double even_fraction = 0.1;

/// Uniform in [0, 1), the same on all routers.
double unit_hash(const base::upstream_id& id)
{
    constexpr int mantissa_bits = 53;
    const auto bits = scheduling::stable_hash(id.str()) >> (64 - mantissa_bits);
    return std::ldexp(static_cast<double>(bits), -mantissa_bits);
}

}  // namespace

void memory_guard::update(const load_tracker& loads, const base::node_id& self,
                          std::chrono::milliseconds digest_period)
{
    divides_room_ = true;
    max_digest_age_ = 2 * digest_period;
    const auto held = loads.held_by_peers();
    const auto own_held = static_cast<double>(loads.own_held_tokens());
    double total = own_held;
    double held_before_self = 0;
    double peers_before_self = 0;
    for (const auto& [peer, tokens] : held)
    {
        total += static_cast<double>(tokens);
        if (peer < self)
        {
            held_before_self += static_cast<double>(tokens);
            ++peers_before_self;
        }
    }
    const auto routers = static_cast<double>(held.size() + 1);
    const double weight_of_held = total > 0 ? (1 - even_fraction) / total : 0;
    const double weight_of_each = (total > 0 ? even_fraction : 1) / routers;
    part_begin_ = weight_of_held * held_before_self + weight_of_each * peers_before_self;
    part_end_ = part_begin_ + weight_of_held * own_held + weight_of_each;
}

double memory_guard::part_taken(const engine_capacity& engine, const upstream_load& load)
{
    const double slots = static_cast<double>(load.running) / std::max(1U, engine.slots);
    const double usable = usable_kv_fraction * static_cast<double>(engine.kv_tokens);
    const double memory = usable > 0 ? static_cast<double>(load.held_tokens) / usable : 0;
    return std::max(slots, memory);
}

bool memory_guard::has_room(const engine_capacity& engine, const base::upstream_id& id,
                            const known_load& load, std::uint64_t tokens) const
{
    if (load.own.running + load.peers.running == 0)
    {
        return true;
    }
    const double usable = std::floor(usable_kv_fraction * static_cast<double>(engine.kv_tokens));
    const auto held = static_cast<double>(load.own.held_tokens + load.peers.held_tokens);
    const auto needed = static_cast<double>(std::max<std::uint64_t>(1, tokens));
    if (held + needed > usable)
    {
        return false;
    }
    if (!divides_room_)
    {
        return true;
    }
    const auto untold = static_cast<double>(load.own.held_tokens - load.known_to_peers());
    const double room = std::floor((usable - held + untold) / needed);
    const double untold_requests = untold / needed;
    const bool is_surely_own = untold_requests + 1 <= std::floor(room * (part_end_ - part_begin_));
    return is_surely_own || (untold == 0 && !is_scarce(load, needed, usable)) ||
           untold_requests + 1 <= own_part(id, room);
}

bool memory_guard::is_scarce(const known_load& load, double tokens, double usable) const
{
    const auto held = static_cast<double>(load.own.held_tokens + load.peers.held_tokens);
    const double age_s = std::chrono::duration<double>(max_digest_age_).count();
    return held > scarce_fraction * usable ||
           held + tokens + load.growth_per_second() * age_s > usable;
}

double memory_guard::own_part(const base::upstream_id& id, double requests) const
{
    const double offset = unit_hash(id);
    return std::floor(requests * part_end_ + offset) - std::floor(requests * part_begin_ + offset);
}

}  // namespace caraway::routing::engines
