#include "libcaraway/routing/shares/peer_usages.hpp"

#include <algorithm>

namespace caraway::routing::shares
{

void peer_usages::set(const base::node_id& peer, workspace_usages usages, base::time_point now)
{
    by_peer_[peer] = {.usages = std::move(usages), .received = now};
}

void peer_usages::expire(std::chrono::milliseconds lifetime, base::time_point now)
{
    std::erase_if(by_peer_,
                  [&](const auto& entry) { return entry.second.received + lifetime <= now; });
}

void peer_usages::add_to(workspace_usages& sums) const
{
    for (const auto& [peer, known] : by_peer_)
    {
        for (const auto& [id, usage] : known.usages)
        {
            sums[id] += usage;
        }
    }
}

std::chrono::milliseconds peer_usages::mean_age(base::time_point now) const
{
    if (by_peer_.empty())
    {
        return {};
    }
    base::duration total{};
    for (const auto& [peer, known] : by_peer_)
    {
        total += now - known.received;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(total /
                                                                 static_cast<int>(by_peer_.size()));
}

std::chrono::milliseconds peer_usages::oldest_age(base::time_point now) const
{
    std::chrono::milliseconds oldest{};
    for (const auto& [peer, known] : by_peer_)
    {
        oldest = std::max(
            oldest, std::chrono::duration_cast<std::chrono::milliseconds>(now - known.received));
    }
    return oldest;
}

}  // namespace caraway::routing::shares
