// Which copy of a prompt's shared parts a placement relies on, and where the others are fetched
// from.
#include "libcaraway/routing/placer.hpp"

#include <algorithm>

namespace caraway::routing
{

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

const char* name(zone_choice choice)
{
    switch (choice)
    {
    case zone_choice::own_zone:
        return "own_zone";
    case zone_choice::holds_parts:
        return "holds_parts";
    case zone_choice::less_busy:
        return "less_busy";
    }
    return "less_busy";
}

zone_choice placer::zone_choice_of(const placement& chosen) const
{
    if (chosen.target.zone == options_.zone)
    {
        return zone_choice::own_zone;
    }
    const bool holds_parts = chosen.copy == held_copy::home ||
                             chosen.copy == held_copy::further_copy ||
                             chosen.copy == held_copy::sent_before;
    return holds_parts ? zone_choice::holds_parts : zone_choice::less_busy;
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
    return !request.was_tried(source.id) && source.software == chosen.software &&
           !context.health.excluded(source.id, context.now) &&
           (request.cold_upstreams == nullptr ||
            !request.cold_upstreams->is_cold(source.id, context.now));
}

}  // namespace caraway::routing
