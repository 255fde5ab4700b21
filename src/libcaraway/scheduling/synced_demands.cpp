#include "libcaraway/scheduling/synced_demands.hpp"

#include <algorithm>

namespace caraway::scheduling
{

namespace
{

/// Smaller queues have to match exactly: with outdated demands, an owner could grant more slots
/// than there are requests.
constexpr std::uint32_t few_waiting = 4;

bool is_alike(const demand& a, const demand& b)
{
    const auto [least, most] = std::minmax(a.waiting, b.waiting);
    const bool same_queue = a.service == b.service && a.workspace == b.workspace;
    return same_queue && (least == most || (least >= few_waiting && 2 * least >= most));
}

}  // namespace

synced_demands::synced_demands(base::duration refresh) : refresh_(refresh) {}

bool synced_demands::may_omit(const base::node_ref& owner, const std::vector<demand>& demands,
                              base::time_point now)
{
    const auto known = owners_.find(owner);
    const bool fresh = known != owners_.end() && now - known->second.sent < refresh_;
    if (fresh && !demands.empty() &&
        std::equal(demands.begin(), demands.end(), known->second.demands.begin(),
                   known->second.demands.end(), is_alike))
    {
        return true;
    }
    owners_[owner] = {.demands = demands, .sent = now};
    return false;
}

void synced_demands::retain(const std::function<bool(const base::node_ref&)>& alive)
{
    std::erase_if(owners_, [&alive](const auto& entry) { return !alive(entry.first); });
}

}  // namespace caraway::scheduling
