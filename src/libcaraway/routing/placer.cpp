#include "libcaraway/routing/placer.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace caraway::routing
{

namespace
{

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

parts::prompt_homes find_homes(parts::part_homes& homes, const placement_request& request,
                               const std::vector<const upstream*>& candidates,
                               const engines::engine_view& engines,
                               const placement_options& options, base::time_point now)
{
    const auto& engine = request.requested_service->engine;
    if (!engine || candidates.empty())
    {
        return {};
    }
    const double read_ms =
        shared_tokens(request) * engines.estimate(candidates.front()->id, now).prefill_ms_per_token;
    const auto throughput = [&](const auto& id)
    {
        return engines.relative_throughput(id);
    };
    return homes.find(
        {.prompt = request.parts,
         .candidates = candidates,
         .relative_throughput = throughput,
         .slots = engine->slots,
         .zone = options.zone,
         .worth_copies = read_ms > static_cast<double>(options.min_transfer_gain.count())},
        now);
}

}  // namespace

bool placement_request::was_tried(const base::upstream_id& id) const
{
    return std::find(tried.begin(), tried.end(), id) != tried.end();
}

placer::placer(placement_options options) : options_(std::move(options)), homes_(options_.homes) {}

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
        .homes = find_homes(homes_, request, candidates, engines, options_, now),
        .shared = shared_tokens(request)};
    const auto best = cheapest(context);
    if (!best)
    {
        return std::nullopt;
    }
    auto out = make_placement(*best, request);
    out.copy = copy_at(context, *best);
    out.shared_tokens = context.shared;
    out.cached_tokens = best->cached;
    out.zone = zone_choice_of(out);
    out.is_new_copy = out.copy != held_copy::no_parts && out.copy != held_copy::home &&
                      out.copy != held_copy::sent_before && is_worth_copying(*best, context.shared);
    if (const auto* source = find_cache_source(context, *best))
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
        for (const auto home : context.homes.copies)
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
    if (!has_room(context, target, load) || request.was_tried(target.id) ||
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
        cached_tokens(target, request, homes.prefixes, homes.depth(index), context.now);
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

void placer::record_sent(const base::upstream_id& id, const std::vector<prompt_part>& prompt,
                         const base::workspace_id& workspace, base::time_point now,
                         bool is_new_copy)
{
    const auto prefixes = parts::shared_prefix_hashes(prompt);
    homes_.record_use(prefixes, workspace, now);
    const auto hash = scheduling::stable_hash(id.str());
    copies_.record_sent(hash, prefixes, now);
    if (is_new_copy && !prefixes.empty())
    {
        copies_.announce(hash, prefixes.back(), now);
    }
}

void placer::forget(const base::upstream_id& id)
{
    copies_.forget(scheduling::stable_hash(id.str()));
}

std::uint32_t placer::cached_tokens(const upstream& target, const placement_request& request,
                                    const std::vector<std::uint64_t>& prefixes,
                                    std::size_t home_depth, base::time_point now) const
{
    const auto depth = std::max(home_depth, copies_.depth(target.hash, prefixes, now));
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
