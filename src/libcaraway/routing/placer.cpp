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

/// The highest and second highest weight of a part over the candidates: rendezvous hashing.
std::pair<std::size_t, std::size_t> best_two(std::uint64_t part,
                                             const std::vector<const upstream*>& candidates)
{
    std::size_t first = prompt_homes::nowhere;
    std::size_t second = prompt_homes::nowhere;
    std::uint64_t highest = 0;
    std::uint64_t next = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        const auto weight = combine(part, candidates[index]->hash);
        if (first == prompt_homes::nowhere || weight > highest)
        {
            second = first;
            next = highest;
            first = index;
            highest = weight;
        }
        else if (second == prompt_homes::nowhere || weight > next)
        {
            second = index;
            next = weight;
        }
    }
    return {first, second};
}

prompt_homes homes_for(const std::vector<const upstream*>& candidates,
                       const std::vector<prompt_part>* parts)
{
    prompt_homes out;
    if (parts == nullptr || parts->size() < 2)
    {
        return out;
    }
    out.shared = chain_of(*parts);
    out.shared.pop_back();
    for (const auto part : out.shared)
    {
        const auto [first, second] = best_two(part, candidates);
        out.homes.push_back(first);
        out.second = second;
    }
    return out;
}

std::uint32_t shared_tokens(const placement_request& request)
{
    std::uint32_t tokens = 0;
    if (request.parts != nullptr && !request.parts->empty())
    {
        for (std::size_t part = 0; part + 1 < request.parts->size(); ++part)
        {
            tokens += (*request.parts)[part].tokens;
        }
    }
    return tokens;
}

bool was_tried(const placement_request& request, const base::upstream_id& id)
{
    return std::find(request.tried.begin(), request.tried.end(), id) != request.tried.end();
}

std::uint64_t needed_tokens(const placement_request& request)
{
    return std::uint64_t{request.prompt_tokens} + request.output_tokens;
}

std::uint32_t unread_tokens(const placement_request& request, std::uint32_t cached)
{
    return request.prompt_tokens - std::min(cached, request.prompt_tokens);
}

/// Behind the prompts that are before it; plain calls have none.
std::chrono::milliseconds wait_of(const placement_request& request, const upstream_load& total,
                                  double ms_per_token)
{
    if (!request.requested_service->engine)
    {
        return {};
    }
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(total.unread_tokens) * ms_per_token));
}

}  // namespace

placer::placer(placement_options options) : options_(std::move(options)) {}

std::optional<placement> placer::choose(const placement_request& request,
                                        const upstream_directory& directory,
                                        const load_board& board,
                                        const scheduling::upstream_health& health,
                                        const prefill_pace& pace, base::time_point now)
{
    const search within{.request = request,
                        .candidates = directory.usable(request.requested_service->id),
                        .board = board,
                        .health = health,
                        .pace = pace,
                        .now = now,
                        .homes =
                            homes_for(directory.usable(request.requested_service->id),
                                      request.requested_service->engine ? request.parts : nullptr),
                        .shared = shared_tokens(request),
                        .room = room_for(request)};
    const auto best = cheapest(within);
    if (!best)
    {
        return std::nullopt;
    }
    auto out = placed_at(*best, request);
    const auto& homes = within.homes.homes;
    const auto* home = homes.empty() ? nullptr : within.candidates[homes.back()];
    if (const auto* source =
            source_for(*best, home, request, within.shared - best->cached, health, now))
    {
        out.cache_source = *source;
    }
    return out;
}

/// In a fleet of thousands a request is compared with its homes and some drawn ones: among so many
/// one is nearly as good as the best of all, at a fraction of a small VM's time. Only if none of
/// them takes it are all asked, as capacity must not idle while work waits.
std::optional<placer::candidate> placer::cheapest(const search& within) const
{
    choice found;
    const auto count = within.candidates.size();
    if (count > options_.all_compared)
    {
        for (const auto home : within.homes.homes)
        {
            consider(within, home, found);
        }
        if (within.homes.second != prompt_homes::nowhere)
        {
            consider(within, within.homes.second, found);
        }
        const auto first =
            static_cast<std::size_t>(within.request.random_unit * static_cast<double>(count));
        for (std::size_t each = 0; each < options_.drawn; ++each)
        {
            consider(within, (first + each) % count, found);
        }
    }
    for (std::size_t index = 0; index < count && (count <= options_.all_compared || !found.best);
         ++index)
    {
        consider(within, index, found);
    }
    return found.best;
}

