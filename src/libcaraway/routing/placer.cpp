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

/// What of a request is the same at all upstreams.
struct prompt_chain
{
    /// Each shared part with all before it.
    std::vector<std::uint64_t> shared;
    /// Hashes of the candidates' ids.
    std::vector<std::uint64_t> candidates;
};

prompt_chain chain_for(const std::vector<const upstream*>& candidates,
                       const std::vector<prompt_part>* parts)
{
    prompt_chain chain;
    if (parts == nullptr || parts->size() < 2)
    {
        return chain;
    }
    chain.shared = chain_of(*parts);
    chain.shared.pop_back();
    for (const auto* each : candidates)
    {
        chain.candidates.push_back(stable_hash(each->id.str()));
    }
    return chain;
}

/// How many shared parts, from the first, the candidate is the home of, by each part's own home.
std::size_t home_depth(const prompt_chain& chain, std::size_t candidate)
{
    std::size_t depth = 0;
    for (std::size_t part = 0; part < chain.shared.size(); ++part)
    {
        const auto mine = combine(chain.shared[part], chain.candidates[candidate]);
        const bool home = std::none_of(chain.candidates.begin(), chain.candidates.end(),
                                       [&](std::uint64_t other)
                                       { return combine(chain.shared[part], other) > mine; });
        depth = home ? part + 1 : depth;
    }
    return depth;
}

/// Whether exactly one other candidate comes before this one for the deepest shared part.
bool is_second_home(const prompt_chain& chain, std::size_t candidate)
{
    if (chain.shared.empty())
    {
        return false;
    }
    const auto mine = combine(chain.shared.back(), chain.candidates[candidate]);
    return std::count_if(chain.candidates.begin(), chain.candidates.end(),
                         [&](std::uint64_t other)
                         { return combine(chain.shared.back(), other) > mine; }) == 1;
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
                                        base::time_point now)
{
    const auto candidates = directory.usable(request.of->id);
    const auto chain = chain_for(candidates, request.of->engine ? request.parts : nullptr);
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
        const auto cached = cached_tokens(each->id, request, chain.shared,
                                          chain.shared.empty() ? 0 : home_depth(chain, index), now);
        if (shared_tokens(request) - cached > request.most_repeated &&
            !is_second_home(chain, index))
        {
            continue;
        }
        auto there = at(*each, request, cached, board);
        if (!there)
        {
            continue;
        }
        const double repeated = (shared_tokens(request) - cached) *
                                (is_second_home(chain, index) ? options_.second_home : 1.0);
        const double costs = cost(*each, request, *there, repeated, board.total(each->id).running);
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
                                    std::uint32_t cached, const load_board& board) const
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
    const auto memory =
        static_cast<std::uint64_t>(options_.memory_share * static_cast<double>(engine.kv_tokens));
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
    const auto unread = request.prompt_tokens - std::min(cached, request.prompt_tokens);
    return placement{.where = where,
                     .load = {.running = 1, .unread_tokens = unread, .held_tokens = needed},
                     .wait = wait};
}

double placer::cost(const upstream& where, const placement_request& request, const placement& there,
                    double read_again, std::uint32_t running) const
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
    const double repeating = options_.repeat_weight * read_again / options_.read_tokens_per_ms;
    return distance + static_cast<double>(there.wait.count()) + reading + repeating + slowing;
}

}  // namespace caraway::routing
