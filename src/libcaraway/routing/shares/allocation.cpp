#include "libcaraway/routing/shares/allocation.hpp"

#include "libcaraway/routing/shares/usage_windows.hpp"

#include <algorithm>
#include <vector>

namespace caraway::routing::shares
{

namespace
{

/// Returns the largest limit per workspace at which all demands, each cut to the limit, fit into
/// `capacity`; infinite if all demands fit uncut. The demands are in ascending order.
double max_min_fair_limit(const std::vector<double>& demands, double capacity)
{
    double remaining = capacity;
    std::size_t remaining_demands = demands.size();
    for (const double demand : demands)
    {
        const double even_limit = remaining / static_cast<double>(remaining_demands);
        if (demand >= even_limit)
        {
            return even_limit;
        }
        remaining -= demand;
        --remaining_demands;
    }
    return std::numeric_limits<double>::infinity();
}

bool is_backlogged(const workspace_usage& usage, const share_options& options)
{
    return usage.served < options.backlogged_below * usage.demanded;
}

/// Whether a backlogged workspace still waits, rather than having waited within the window.
bool is_waiting(const workspace_usage& usage, const share_options& options)
{
    const double tolerated = 1 - options.backlogged_below;
    return is_backlogged(usage, options) &&
           usage.refused > tolerated * usage_windows::refusal_span * usage.demanded;
}

}  // namespace

workspace_usage sum_of(const workspace_usages& usages)
{
    workspace_usage sum;
    for (const auto& [id, usage] : usages)
    {
        sum += usage;
    }
    return sum;
}

allocation allocate(const workspace_usages& usages, double capacity, const share_options& options)
{
    allocation result;
    std::vector<double> demands;
    demands.reserve(usages.size());
    for (const auto& [id, usage] : usages)
    {
        demands.push_back(usage.demanded);
        result.any_backlogged = result.any_backlogged || is_backlogged(usage, options);
    }
    std::sort(demands.begin(), demands.end());
    result.even_share = max_min_fair_limit(demands, capacity);
    result.attainable_share = max_min_fair_limit(demands, std::max(1.0, sum_of(usages).served));
    for (const auto& [id, usage] : usages)
    {
        if (is_waiting(usage, options) && usage.demanded > result.even_share)
        {
            result.min_backlogged_served =
                std::min(result.min_backlogged_served, std::max(usage.served, 1.0));
        }
    }
    return result;
}

}  // namespace caraway::routing::shares
