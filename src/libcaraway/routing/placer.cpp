#include "libcaraway/routing/placer.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace caraway::routing
{

namespace
{

/// Parts recorded per upstream before expired ones are removed; the cache of an engine holds fewer.
constexpr std::size_t max_recorded_parts = 2048;

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

bool is_other_version(const placement_request& request, const upstream& target)
{
    return request.software && target.software != *request.software;
}

std::uint64_t needed_tokens(const placement_request& request)
{
    return std::uint64_t{request.prompt_tokens} + request.output_tokens;
}

std::uint32_t uncached_tokens(const placement_request& request, std::uint32_t cached)
{
    return request.prompt_tokens - std::min(cached, request.prompt_tokens);
}

/// Estimated time queued behind the prefill of other prompts; none for plain calls.
std::chrono::milliseconds queue_wait(const placement_request& request,
                                     const engines::upstream_load& total, double ms_per_token)
{
    if (!request.requested_service->engine)
    {
        return {};
    }
    return std::chrono::milliseconds(static_cast<std::int64_t>(
        static_cast<double>(total.pending_prefill_tokens) * ms_per_token));
}

}  // namespace

placer::placer(placement_options options) : options_(std::move(options)) {}

std::optional<placement> placer::choose(const placement_request& request,
                                        const upstream_directory& directory,
                                        const engines::load_tracker& board,
                                        const scheduling::upstream_health& health,
                                        const engines::engine_view& engines, base::time_point now)
{
    const auto& candidates = directory.usable(request.requested_service->id);
    const search_context context{
        .request = request,
        .candidates = candidates,
        .board = board,
        .health = health,
        .engines = engines,
        .now = now,
        .homes = homes_.find(
            request.requested_service->engine ? request.parts : nullptr, candidates,
            [&](const auto& id) { return engines.relative_throughput(id); }, now),
        .shared = shared_tokens(request)};
    const auto best = cheapest(context);
    if (!best)
    {
        return std::nullopt;
    }
    auto out = make_placement(*best, request);
    const auto& homes = context.homes.homes;
    const auto* home = homes.empty() ? nullptr : context.candidates[homes.back()];
    if (const auto* source =
            find_cache_source(*best, home, request, context.shared - best->cached, health, now))
    {
        out.cache_source = *source;
    }
    return out;
}

/// In a service with thousands of upstreams, only the homes of a request and a sample of the others
/// are compared: the best of them is nearly as good as the best of all, at a fraction of the CPU
/// time of a small VM. All upstreams are compared only if none of these has room, so that no
/// capacity is idle while requests wait.
std::optional<placer::candidate> placer::cheapest(const search_context& context) const
{
    search_result result;
    const auto count = context.candidates.size();
    if (count > options_.max_full_scan)
    {
        for (const auto home : context.homes.homes)
        {
            consider(context, home, result);
        }
        for (const auto home : context.homes.further_homes)
        {
            consider(context, home, result);
        }
        const auto first =
            static_cast<std::size_t>(context.request.random_unit * static_cast<double>(count));
        for (std::size_t step = 0; step < options_.sample_size; ++step)
        {
            consider(context, (first + step) % count, result);
        }
    }
    for (std::size_t index = 0; index < count && (count <= options_.max_full_scan || !result.best);
         ++index)
    {
        consider(context, index, result);
    }
    return result.best;
}

void placer::consider(const search_context& context, std::size_t index, search_result& result) const
{
    const auto& request = context.request;
    const auto& target = *context.candidates[index];
    const auto& load = context.board.load_of(target.id);
    candidate considered{.target = &target, .total = load.total()};
    // The most frequent reason for exclusion is checked first: with hundreds of engines, most of
    // them full, placing nothing takes a small VM more CPU time than serving a request.
    if (!has_room(context, target, load) || was_tried(request, target.id) ||
        is_other_version(request, target) ||
        !context.health.usable(target.id, load.own.running, context.now))
    {
        return;
    }
    if (request.cold_upstreams != nullptr && !request.cold_upstreams->may_send(target, context.now))
    {
        return;
    }
    considered.estimate = context.engines.estimate(target.id, context.now);
    considered.wait =
        queue_wait(request, considered.total, considered.estimate.prefill_ms_per_token);
    if (considered.total.running > 0 && considered.wait > request.max_wait)
    {
        return;
    }
    const auto& homes = context.homes;
    considered.cached =
        cached_tokens(target.id, request, homes.prefixes, homes.depth(index), context.now);
    const bool at_further_home = homes.is_further_home(index);
    if (context.shared - considered.cached > request.max_repeated_tokens && !at_further_home)
    {
        return;
    }
    considered.repeated = (context.shared - considered.cached) *
                          (at_further_home ? options_.second_home_factor : 1.0);
    const double total_cost = cost(considered, request);
    if (total_cost < result.lowest_cost)
    {
        result.lowest_cost = total_cost;
        result.best = considered;
    }
}

const upstream* placer::find_cache_source(const candidate& chosen, const upstream* home,
                                          const placement_request& request, std::uint32_t missing,
                                          const scheduling::upstream_health& health,
                                          base::time_point now) const
{
    const bool may_hold =
        home != nullptr && home != chosen.target && !was_tried(request, home->id) &&
        home->software == chosen.target->software && !health.excluded(home->id, now) &&
        (request.cold_upstreams == nullptr || !request.cold_upstreams->is_cold(home->id, now));
    const auto transfer_ms_per_token =
        request.requested_service->engine
            ? request.requested_service->engine->transfer_per_token.count()
            : 0;
    if (!may_hold || transfer_ms_per_token <= 0)
    {
        return nullptr;
    }
    const double gain = missing * (chosen.estimate.prefill_ms_per_token - transfer_ms_per_token);
    return gain > static_cast<double>(options_.min_transfer_gain.count()) ? home : nullptr;
}

void placer::record_sent(const base::upstream_id& id, const std::vector<prompt_part>& prompt,
                         base::time_point now)
{
    homes_.record_use(prompt, now);
    auto& recorded = cached_parts_[id];
    if (recorded.size() > max_recorded_parts)
    {
        std::erase_if(recorded, [&](const auto& entry)
                      { return entry.second + options_.part_lifetime <= now; });
    }
    const auto prefixes = parts::prefix_hashes(prompt);
    for (std::size_t depth = 0; depth + 1 < prefixes.size(); ++depth)
    {
        recorded[prefixes[depth]] = now;
    }
}

std::uint32_t placer::cached_tokens(const base::upstream_id& id, const placement_request& request,
                                    const std::vector<std::uint64_t>& prefixes,
                                    std::size_t home_depth, base::time_point now) const
{
    const auto found = cached_parts_.find(id);
    std::size_t depth = home_depth;
    for (std::size_t part = home_depth; found != cached_parts_.end() && part < prefixes.size();
         ++part)
    {
        const auto known = found->second.find(prefixes[part]);
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

bool placer::has_room(const search_context& context, const upstream& target,
                      const engines::known_load& load) const
{
    const auto& request = context.request;
    const auto& engine = request.requested_service->engine;
    const auto running = load.own.running + load.peers.running;
    if (!engine)
    {
        return running < static_cast<std::uint32_t>(options_.plain_calls_per_slot * target.slots);
    }
    return running < context.engines.max_running(*engine, target.id, request.slot_share) &&
           context.engines.memory.has_room(*engine, target.id, load, needed_tokens(request));
}

double placer::cost(const candidate& rated, const placement_request& request) const
{
    const auto& target = *rated.target;
    const double distance =
        target.zone == options_.zone ? 0 : static_cast<double>(options_.cross_zone_cost.count());
    if (!request.requested_service->engine)
    {
        const double calls_per_slot =
            static_cast<double>(rated.total.running) / std::max(1U, target.slots);
        return distance + calls_per_slot * rated.estimate.call_time.count();
    }
    const double prefill =
        uncached_tokens(request, rated.cached) * rated.estimate.prefill_ms_per_token;
    const double slowdown = rated.estimate.running_request_cost.count() * rated.total.running;
    const double repeat_cost =
        options_.repeat_cost_factor * rated.repeated * rated.estimate.prefill_ms_per_token;
    return distance + static_cast<double>(rated.wait.count()) + prefill + repeat_cost + slowdown;
}

placement placer::make_placement(const candidate& chosen, const placement_request& request) const
{
    if (!request.requested_service->engine)
    {
        return {.target = *chosen.target, .load = {.running = 1}, .running = chosen.total.running};
    }
    return {.target = *chosen.target,
            .load = {.running = 1,
                     .pending_prefill_tokens = uncached_tokens(request, chosen.cached),
                     .held_tokens = needed_tokens(request)},
            .wait = chosen.wait,
            .queued_tokens = chosen.total.pending_prefill_tokens,
            .running = chosen.total.running};
}

}  // namespace caraway::routing
