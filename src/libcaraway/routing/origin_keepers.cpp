#include "libcaraway/routing/origin_keepers.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace caraway::routing
{

namespace
{

/// Routers told about a stream. Two that fail at once leave one that knows.
constexpr std::size_t keeper_count = 3;
constexpr std::size_t asked_per_zone = 2;

}  // namespace

origin_keepers::origin_keepers(std::vector<origin_keeper> others) : others_(std::move(others))
{
    hashes_.reserve(others_.size());
    for (const auto& other : others_)
    {
        hashes_.push_back(scheduling::stable_hash(other.router.str()));
    }
}

std::vector<const origin_keeper*> origin_keepers::to_tell(stream_key key,
                                                          const base::zone_id& zone) const
{
    auto ranked = rank(key, true);
    const auto order = [&](const ranked_keeper& each)
    {
        return std::pair(each.rank_in_zone, each.keeper->zone != zone);
    };
    std::stable_sort(ranked.begin(), ranked.end(),
                     [&](const auto& a, const auto& b) { return order(a) < order(b); });
    std::vector<const origin_keeper*> chosen;
    for (const auto& each : ranked)
    {
        if (chosen.size() < keeper_count)
        {
            chosen.push_back(each.keeper);
        }
    }
    return chosen;
}

std::vector<const origin_keeper*> origin_keepers::to_ask(stream_key key) const
{
    std::vector<const origin_keeper*> chosen;
    for (const auto& each : rank(key, false))
    {
        if (each.rank_in_zone < asked_per_zone)
        {
            chosen.push_back(each.keeper);
        }
    }
    return chosen;
}

std::vector<origin_keepers::ranked_keeper> origin_keepers::rank(stream_key key,
                                                                bool only_ready) const
{
    std::vector<ranked_keeper> ranked;
    for (std::size_t index = 0; index < others_.size(); ++index)
    {
        if (!only_ready || others_[index].ready)
        {
            const auto weight =
                scheduling::combine(static_cast<std::uint64_t>(key), hashes_[index]);
            ranked.push_back({.keeper = &others_[index], .weight = weight});
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& a, const auto& b) { return a.weight > b.weight; });
    std::map<base::zone_id, std::size_t> seen;
    for (auto& each : ranked)
    {
        each.rank_in_zone = seen[each.keeper->zone]++;
    }
    return ranked;
}

}  // namespace caraway::routing
