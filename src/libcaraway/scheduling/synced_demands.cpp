#include "libcaraway/scheduling/synced_demands.hpp"

#include <algorithm>

namespace caraway::scheduling
{

namespace
{

/// Smaller queues have to match exactly: with outdated demands, an owner could grant more slots
/// than there are requests.
constexpr std::uint32_t min_inexact_waiting = 4;

bool is_similar(const demand& a, const demand& b)
{
    const auto [fewer, more] = std::minmax(a.waiting, b.waiting);
    const bool is_same_account = a.service == b.service && a.workspace == b.workspace;
    return is_same_account &&
           (fewer == more || (fewer >= min_inexact_waiting && 2 * fewer >= more));
}

}  // namespace

synced_demands::synced_demands(base::duration refresh_interval)
    : refresh_interval_(refresh_interval)
{
}

bool synced_demands::may_omit(const base::node_ref& owner, const std::vector<demand>& demands,
                              base::time_point now)
{
    const auto previous = owners_.find(owner);
    const bool is_recent =
        previous != owners_.end() && now - previous->second.sent < refresh_interval_;
    if (is_recent && !demands.empty() &&
        std::equal(demands.begin(), demands.end(), previous->second.demands.begin(),
                   previous->second.demands.end(), is_similar))
    {
        return true;
    }
    owners_[owner] = {.demands = demands, .sent = now};
    return false;
}

void synced_demands::retain(const std::function<bool(const base::node_ref&)>& is_alive)
{
    std::erase_if(owners_, [&is_alive](const auto& entry) { return !is_alive(entry.first); });
}

}  // namespace caraway::scheduling
