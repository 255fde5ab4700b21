#include "libcaraway/membership/entry_list.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

namespace caraway::membership
{

namespace
{

/// Requests that wait weigh more than a connection, which may be idle.
constexpr std::uint32_t waiting_weight = 4;

struct candidate
{
    const member* node = nullptr;
    int distance = 0;
    std::uint32_t load = 0;
};

/// In powers of two: callers who ask at the same moment all see the same loads, and would all go to
/// the one node that is least loaded by a little.
std::uint32_t load_rank(std::uint64_t load)
{
    return static_cast<std::uint32_t>(std::bit_width(load));
}

std::uint64_t load_of(const load_digest& load)
{
    return std::uint64_t{load.waiting} * waiting_weight + load.connections;
}

int distance(const member& of, const base::zone_id& zone, const base::region_id& region)
{
    if (of.details.zone == zone)
    {
        return 0;
    }
    return of.details.region == region ? 1 : 2;
}

/// Candidates in random order, a missing or old load replaced by the average.
std::vector<candidate> candidates(const entry_list_options& options,
                                  const std::map<base::node_id, member>& members,
                                  const base::zone_id& zone, const base::region_id& region,
                                  base::time_point now)
{
    std::uint64_t total = 0;
    std::uint64_t known = 0;
    const auto is_fresh = [&](const member& each)
    {
        return each.load_at && now - *each.load_at <= options.max_load_age;
    };
    for (const auto& [id, each] : members)
    {
        if (is_fresh(each))
        {
            total += load_of(each.load);
            ++known;
        }
    }
    const std::uint64_t average = known == 0 ? 0 : total / known;
    std::vector<candidate> found;
    for (const auto& [id, each] : members)
    {
        if (each.state() == member_state::alive)
        {
            const auto load = is_fresh(each) ? load_of(each.load) : average;
            found.push_back(
                {.node = &each, .distance = distance(each, zone, region), .load = load_rank(load)});
        }
    }
    shuffle(found, options.random);
    return found;
}

/// Puts the best of another zone in the last place that will be used.
void spread_over_zones(std::vector<candidate>& sorted, std::size_t count)
{
    if (count < 2 || sorted.size() <= count)
    {
        return;
    }
    const auto& nearest = sorted.front().node->details.zone;
    const auto is_elsewhere = [&](const candidate& each)
    {
        return each.node->details.zone != nearest;
    };
    const auto used = sorted.begin() + static_cast<std::ptrdiff_t>(count);
    const auto other = std::find_if(used, sorted.end(), is_elsewhere);
    if (std::none_of(sorted.begin(), used, is_elsewhere) && other != sorted.end())
    {
        std::iter_swap(used - 1, other);
    }
}

}  // namespace

entry_list choose_entries(const entry_list_options& options,
                          const std::map<base::node_id, member>& members, const base::zone_id& zone,
                          const base::region_id& region, base::time_point now)
{
    auto found = candidates(options, members, zone, region, now);
    std::stable_sort(found.begin(), found.end(),
                     [](const candidate& a, const candidate& b)
                     { return std::tuple(a.distance, a.load) < std::tuple(b.distance, b.load); });
    spread_over_zones(found, options.count);
    found.resize(std::min(found.size(), options.count));
    entry_list list{.addresses = {}, .lifetime = options.lifetime};
    for (const auto& each : found)
    {
        list.addresses.push_back({.node = each.node->node.id,
                                  .address = each.node->details.caller,
                                  .zone = each.node->details.zone});
    }
    return list;
}

}  // namespace caraway::membership
