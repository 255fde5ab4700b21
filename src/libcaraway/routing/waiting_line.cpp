#include "libcaraway/routing/waiting_line.hpp"

#include <algorithm>
#include <tuple>

namespace caraway::routing
{

ticket waiting_line::add(const waiting_request& request)
{
    const ticket id{++last_};
    waiting_.emplace(id, request);
    return id;
}

void waiting_line::remove(ticket id)
{
    waiting_.erase(id);
}

std::vector<ticket> waiting_line::order(const fill_of& fill) const
{
    std::map<base::workspace_id, double> fills;
    using key = std::tuple<double, bool, std::int32_t, base::time_point, ticket>;
    std::vector<key> keys;
    for (const auto& [id, each] : waiting_)
    {
        const auto [place, added] = fills.try_emplace(each.workspace, 0.0);
        if (added)
        {
            place->second = fill(each.workspace);
        }
        keys.emplace_back(place->second, each.returned, each.priority, each.arrived, id);
    }
    std::sort(keys.begin(), keys.end());
    std::vector<ticket> out;
    out.reserve(keys.size());
    for (const auto& each : keys)
    {
        out.push_back(std::get<ticket>(each));
    }
    return out;
}

std::vector<ticket> waiting_line::take_expired(base::time_point now)
{
    std::vector<ticket> expired;
    for (auto each = waiting_.begin(); each != waiting_.end();)
    {
        if (each->second.until > now)
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
