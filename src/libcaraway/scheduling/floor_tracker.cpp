#include "libcaraway/scheduling/floor_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::scheduling
{

void floor_tracker::raise(const base::service_id& service, base::virtual_time floor)
{
    if (!std::isfinite(floor.value()))
    {
        return;
    }
    auto& current = floors_[service];
    current = std::max(current, floor);
}

void floor_tracker::merge(const std::vector<service_floor>& floors)
{
    for (const auto& update : floors)
    {
        raise(update.service, update.floor);
    }
}

base::virtual_time floor_tracker::at(const base::service_id& service) const
{
    const auto found = floors_.find(service);
    return found == floors_.end() ? base::virtual_time{} : found->second;
}

std::vector<service_floor> floor_tracker::all() const
{
    std::vector<service_floor> floors;
    for (const auto& [service, floor] : floors_)
    {
        floors.push_back({.service = service, .floor = floor});
    }
    return floors;
}

}  // namespace caraway::scheduling
