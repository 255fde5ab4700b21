#include "libcaraway/routing/drained_zones.hpp"

#include <algorithm>

namespace caraway::routing
{

bool drained_zones::record(const zone_update& update)
{
    const auto [position, inserted] = last_updates_.try_emplace(update.zone, update);
    auto& known = position->second;
    if (!inserted && update.revision <= known.revision)
    {
        return false;
    }
    const bool was_drained = !inserted && known.drained;
    known = update;
    drained_count_ = static_cast<std::size_t>(
        std::count_if(last_updates_.begin(), last_updates_.end(),
                      [](const auto& entry) { return entry.second.drained; }));
    return update.drained != was_drained;
}

std::vector<zone_update> drained_zones::unlisted_updates(const std::set<base::zone_id>& listed,
                                                         std::uint64_t revision) const
{
    std::vector<zone_update> result;
    for (const auto& [zone, known] : last_updates_)
    {
        if (known.drained && !listed.contains(zone))
        {
            result.push_back({.zone = zone, .drained = false, .revision = revision});
        }
    }
    return result;
}

bool drained_zones::contains(const base::zone_id& zone) const
{
    const auto known = last_updates_.find(zone);
    return known != last_updates_.end() && known->second.drained;
}

std::vector<zone_update> drained_zones::updates() const
{
    std::vector<zone_update> result;
    result.reserve(last_updates_.size());
    for (const auto& [zone, known] : last_updates_)
    {
        result.push_back(known);
    }
    return result;
}

}  // namespace caraway::routing
