#include "libcaraway/routing/shares/share_credits.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace caraway::routing::shares
{

namespace
{

using real_seconds = std::chrono::duration<double>;

/// Time constants with which counts are forgotten.
constexpr real_seconds mix_memory{1.0};
constexpr real_seconds trend_memory{0.3};
/// A workspace's growth counts from this ratio on, and is damped by as many requests a second.
constexpr double min_growth = 1.5;
constexpr double damping_requests = 4;
/// Workspaces counted; beyond them all are forgotten.
constexpr std::size_t max_flows = 4096;

}  // namespace

share_credits::flow& share_credits::current(const base::workspace_id& id, base::time_point now)
{
    if (flows_.size() >= max_flows && !flows_.contains(id))
    {
        flows_.clear();
    }
    auto& own = flows_[id];
    const auto elapsed = std::max(real_seconds(0), real_seconds(now - own.last));
    own.last = now;
    const double kept = std::exp(-(elapsed / mix_memory));
    own.arrived *= kept;
    own.fresh *= kept;
    own.returned *= kept;
    const double trend_kept = std::exp(-(elapsed / trend_memory));
    own.recent_tokens *= trend_kept;
    own.recent_requests *= trend_kept;
    return own;
}

void share_credits::record_arrival(const base::workspace_id& id, double tokens,
                                   base::time_point now, double count)
{
    auto& own = current(id, now);
    own.arrived += count;
    own.recent_tokens += tokens;
    own.recent_requests += count;
}

bool share_credits::admits(const base::workspace_id& id, bool returned, double demanded,
                           double limit, double random_unit, base::time_point now)
{
    auto& own = current(id, now);
    (returned ? own.returned : own.fresh) += 1;
    if (!own.has_credit)
    {
        own.has_credit = true;
        own.fresh_credit = random_unit;
        own.returned_credit = random_unit;
    }
    const double decided = own.fresh + own.returned;
    const double reaching = demanded * std::min(1.0, decided / std::max(1.0, own.arrived));
    if (limit >= reaching)
    {
        return true;
    }
    // One more fresh request is assumed, so that a workspace without any keeps a part for it.
    const double fresh_demand = reaching * (own.fresh + 1) / (decided + 1);
    const double returned_demand = std::max(1.0, reaching - fresh_demand);
    const double part = returned ? (limit - fresh_demand) / returned_demand : limit / fresh_demand;
    auto& credit = returned ? own.returned_credit : own.fresh_credit;
    credit += std::clamp(part, 0.0, 1.0);
    if (credit < 1)
    {
        return false;
    }
    credit -= 1;
    return true;
}

double share_credits::growth(const base::workspace_id& id, double window_tokens,
                             double window_seconds, base::time_point now)
{
    const auto found = flows_.find(id);
    if (found == flows_.end())
    {
        return 1;
    }
    const auto& own = current(id, now);
    const double damping = damping_requests * mean_tokens(id);
    const double recent_rate = own.recent_tokens / trend_memory.count();
    const double mean_rate = window_tokens / window_seconds;
    const double ratio = (recent_rate + damping) / std::max(1.0, mean_rate + damping);
    return ratio >= min_growth ? ratio : 1;
}

double share_credits::mean_tokens(const base::workspace_id& id) const
{
    const auto found = flows_.find(id);
    if (found == flows_.end() || found->second.recent_requests <= 0)
    {
        return 0;
    }
    return found->second.recent_tokens / found->second.recent_requests;
}

}  // namespace caraway::routing::shares