void placer::consider(const search& within, std::size_t index, choice& found) const
{
    const auto& request = within.request;
    const auto& where = *within.candidates[index];
    candidate each{.target = &where, .total = within.board.total(where.id)};
    // What most often rules one out comes first: with hundreds of engines, most of them full, a
    // request that finds no place costs a small VM more than one that is served.
    if (!has_room(where, request, within.room, each.total) || was_tried(request, where.id) ||
        !within.health.usable(where.id, within.board.own_running(where.id), within.now))
    {
        return;
    }
    if (request.cold_upstreams != nullptr && !request.cold_upstreams->may_send(where, within.now))
    {
        return;
    }
    each.ms_per_token = within.pace.ms_per_token(where.id);
    each.wait = wait_of(request, each.total, each.ms_per_token);
    if (each.total.running > 0 && each.wait > request.max_wait)
    {
        return;
    }
    const auto& homes = within.homes;
    each.cached = cached_tokens(where.id, request, homes.shared, homes.depth(index), within.now);
    const bool second_home = homes.second == index;
    if (within.shared - each.cached > request.max_repeated_tokens && !second_home)
    {
        return;
    }
    each.repeated = (within.shared - each.cached) * (second_home ? options_.second_home : 1.0);
    const double costs = cost(each, request);
    if (costs < found.lowest)
    {
        found.lowest = costs;
        found.best = each;
    }
}

const upstream* placer::source_for(const candidate& chosen, const upstream* home,
                                   const placement_request& request, std::uint32_t missing,
                                   const scheduling::upstream_health& health,
                                   base::time_point now) const
{
    const bool may_hold =
        home != nullptr && home != chosen.target && !was_tried(request, home->id) &&
        !health.ejected(home->id, now) &&
        (request.cold_upstreams == nullptr || !request.cold_upstreams->is_cold(home->id, now));
    const auto transfer = request.requested_service->engine
                              ? request.requested_service->engine->transfer_per_token.count()
                              : 0;
    if (!may_hold || transfer <= 0)
    {
        return nullptr;
    }
    const double gain = missing * (chosen.ms_per_token - transfer);
    return gain > static_cast<double>(options_.least_gain.count()) ? home : nullptr;
}

void placer::record_sent(const base::upstream_id& id, const std::vector<prompt_part>& parts,
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

std::uint32_t placer::cached_tokens(const base::upstream_id& id, const placement_request& request,
                                    const std::vector<std::uint64_t>& chain, std::size_t home_depth,
                                    base::time_point now) const
{
    const auto found = read_.find(id);
    std::size_t depth = home_depth;
    for (std::size_t part = home_depth; found != read_.end() && part < chain.size(); ++part)
    {
        const auto known = found->second.find(chain[part]);
        if (known != found->second.end() && known->second + options_.part_lifetime > now)
        {
            depth = part + 1;
        }
    }
    std::uint32_t tokens = 0;
    for (std::size_t part = 0; part < depth; ++part)
    {
        tokens += (*request.parts)[part].tokens;
    }
    return tokens;
}

placer::engine_room placer::room_for(const placement_request& request) const
{
    if (!request.requested_service->engine)
    {
        return {};
    }
    const auto& engine = *request.requested_service->engine;
    return {.places = std::max(1.0, std::floor(request.slot_share * engine.slots)),
            .tokens = static_cast<std::uint64_t>(options_.memory_share *
                                                 static_cast<double>(engine.kv_tokens))};
}

bool placer::has_room(const upstream& where, const placement_request& request,
                      const engine_room& room, const upstream_load& total) const
{
    if (!request.requested_service->engine)
    {
        return total.running < static_cast<std::uint32_t>(options_.plain_depth * where.slots);
    }
    const bool fits =
        total.running == 0 || total.held_tokens + needed_tokens(request) <= room.tokens;
    return total.running < room.places && fits;
}

double placer::cost(const candidate& of, const placement_request& request) const
{
    const auto& where = *of.target;
    const double distance =
        where.zone == options_.zone ? 0 : static_cast<double>(options_.other_zone.count());
    if (!request.requested_service->engine)
    {
        const double waiting = static_cast<double>(of.total.running) / std::max(1U, where.slots);
        return distance + waiting * static_cast<double>(options_.plain_call.count());
    }
    const double reading = unread_tokens(request, of.cached) * of.ms_per_token;
    const double slowing =
        std::chrono::duration<double, std::milli>(options_.running_request).count() *
        of.total.running;
    const double repeating = options_.repeat_weight * of.repeated * of.ms_per_token;
    return distance + static_cast<double>(of.wait.count()) + reading + repeating + slowing;
}

placement placer::placed_at(const candidate& of, const placement_request& request) const
{
    if (!request.requested_service->engine)
    {
        return {.target = *of.target, .load = {.running = 1}, .running = of.total.running};
    }
    return {.target = *of.target,
            .load = {.running = 1,
                     .unread_tokens = unread_tokens(request, of.cached),
                     .held_tokens = needed_tokens(request)},
            .wait = of.wait,
            .queued_tokens = of.total.unread_tokens,
            .running = of.total.running};
}

}  // namespace caraway::routing
