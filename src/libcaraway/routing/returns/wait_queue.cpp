#include "libcaraway/routing/returns/wait_queue.hpp"

#include <algorithm>
#include <tuple>

namespace caraway::routing::returns
{

wait_id wait_queue::add(const waiting_request& request)
{
    const wait_id id{++last_id_};
    waiting_.emplace(id, request);
    return id;
}

void wait_queue::remove(wait_id id)
{
    waiting_.erase(id);
}

std::vector<wait_id> wait_queue::order(const share_used_lookup& share_used) const
{
    std::map<base::workspace_id, double> used_shares;
    using key = std::tuple<bool, double, bool, std::int32_t, base::time_point, wait_id>;
    std::vector<key> keys;
    for (const auto& [id, request] : waiting_)
    {
        const auto [used_share, added] = used_shares.try_emplace(request.workspace, 0.0);
        if (added)
        {
            used_share->second = share_used(request.workspace);
        }
        keys.emplace_back(!request.resumes, used_share->second, request.resubmitted,
                          request.priority, request.arrived, id);
    }
    std::sort(keys.begin(), keys.end());
    std::vector<wait_id> ordered;
    ordered.reserve(keys.size());
    for (const auto& entry : keys)
    {
        ordered.push_back(std::get<wait_id>(entry));
    }
    return ordered;
}

std::vector<wait_id> wait_queue::take_expired(base::time_point now)
{
    std::vector<wait_id> expired;
    for (auto entry = waiting_.begin(); entry != waiting_.end();)
    {
        if (entry->second.expires > now)
        {
            ++entry;
            continue;
        }
        expired.push_back(entry->first);
        entry = waiting_.erase(entry);
    }
    return expired;
}

}  // namespace caraway::routing::returns
