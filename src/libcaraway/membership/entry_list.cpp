#include "libcaraway/membership/entry_list.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

namespace caraway::membership
{

namespace
{

/// A waiting request counts as more load than a connection, which may be idle.
constexpr std::uint32_t waiting_weight = 4;

struct candidate
{
    const member* node = nullptr;
    int distance = 0;
    std::uint32_t load = 0;
};

/// Rounds to powers of two: callers that ask at the same time see the same loads, and with exact
/// loads all of them would choose the node whose load is lowest by a small margin.
std::uint32_t load_rank(std::uint64_t load)
{
    return static_cast<std::uint32_t>(std::bit_width(load));
}

std::uint64_t weighted_load(const load_digest& load)
{
    return std::uint64_t{load.waiting} * waiting_weight + load.connections;
}

int distance(const member& node, const base::zone_id& zone, const base::region_id& region)
{
    if (node.details.zone == zone)
    {
        return 0;
    }
    return node.details.region == region ? 1 : 2;
}

/// Alive nodes in random order. A missing or stale load is replaced by the average of the fresh
/// ones.
std::vector<candidate> candidates(const entry_list_options& options,
                                  const std::map<base::node_id, member>& members,
                                  const base::zone_id& zone, const base::region_id& region,
                                  base::time_point now)
{
    std::uint64_t total = 0;
    std::uint64_t known = 0;
    const auto is_fresh = [&](const member& node)
    {
        return node.load_measured_at && now - *node.load_measured_at <= options.max_load_age;
    };
    for (const auto& [id, node] : members)
    {
        if (is_fresh(node))
        {
            total += weighted_load(node.load);
            ++known;
        }
    }
    const std::uint64_t average = known == 0 ? 0 : total / known;
    std::vector<candidate> selected;
    for (const auto& [id, node] : members)
    {
        if (node.state() == member_state::alive)
        {
            const auto load = is_fresh(node) ? weighted_load(node.load) : average;
            selected.push_back(
                {.node = &node, .distance = distance(node, zone, region), .load = load_rank(load)});
        }
    }
    shuffle(selected, options.random);
    return selected;
}

/// If the first `count` entries are all in one zone, replaces the last of them by the best entry of
/// another zone.
void include_other_zone(std::vector<candidate>& sorted, std::size_t count)
{
    if (count < 2 || sorted.size() <= count)
    {
        return;
    }
    const auto& nearest = sorted.front().node->details.zone;
    const auto is_elsewhere = [&](const candidate& entry)
    {
        return entry.node->details.zone != nearest;
    };
    const auto cutoff = sorted.begin() + static_cast<std::ptrdiff_t>(count);
    const auto other = std::find_if(cutoff, sorted.end(), is_elsewhere);
    if (std::none_of(sorted.begin(), cutoff, is_elsewhere) && other != sorted.end())
    {
        std::iter_swap(cutoff - 1, other);
    }
}

}  // namespace

entry_list choose_entries(const entry_list_options& options,
                          const std::map<base::node_id, member>& members, const base::zone_id& zone,
                          const base::region_id& region, base::time_point now)
{
    auto selected = candidates(options, members, zone, region, now);
    std::stable_sort(selected.begin(), selected.end(),
                     [](const candidate& a, const candidate& b)
                     { return std::tuple(a.distance, a.load) < std::tuple(b.distance, b.load); });
    include_other_zone(selected, options.count);
    selected.resize(std::min(selected.size(), options.count));
    entry_list list{.addresses = {}, .lifetime = options.lifetime};
    for (const auto& entry : selected)
    {
        list.addresses.push_back({.node = entry.node->node.id,
                                  .address = entry.node->details.caller,
                                  .zone = entry.node->details.zone});
    }
    return list;
}

}  // namespace caraway::membership
