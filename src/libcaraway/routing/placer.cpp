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

bool placer::is_worth_copying(const candidate& chosen, std::uint32_t shared) const
{
    return shared * chosen.estimate.prefill_ms_per_token >
           static_cast<double>(options_.min_transfer_gain.count());
}

const char* name(held_copy copy)
{
    switch (copy)
    {
    case held_copy::no_parts:
        return "no_parts";
    case held_copy::home:
        return "home";
    case held_copy::further_copy:
        return "further_copy";
    case held_copy::overflow:
        return "overflow";
    case held_copy::sent_before:
        return "sent_before";
    case held_copy::none:
        return "none";
    }
    return "none";
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

held_copy placer::copy_at(const search_context& context, const candidate& chosen)
{
    const auto& homes = context.homes;
    if (homes.homes.empty())
    {
        return held_copy::no_parts;
    }
    const auto is_chosen = [&](std::size_t home)
    {
        return context.candidates[home] == chosen.target;
    };
    if (is_chosen(homes.homes.back()))
    {
        return held_copy::home;
    }
    if (std::any_of(homes.copies.begin(), homes.copies.end(), is_chosen))
    {
        return held_copy::further_copy;
    }
    if (chosen.cached >= context.shared)
    {
        return held_copy::sent_before;
    }
    const auto& further = homes.further_homes;
    return std::any_of(further.begin(), further.end(), is_chosen) ? held_copy::overflow
                                                                  : held_copy::none;
}

/// The upstreams known to have read the last shared part are surest to hold it. Without any, the
/// homes before the chosen one in the part's order are asked, so that copies spread like a tree.
const upstream* placer::find_cache_source(const search_context& context,
                                          const candidate& chosen) const
{
    const auto& homes = context.homes;
    const auto& engine = context.request.requested_service->engine;
    if (homes.homes.empty() || !engine || engine->transfer_per_token.count() <= 0)
    {
        return nullptr;
    }
    const double gain = possibly_missing(context, chosen) *
                        (chosen.estimate.prefill_ms_per_token - engine->transfer_per_token.count());
    if (gain <= static_cast<double>(options_.min_transfer_gain.count()))
    {
        return nullptr;
    }
    auto sources = known_holders(context, chosen);
    if (sources.empty())
    {
        sources = earlier_homes(context, chosen);
    }
    if (sources.empty())
    {
        return nullptr;
    }
    const auto index =
        static_cast<std::size_t>(context.request.random_unit * static_cast<double>(sources.size()));
    return sources[std::min(index, sources.size() - 1)];
}

std::vector<const upstream*> placer::known_holders(const search_context& context,
                                                   const candidate& chosen) const
{
    std::vector<const upstream*> holders;
    for (const auto* each : context.candidates)
    {
        if (each != chosen.target &&
            copies_.has_read(each->hash, context.homes.prefixes.back(), context.now) &&
            may_hold(context, *each, *chosen.target))
        {
            holders.push_back(each);
        }
    }
    return holders;
}

std::vector<const upstream*> placer::earlier_homes(const search_context& context,
                                                   const candidate& chosen) const
{
    auto order = context.homes.copies;
    order.insert(order.begin(), context.homes.homes.back());
    std::vector<const upstream*> earlier;
    for (const auto home : order)
    {
        const auto* each = context.candidates[home];
        if (each == chosen.target)
        {
            break;
        }
        if (may_hold(context, *each, *chosen.target))
        {
            earlier.push_back(each);
        }
    }
    return earlier;
}

/// A home is assumed to hold its parts, but may not have read them: the first requests may have
/// gone elsewhere, as it was busy, or it may have become a home just now.
std::uint32_t placer::possibly_missing(const search_context& context, const candidate& chosen) const
{
    const bool is_assumed =
        chosen.cached == context.shared &&
        !copies_.holds(chosen.target->hash, context.homes.prefixes.back(), context.now);
    return is_assumed ? context.shared : context.shared - chosen.cached;
}

bool placer::may_hold(const search_context& context, const upstream& source,
                      const upstream& chosen) const
{
    const auto& request = context.request;
    return !was_tried(request, source.id) && source.software == chosen.software &&
           !context.health.excluded(source.id, context.now) &&
           (request.cold_upstreams == nullptr ||
            !request.cold_upstreams->is_cold(source.id, context.now));
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
