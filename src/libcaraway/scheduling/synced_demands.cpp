#include "libcaraway/scheduling/synced_demands.hpp"

#include <algorithm>

namespace caraway::scheduling
{

namespace
{

/// With fewer waiting, each one matters: an owner could grant more than there are.
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
    const bool fresh = known != owners_.end() && now - known->second.at < refresh_;
    if (fresh && !demands.empty() &&
        std::equal(demands.begin(), demands.end(), known->second.demands.begin(),
                   known->second.demands.end(), is_alike))
    {
        return true;
    }
    owners_[owner] = {.demands = demands, .at = now};
    return false;
}

void synced_demands::retain(const std::function<bool(const base::node_ref&)>& alive)
{
    std::erase_if(owners_, [&alive](const auto& each) { return !alive(each.first); });
}

}  // namespace caraway::scheduling
