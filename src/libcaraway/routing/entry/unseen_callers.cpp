#include "libcaraway/routing/entry/unseen_callers.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::routing::entry
{

namespace
{

using real_seconds = std::chrono::duration<double>;

/// Counts below this are dropped.
constexpr double min_seen = 0.01;
/// Workspaces counted; beyond them all are forgotten.
constexpr std::size_t max_workspaces = 1024;

}  // namespace

void unseen_callers::record_seen(const base::workspace_id& workspace)
{
    if (seen_.size() >= max_workspaces && !seen_.contains(workspace))
    {
        seen_.clear();
    }
    seen_[workspace] += 1;
}

unseen_callers::counts unseen_callers::advance(base::duration open, base::duration closed)
{
    if (open < base::duration::zero() || closed < base::duration::zero())
    {
        return {};
    }
    open_seconds_ += real_seconds(open).count();
    counts unseen;
    if (closed > base::duration::zero() && open_seconds_ > 0)
    {
        const double per_seen = real_seconds(closed).count() / open_seconds_;
        for (const auto& [workspace, count] : seen_)
        {
            unseen[workspace] = count * std::min(options_.most_per_seen, per_seen);
        }
    }
    const double kept = std::exp(-(real_seconds(open + closed) / real_seconds(options_.memory)));
    open_seconds_ *= kept;
    for (auto& [workspace, count] : seen_)
    {
        count *= kept;
    }
    std::erase_if(seen_, [](const auto& entry) { return entry.second < min_seen; });
    return unseen;
}

}  // namespace caraway::routing::entry
