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

/// Where a request's shared parts are at home, among the candidates by index.
struct prompt_homes
{
    static constexpr std::size_t nowhere = std::numeric_limits<std::size_t>::max();

    /// Each shared part with all before it, and the home of each.
    std::vector<std::uint64_t> shared;
    std::vector<std::size_t> homes;
    /// The next in line for the deepest part.
    std::size_t second = nowhere;

    /// How many shared parts, from the first, the candidate is believed to hold as a home.
    std::size_t depth(std::size_t candidate) const
    {
        for (std::size_t part = homes.size(); part > 0; --part)
        {
            if (homes[part - 1] == candidate)
            {
                return part;
            }
        }
        return 0;
    }
};

/// The highest and second highest weight of a part over the candidates: rendezvous hashing.
std::pair<std::size_t, std::size_t> best_two(std::uint64_t part,
                                             const std::vector<std::uint64_t>& candidates)
{
    std::size_t first = prompt_homes::nowhere;
    std::size_t second = prompt_homes::nowhere;
    std::uint64_t highest = 0;
    std::uint64_t next = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        const auto weight = combine(part, candidates[index]);
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
    std::vector<std::uint64_t> ids;
    ids.reserve(candidates.size());
    for (const auto* each : candidates)
    {
        ids.push_back(stable_hash(each->id.str()));
    }
    for (const auto part : out.shared)
    {
        const auto [first, second] = best_two(part, ids);
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

}  // namespace

placer::placer(placement_options options) : options_(std::move(options)) {}

std::optional<placement> placer::choose(const placement_request& request,
                                        const upstream_directory& directory,
                                        const load_board& board,
                                        const scheduling::upstream_health& health,
                                        const reading_pace& pace, base::time_point now)
{
    const auto candidates = directory.usable(request.of->id);
    const auto homes = homes_for(candidates, request.of->engine ? request.parts : nullptr);
    std::optional<placement> best;
    double lowest = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        const auto* each = candidates[index];
        const bool tried =
            std::find(request.tried.begin(), request.tried.end(), each->id) != request.tried.end();
        if (tried || !health.usable(each->id, board.own_running(each->id), now))
        {
            continue;
        }
        const auto cached = cached_tokens(each->id, request, homes.shared, homes.depth(index), now);
        const bool second_home = homes.second == index;
        if (shared_tokens(request) - cached > request.most_repeated && !second_home)
        {
            continue;
        }
        const auto total = board.total(each->id);
        const double ms_per_token = pace.ms_per_token(each->id);
        auto there = at(*each, request, cached, total, ms_per_token);
        if (!there)
        {
            continue;
        }
        const double repeated =
            (shared_tokens(request) - cached) * (second_home ? options_.second_home : 1.0);
        const double costs = cost(*each, request, *there, repeated, ms_per_token);
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

std::optional<placement> placer::at(const upstream& where, const placement_request& request,
                                    std::uint32_t cached, const upstream_load& total,
                                    double ms_per_token) const
{
    if (!request.of->engine)
    {
        const auto places = static_cast<std::uint32_t>(options_.plain_depth * where.slots);
        if (total.running >= places)
        {
            return std::nullopt;
        }
        return placement{.where = where, .load = {.running = 1}, .running = total.running};
    }
    const auto& engine = *request.of->engine;
    const auto places = std::max(1.0, std::floor(request.slot_share * engine.slots));
    const std::uint64_t needed = std::uint64_t{request.prompt_tokens} + request.output_tokens;
    const auto memory =
        static_cast<std::uint64_t>(options_.memory_share * static_cast<double>(engine.kv_tokens));
    const bool idle = total.running == 0;
    if (total.running >= places || (!idle && total.held_tokens + needed > memory))
    {
        return std::nullopt;
    }
    const auto wait = std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(total.unread_tokens) * ms_per_token));
    if (!idle && wait > request.longest_wait)
    {
        return std::nullopt;
    }
    const auto unread = request.prompt_tokens - std::min(cached, request.prompt_tokens);
    return placement{.where = where,
                     .load = {.running = 1, .unread_tokens = unread, .held_tokens = needed},
                     .wait = wait,
                     .ahead = total.unread_tokens,
                     .running = total.running};
}

double placer::cost(const upstream& where, const placement_request& request, const placement& there,
                    double read_again, double ms_per_token) const
{
    const double distance =
        where.zone == options_.zone ? 0 : static_cast<double>(options_.other_zone.count());
    if (!request.of->engine)
    {
        const double waiting = static_cast<double>(there.running) / std::max(1U, where.slots);
        return distance + waiting * static_cast<double>(options_.plain_call.count());
    }
    const double reading = static_cast<double>(there.load.unread_tokens) * ms_per_token;
    const double slowing =
        std::chrono::duration<double, std::milli>(options_.running_request).count() * there.running;
    const double repeating = options_.repeat_weight * read_again * ms_per_token;
    return distance + static_cast<double>(there.wait.count()) + reading + repeating + slowing;
}

}  // namespace caraway::routing
