#include "libcaraway/routing/drained_zones.hpp"

#include <algorithm>

namespace caraway::routing
{

bool drained_zones::record(const zone_update& what)
{
    const auto [place, added] = last_.try_emplace(what.zone, what);
    auto& known = place->second;
    if (!added && what.revision <= known.revision)
    {
        return false;
    }
    const bool was_drained = !added && known.drained;
    known = what;
    drained_ = static_cast<std::size_t>(std::count_if(
        last_.begin(), last_.end(), [](const auto& each) { return each.second.drained; }));
    return what.drained != was_drained;
}

std::vector<zone_update> drained_zones::unlisted_updates(const std::set<base::zone_id>& listed,
                                                         std::uint64_t revision) const
{
    std::vector<zone_update> out;
    for (const auto& [zone, known] : last_)
    {
        if (known.drained && !listed.contains(zone))
        {
            out.push_back({.zone = zone, .drained = false, .revision = revision});
        }
    }
    return out;
}

bool drained_zones::contains(const base::zone_id& zone) const
{
    const auto known = last_.find(zone);
    return known != last_.end() && known->second.drained;
}

std::vector<zone_update> drained_zones::updates() const
{
    std::vector<zone_update> out;
    out.reserve(last_.size());
    for (const auto& [zone, known] : last_)
    {
        out.push_back(known);
    }
    return out;
}

}  // namespace caraway::routing
