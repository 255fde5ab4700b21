#include "libcaraway/routing/placer.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace caraway::routing
{

namespace
{

using scheduling::combine;
using scheduling::stable_hash;

/// Parts remembered of one upstream; its memory holds fewer.
constexpr std::size_t max_parts = 2048;

/// Identifies a part with all that stands before it: only then can a cache use it.
std::vector<std::uint64_t> chain_of(const std::vector<prompt_part>& parts)
{
    std::vector<std::uint64_t> chain;
    std::uint64_t so_far = 0;
    for (const auto& part : parts)
    {
        so_far = combine(so_far, stable_hash(part.id));
        chain.push_back(so_far);
    }
    return chain;
}

/// The upstream that all routers take for the home of the deepest shared part.
const upstream* home_of(const std::vector<const upstream*>& candidates,
                        const std::vector<prompt_part>* parts)
{
    if (parts == nullptr || parts->size() < 2)
    {
        return nullptr;
    }
    const auto chain = chain_of(*parts);
    const auto deepest = chain[chain.size() - 2];
    const upstream* best = nullptr;
    std::uint64_t highest = 0;
    for (const auto* each : candidates)
    {
        const auto weight = combine(deepest, stable_hash(each->id.str()));
        if (best == nullptr || weight > highest)
        {
            best = each;
            highest = weight;
        }
    }
    return best;
}

}  // namespace

placer::placer(placement_options options) : options_(std::move(options)) {}

std::optional<placement> placer::choose(const placement_request& request,
                                        const upstream_directory& directory,
                                        const load_board& board,
                                        const scheduling::upstream_health& health,
                                        base::time_point now)
{
    const auto candidates = directory.usable(request.of->id);
    const auto* home = home_of(candidates, request.parts);
    std::optional<placement> best;
    double lowest = std::numeric_limits<double>::infinity();
    for (const auto* each : candidates)
    {
        const bool tried = std::find(request.tried.begin(), request.tried.end(), each->id) !=
                           request.tried.end();
        if (tried || !health.usable(each->id, board.own_running(each->id), now))
        {
            continue;
        }
        auto there = at(*each, request, each == home, board, now);
        if (!there)
        {
            continue;
        }
        const double costs = cost(*each, request, *there, board.total(each->id).running);
        if (costs < lowest)
        {
            lowest = costs;
            best = std::move(there);
        }
    }
    return best;
}

void placer::note_sent(const base::upstream_id& id, const std::vector<prompt_part>& parts,
                       base::time_point now)
{
    auto& known = read_[id];
    if (known.size() > max_parts)
    {
        std::erase_if(known, [&](const auto& each)
                      { return each.second + options_.part_lifetime <= now; });
    }
    const auto chain = chain_of(parts);
    for (std::size_t depth = 0; depth + 1 < chain.size(); ++depth)
    {
        known[chain[depth]] = now;
    }
}

void placer::forget(const base::upstream_id& id)
{
    read_.erase(id);
}

std::uint32_t placer::cached_tokens(const base::upstream_id& id,
                                    const std::vector<prompt_part>& parts, bool is_home,
                                    base::time_point now) const
{
    const auto found = read_.find(id);
    const auto chain = chain_of(parts);
    std::uint32_t tokens = 0;
    for (std::size_t depth = 0; depth + 1 < chain.size(); ++depth)
    {
        bool held = is_home;
        if (!held && found != read_.end())
        {
            const auto part = found->second.find(chain[depth]);
            held = part != found->second.end() && part->second + options_.part_lifetime > now;
        }
        if (!held)
        {
            break;
        }
        tokens += parts[depth].tokens;
    }
    return tokens;
}

std::optional<placement> placer::at(const upstream& where, const placement_request& request,
                                    bool is_home, const load_board& board,
                                    base::time_point now) const
{
    const auto total = board.total(where.id);
    if (!request.of->engine)
    {
        const auto places = static_cast<std::uint32_t>(options_.plain_depth * where.slots);
        if (total.running >= places)
        {
            return std::nullopt;
        }
        return placement{.where = where, .load = {.running = 1}};
    }
    const auto& engine = *request.of->engine;
    const auto places = std::max(1.0, std::floor(request.slot_share * engine.slots));
    const std::uint64_t needed = std::uint64_t{request.prompt_tokens} + request.output_tokens;
    const auto memory = static_cast<std::uint64_t>(options_.memory_share *
                                                   static_cast<double>(engine.kv_tokens));
    const bool idle = total.running == 0;
    if (total.running >= places || (!idle && total.held_tokens + needed > memory))
    {
        return std::nullopt;
    }
    const auto wait = std::chrono::milliseconds(static_cast<std::int64_t>(
        static_cast<double>(total.unread_tokens) / options_.read_tokens_per_ms));
    if (!idle && wait > request.longest_wait)
    {
        return std::nullopt;
    }
    const auto cached =
        request.parts ? cached_tokens(where.id, *request.parts, is_home, now) : 0;
    const auto unread = request.prompt_tokens - std::min(cached, request.prompt_tokens);
    return placement{.where = where,
                     .load = {.running = 1, .unread_tokens = unread, .held_tokens = needed},
                     .wait = wait};
}

double placer::cost(const upstream& where, const placement_request& request,
                    const placement& there, std::uint32_t running) const
{
    const double distance =
        where.zone == options_.zone ? 0 : static_cast<double>(options_.other_zone.count());
    if (!request.of->engine)
    {
        const double waiting = static_cast<double>(running) / std::max(1U, where.slots);
        return distance + waiting * static_cast<double>(options_.plain_call.count());
    }
    const double reading =
        static_cast<double>(there.load.unread_tokens) / options_.read_tokens_per_ms;
    const double slowing =
        std::chrono::duration<double, std::milli>(options_.running_request).count() * running;
    return distance + static_cast<double>(there.wait.count()) + reading + slowing;
}

}  // namespace caraway::routing
