#include "libcaraway/routing/wait_queue.hpp"

#include <algorithm>
#include <tuple>

namespace caraway::routing
{

wait_id wait_queue::add(const waiting_request& request)
{
    const wait_id id{++last_};
    waiting_.emplace(id, request);
    return id;
}

void wait_queue::remove(wait_id id)
{
    waiting_.erase(id);
}

std::vector<wait_id> wait_queue::order(const share_used_lookup& fill) const
{
    std::map<base::workspace_id, double> fills;
    using key = std::tuple<double, bool, std::int32_t, base::time_point, wait_id>;
    std::vector<key> keys;
    for (const auto& [id, each] : waiting_)
    {
        const auto [place, added] = fills.try_emplace(each.workspace, 0.0);
        if (added)
        {
            place->second = fill(each.workspace);
        }
        keys.emplace_back(place->second, each.resubmitted, each.priority, each.arrived, id);
    }
    std::sort(keys.begin(), keys.end());
    std::vector<wait_id> out;
    out.reserve(keys.size());
    for (const auto& each : keys)
    {
        out.push_back(std::get<wait_id>(each));
    }
    return out;
}

std::vector<wait_id> wait_queue::take_expired(base::time_point now)
{
    std::vector<wait_id> expired;
    for (auto each = waiting_.begin(); each != waiting_.end();)
    {
        if (each->second.expires > now)
        {
            ++each;
            continue;
        }
        expired.push_back(each->first);
        each = waiting_.erase(each);
    }
    return expired;
}

}  // namespace caraway::routing
