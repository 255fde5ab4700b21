#include "libcaraway/routing/parts/part_homes.hpp"

#include "libcaraway/routing/parts/home_order.hpp"
#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::routing::parts
{

namespace
{

using scheduling::combine;
using scheduling::stable_hash;

double half_lives(base::duration elapsed, std::chrono::milliseconds half_life)
{
    return std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(half_life);
}

bool contains(const std::vector<std::size_t>& indices, std::size_t index)
{
    return std::find(indices.begin(), indices.end(), index) != indices.end();
}

}  // namespace

std::size_t prompt_homes::depth(std::size_t candidate) const
{
    if (is_copy(candidate))
    {
        return homes.size();
    }
    for (std::size_t part = homes.size(); part > 0; --part)
    {
        if (homes[part - 1] == candidate)
        {
            return part;
        }
    }
    return 0;
}

bool prompt_homes::is_copy(std::size_t candidate) const
{
    return contains(copies, candidate);
}

bool prompt_homes::is_further_home(std::size_t candidate) const
{
    return contains(further_homes, candidate);
}

std::vector<std::uint64_t> prefix_hashes(const std::vector<prompt_part>& parts)
{
    std::vector<std::uint64_t> prefixes;
    std::uint64_t prefix = 0;
    for (const auto& part : parts)
    {
        prefix = combine(prefix, stable_hash(part.id));
        prefixes.push_back(prefix);
    }
    return prefixes;
}

std::vector<std::uint64_t> shared_prefix_hashes(const std::vector<prompt_part>& parts)
{
    auto prefixes = prefix_hashes(parts);
    if (!prefixes.empty())
    {
        prefixes.pop_back();
    }
    return prefixes;
}

part_homes::part_homes(const part_home_options& options) : options_(options), heat_(options.heat) {}

prompt_homes part_homes::find(const query& asked, base::time_point now)
{
    prompt_homes out;
    if (asked.prompt == nullptr || asked.prompt->size() < 2 || asked.candidates.empty())
    {
        return out;
    }
    out.prefixes = shared_prefix_hashes(*asked.prompt);
    const auto weights = weights_of(asked, now);
    for (const auto part : out.prefixes)
    {
        const auto [first, second] = two_highest(part, asked.candidates, weights);
        out.homes.push_back(first);
        out.further_homes.clear();
        if (second != prompt_homes::none)
        {
            out.further_homes.push_back(second);
        }
    }
    if (!asked.worth_copies)
    {
        return out;
    }
    const double slots_per_home = options_.max_fill * std::max(1U, asked.slots);
    const double load = load_of(out.prefixes.back(), out.prefixes.front(), slots_per_home, now);
    const double first_weight = weights.empty() ? 1 : weights[out.homes.back()];
    if (load > slots_per_home * first_weight)
    {
        add_copies(asked, weights, load / slots_per_home, out);
    }
    return out;
}

/// `load`: in units of what one upstream of mean throughput takes of the part.
void part_homes::add_copies(const query& asked, const std::vector<double>& weights, double load,
                            prompt_homes& out) const
{
    const auto order = home_order(out.prefixes.back(), asked.candidates, weights);
    const auto weight = [&](std::size_t index)
    {
        return weights.empty() ? 1 : weights[index];
    };
    const auto in_zone = [&](std::size_t index)
    {
        return asked.candidates[index]->zone == asked.zone;
    };
    double taken = weight(order.front());
    bool has_zone = in_zone(order.front());
    std::size_t count = 1;
    while (count < order.size() && taken < load)
    {
        out.copies.push_back(order[count]);
        taken += weight(order[count]);
        has_zone = has_zone || in_zone(order[count]);
        ++count;
    }
    const auto rest = order.begin() + static_cast<std::ptrdiff_t>(count);
    const auto nearest = has_zone ? order.end() : std::find_if(rest, order.end(), in_zone);
    if (nearest != order.end())
    {
        out.copies.push_back(*nearest);
    }
    out.further_homes.clear();
    const auto next =
        std::find_if(rest, order.end(), [&](std::size_t index) { return !out.is_copy(index); });
    if (next != order.end())
    {
        out.further_homes.push_back(*next);
    }
}

std::vector<double> part_homes::weights_of(const query& asked, base::time_point now)
{
    auto& known = weights_[asked.candidates.front()->service];
    if (known.looked_up + options_.weight_lifetime <= now || known.looked_up == base::time_point{})
    {
        known.looked_up = now;
        known.uneven.clear();
        for (const auto* each : asked.candidates)
        {
            const auto weight = rounded_weight(asked.relative_throughput(each->id));
            if (weight != 1)
            {
                known.uneven.emplace(each->hash, weight);
            }
        }
    }
    std::vector<double> weights;
    if (known.uneven.empty())
    {
        return weights;
    }
    weights.reserve(asked.candidates.size());
    for (const auto* each : asked.candidates)
    {
        const auto found = known.uneven.find(each->hash);
        weights.push_back(found == known.uneven.end() ? 1 : found->second);
    }
    return weights;
}

double part_homes::load_of(std::uint64_t part, std::uint64_t kind, double slots_per_home,
                           base::time_point now)
{
    const double load = heat_.rate(part, now) * mean_seconds(kind, now);
    const auto found = held_.find(part);
    if (found == held_.end())
    {
        if (load > slots_per_home && held_.size() < options_.max_hot_parts)
        {
            held_.emplace(part, held_load{.slots = load, .used = now});
        }
        return load;
    }
    auto& held = found->second;
    held.used = now;
    if (load > held.slots || load < options_.shrink_ratio * held.slots)
    {
        held.slots = load;
    }
    return held.slots;
}

double part_homes::mean_seconds(std::uint64_t kind, base::time_point now) const
{
    const double initial = std::chrono::duration<double>(options_.initial_duration).count();
    const double weight = options_.initial_duration_weight;
    const auto found = durations_.find(kind);
    if (found == durations_.end())
    {
        return initial;
    }
    const auto& known = found->second;
    const double decay = std::exp2(-half_lives(now - known.updated, options_.duration_half_life));
    return (known.seconds * decay + initial * weight) / (known.requests * decay + weight);
}

void part_homes::record_use(const std::vector<std::uint64_t>& prefixes,
                            const base::workspace_id& workspace, base::time_point now)
{
    heat_.record_use(prefixes, workspace, now);
}

void part_homes::record_duration(const std::vector<prompt_part>& prompt, base::duration duration,
                                 base::time_point now)
{
    if (prompt.size() < 2 || duration.count() <= 0)
    {
        return;
    }
    const auto kind = combine(0, stable_hash(prompt.front().id));
    if (!durations_.contains(kind) && durations_.size() >= options_.max_kinds)
    {
        return;
    }
    auto& known = durations_[kind];
    const double decay = std::exp2(-half_lives(now - known.updated, options_.duration_half_life));
    const auto counted = std::min<base::duration>(duration, options_.max_duration);
    known.seconds = known.seconds * decay + std::chrono::duration<double>(counted).count();
    known.requests = known.requests * decay + 1;
    known.updated = now;
}

void part_homes::expire(base::time_point now)
{
    heat_.expire(now);
    std::erase_if(held_, [&](const auto& entry)
                  { return entry.second.used + options_.load_lifetime <= now; });
    std::erase_if(durations_, [&](const auto& entry)
                  { return entry.second.updated + 4 * options_.duration_half_life <= now; });
    std::erase_if(weights_, [&](const auto& entry)
                  { return entry.second.looked_up + 10 * options_.weight_lifetime <= now; });
}

}  // namespace caraway::routing::parts
